// The external processor's listener and connections, on the router's event loop. Passes bytes
// between sockets, gRPC sessions and the processor, and implements the gRPC health service.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../io/io.hpp"
#include "../net/config.hpp"
#include "../net/frontend.hpp"
#include "processor.hpp"

namespace arrowfork::extproc {

class Server final : public Frontend, Processor::Output {
 public:
  /// Listens on the address in `settings`. Throws ConfigError with the name of the setting if the
  /// address is invalid or in use. Base, clock, core and fields must outlive the server.
  Server(event_base* base, const TimeSource& clock, Core& core, const ExtProcSettings& settings,
         const std::vector<robinseam::ReportField>& fields,
         std::function<std::string(const std::string& server)> address_of);
  ~Server() override;

  void flush() override;
  void drain() override;
  bool drained() const override { return draining_ && connections_.empty(); }
  std::vector<std::pair<std::string, std::uint64_t>> counters() const override;
  std::uint16_t port() const { return port_; }
  const Processor& processor() const { return processor_; }
  struct Counts {
    std::uint64_t connections = 0, rejected = 0, closed_idle = 0;
    std::uint64_t closed_half_open = 0;  ///< handshake not complete in time
    std::uint64_t closed_stalled = 0, closed_unresponsive = 0;
  };
  const Counts& counts() const { return counts_; }
  const grpc::ServerSession::Counts& session_counts() const { return session_counts_; }

 private:
  class Connection;
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_housekeeping(evutil_socket_t, short, void* self);
  void send_message(StreamId stream, const std::string& bytes) override;
  void finish(StreamId stream, grpc::Status status, const std::string& text) override;
  /// Finds the connection of a stream and marks it for flushing; null if it is closed.
  Connection* find_connection(StreamId stream);
  /// Schedules the connection for the next flush().
  void mark_dirty(Connection& connection);
  bool serving() const;

  event_base* base_;
  const TimeSource& clock_;
  Core& core_;
  ExtProcSettings settings_;
  grpc::ServerSession::Limits limits_;
  grpc::ServerSession::Counts session_counts_;
  Counts counts_;
  Processor processor_;
  Fd listener_;
  std::uint16_t port_ = 0;
  EventPtr accept_event_, housekeeping_event_;
  bool draining_ = false;
  std::uint32_t next_number_ = 1;
  std::unordered_map<std::uint32_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::uint32_t> dirty_;  // numbers of the connections to flush
};

}  // namespace arrowfork::extproc
