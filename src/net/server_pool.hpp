// What is kept of one cache server: where it is, whether it wants anything new, its connections.
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
  bool proven = false;  // the last connection to begin an answer did so in that protocol
  Micros complained_at = 0;
  bool listed = false;  // named by discovery and not gone
  bool wanted = false;  // listed and ready, and nobody newer at its address
  double weight = 1;    // as listed
  Micros born = 0;
  Micros no_dial_until = 0;
  Micros answered_at = 0;  // on a connection that had answered before
  Micros idle_limit = 0;   // a connection idle for longer is not used again
  Micros idle_reset_at = 0;
  std::uint64_t given_up = 0;  // attempts, since the last line of the log
  robinseam::limits::ConnectionCloseBudget budget{0};
  std::vector<std::unique_ptr<ServerConnection>> connections;

  /// A command written after `span` of idleness was answered with a reset.
  void note_idle_reset(Micros span, Micros now);
};

}  // namespace arrowfork
