#include "client_slot.hpp"

#include <algorithm>

#include "client_connection.hpp"

namespace arrowfork {
namespace {

// A value that is held back is refused this long before its client's time ends, or in the second
// half of a shorter time. Half of it is for the interval of the sweep, which notices that time.
constexpr Micros kHoldEndMargin = 200 * kMillisecond;

}  // namespace

bool ClientSlot::has_backlog() const {
  return !connection->out_.empty() || &connection->slots_.front() != this;
}

void ClientSlot::on_reply(const Request& request, Reply&& reply) {
  if (reply.kind != Reply::Kind::Served) connection->pace_.record_unserved();
  std::shared_ptr<ValuePipe> pipe = reply.pipe;
  if (pipe) {
    Micros margin = std::min(kHoldEndMargin, reply.time_left / 2);
    hold = {request.class_name, request.repeatable, reply.time_left - margin, 0};
  }
  connection->side_.answer(*this, connection->codec_->reply(tag, request, std::move(reply)),
                           std::move(pipe));
}

ClientSlot::~ClientSlot() {
  ClientSide& side = connection->side_;
  if (id && !done) side.core_.on_client_gone(id);
  side.release_bulk(bulk);
  connection->release_bytes(sizeof(ClientSlot));
  release_pipe();
}

void ClientSlot::release_pipe() {
  if (!pipe) return;
  --connection->side_.streaming_values_;
  pipe->abandon();
  pipe.reset();
}

}  // namespace arrowfork
