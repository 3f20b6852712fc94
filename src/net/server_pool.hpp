// The state of one cache server: its address, whether it takes new attempts, its connections.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../io/io.hpp"
#include "../limits/connection_close_budget.hpp"
#include "server_codec.hpp"

namespace arrowfork {

class ServerConnection;

struct ServerPool {
  ServerPool();
  ~ServerPool();

  std::string id;
  std::string kind;
  std::string dial;
  std::optional<sockaddr_in> address;
  ServerProtocol protocol = ServerProtocol::Meta;
  bool proven = false;  // the last connection that got an answer got it in this protocol
  Micros wrong_protocol_logged_at = 0;
  bool listed = false;  // by discovery, and not gone
  bool usable = false;  // listed, ready, and no newer server at its address
  double weight = 1;    // from the list
  Micros started_at = 0;
  std::uint64_t address_since = 0;  // number of the list since which it has this address
  Micros no_dial_until = 0;
  Micros reused_answer_at = 0;  // last answer on a connection that had answered before
  Micros idle_limit = 0;        // connections idle for longer are closed
  Micros idle_reset_at = 0;
  std::uint64_t abandoned_attempts = 0;  // since the last log line
  robinseam::limits::ConnectionCloseBudget budget{0};
  std::vector<std::unique_ptr<ServerConnection>> connections;

  /// Records that a command written after an idle time of `span` was answered with a reset.
  void record_idle_reset(Micros span, Micros now);
};

}  // namespace arrowfork
