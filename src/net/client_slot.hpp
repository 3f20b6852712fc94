// One command of a client connection, from its parsing until its answer is in the output.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "../core/core.hpp"
#include "client_codec.hpp"

namespace arrowfork {

class ClientConnection;

/// How long a large value may be held back, while it is buffered whole for the requests that were
/// read behind it.
struct ValueHold {
  std::string class_name;   ///< of the request
  bool repeatable = false;  ///< so that the request may be refused, though a server has run it
  Micros longest = 0;       ///< in microseconds
  Micros since = 0;         ///< 0: it was not held back yet
};

/// One command's place in the order of answers of its connection. Owned by the connection and
/// destroyed when the command is answered, or with the connection. The core holds a pointer to it
/// as long as its request is open, so the destructor of an unanswered one tells the core.
struct ClientSlot final : ReplySink {
  ClientConnection* connection = nullptr;
  RequestId id = 0;
  CommandTag tag;
  std::string text;                 ///< answer bytes, held back until earlier answers are written
  std::shared_ptr<ValuePipe> pipe;  ///< streams the value behind `text`, if any
  std::size_t bulk = 0;             ///< bytes of a large value, counted against bulk_bytes
  std::size_t bytes =
      0;  ///< of the command, then of the answer; counted in held_bytes_ of the connection
  bool done = false;        ///< the complete answer is in `text` and `pipe`
  bool is_request = false;  ///< owed a final answer; false for probes and unsound commands
  bool exclusive = false;   ///< nothing is read behind it until it has been answered
  ValueHold hold;           ///< of the value that `pipe` streams

  ~ClientSlot();
  void on_reply(const Request& request, Reply&& reply) override;
  bool has_backlog() const override;
  /// Ends the reading of the value that `pipe` streams, if any.
  void release_pipe();
};

}  // namespace arrowfork
