#include "server_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace arrowfork::grpc {
namespace {

constexpr std::size_t kMessagePrefixBytes = 5;  // flag and length in front of each message
constexpr std::size_t kMaxPathBytes = 256;

std::string add_prefix(std::string_view message) {
  std::string text(kMessagePrefixBytes, '\0');
  for (std::size_t k = 0; k < 4; ++k)
    text[1 + k] = static_cast<char>(message.size() >> (24 - 8 * k));
  return text.append(message);
}

nghttp2_nv make_header(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

/// Encodes a grpc-message value: '%' and bytes that are not printable ASCII become %XX.
std::string percent_encoded(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : text) {
    if (c >= 32 && c < 127 && c != '%')
      out.push_back(static_cast<char>(c));
    else
      out.append({'%', kHex[c >> 4], kHex[c & 15]});
  }
  return out;
}

std::string_view view(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

}  // namespace

std::optional<Micros> parse_timeout(std::string_view text) {
  // At most eight digits and a unit.
  if (text.size() < 2 || text.size() > 9) return std::nullopt;
  std::int64_t value = 0;
  for (char c : text.substr(0, text.size() - 1)) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  switch (text.back()) {
    case 'H':
      return value * 3600 * kSecond;
    case 'M':
      return value * 60 * kSecond;
    case 'S':
      return value * kSecond;
    case 'm':
      return value * kMillisecond;
    case 'u':
      return value;
    case 'n':
      return value / 1000;
    default:
      return std::nullopt;
  }
}

struct ServerSession::Call {
  // Request headers that the session uses.
  std::string path;
  std::string method;
  Micros timeout = 0;
  std::size_t header_bytes = 0;
  bool is_grpc = false;  // the content type is application/grpc
  bool invalid = false;  // a header value is invalid
  bool compressed = false;
  bool delivered = false;  // on_call() was called
  bool finished = false;   // the status is set; the handler gets no further callbacks
  std::string input;       // received bytes that are not yet a complete message
  std::string output;      // framed messages that nghttp2 has not taken yet
  std::size_t output_offset = 0;
  bool headers_sent = false;  // response headers are submitted
  bool deferred = false;      // nghttp2 waits until `output` grows
  Status status = Status::Ok;
  std::string status_message;
};

struct ServerSession::Callbacks {
  static ServerSession& of(void* self) { return *static_cast<ServerSession*>(self); }

  static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      of(self).calls_.emplace(frame->hd.stream_id, std::make_unique<Call>());
    return 0;
  }

  static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                       std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                       std::uint8_t, void* self) {
    ServerSession& s = of(self);
    auto at = s.calls_.find(frame->hd.stream_id);
    if (at == s.calls_.end()) return 0;
    Call& call = *at->second;
    // RFC 9113, 6.5.2: each field counts 32 bytes more than its name and value.
    call.header_bytes += name_size + value_size + 32;
    if (call.header_bytes > s.limits_.header_bytes) {
      ++s.counts_.headers_too_long;
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;  // resets the stream
    }
    std::string_view key = view(name, name_size), text = view(value, value_size);
    if (key == ":path") {
      call.path = text.substr(0, kMaxPathBytes + 1);
    } else if (key == ":method") {
      call.method = text.substr(0, 16);
    } else if (key == "content-type") {
      call.is_grpc = text == "application/grpc" || text.starts_with("application/grpc+") ||
                     text.starts_with("application/grpc;");
    } else if (key == "grpc-encoding") {
      call.compressed = text != "identity";
    } else if (key == "grpc-timeout") {
      auto timeout = parse_timeout(text);
      call.invalid |= !timeout;
      call.timeout = timeout.value_or(0);
    }
    return 0;
  }

  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    ServerSession& s = of(self);
    if (frame->hd.type == NGHTTP2_PING || frame->hd.type == NGHTTP2_SETTINGS) {
      s.pings_ += !(frame->hd.flags & NGHTTP2_FLAG_ACK);
      s.handshake_complete_ |= frame->hd.type == NGHTTP2_SETTINGS;
      if (s.pings_ > s.limits_.pings_per_s) {
        ++s.counts_.ping_floods;
        s.failed_ = true;
      }
      return 0;
    }
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
    auto at = s.calls_.find(frame->hd.stream_id);
    if (at == s.calls_.end()) return 0;
    CallId id = at->first;
    if (frame->hd.type == NGHTTP2_HEADERS && !at->second->delivered) s.process_headers(id);
    at = s.calls_.find(id);
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && at != s.calls_.end() &&
        at->second->delivered && !at->second->finished)
      s.handler_.on_half_close(id);
    return 0;
  }

  static int on_data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                     std::size_t size, void* self) {
    of(self).receive_data(id, view(bytes, size));
    return 0;
  }

  /// Resets a stream whose call is finished before the caller has half-closed (RFC 9113, 8.1).
  /// Without the reset the stream stays open until the caller closes it.
  static int on_frame_sent(nghttp2_session* session, const nghttp2_frame* frame, void*) {
    if (frame->hd.type == NGHTTP2_HEADERS && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) &&
        nghttp2_session_get_stream_remote_close(session, frame->hd.stream_id) == 0)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t, void* self) {
    of(self).close_call(id);
    return 0;
  }

  static int on_frame_received(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    ServerSession& s = of(self);
    if (frame->hd.type == NGHTTP2_RST_STREAM && ++s.resets_ > s.limits_.resets_per_s) {
      ++s.counts_.rapid_resets;
      s.failed_ = true;
    }
    return on_frame(nullptr, frame, self);
  }

  static ssize_t read_output(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                             std::size_t max_size, std::uint32_t* flags, nghttp2_data_source*,
                             void* self) {
    ServerSession& s = of(self);
    auto at = s.calls_.find(id);
    if (at == s.calls_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Call& call = *at->second;
    std::size_t size = std::min(max_size, call.output.size() - call.output_offset);
    std::memcpy(buffer, call.output.data() + call.output_offset, size);
    call.output_offset += size;
    s.buffered_ -= size;
    if (call.output_offset == call.output.size()) call.output.clear(), call.output_offset = 0;
    if (!call.output.empty()) return static_cast<ssize_t>(size);
    if (!call.finished) {
      if (size > 0) return static_cast<ssize_t>(size);
      call.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    std::string code = std::to_string(static_cast<int>(call.status));
    std::string text = percent_encoded(call.status_message);
    nghttp2_nv trailers[] = {make_header("grpc-status", code), make_header("grpc-message", text)};
    nghttp2_submit_trailer(session, id, trailers, call.status_message.empty() ? 1 : 2);
    return static_cast<ssize_t>(size);
  }
};

ServerSession::ServerSession(const TimeSource& clock, Handler& handler, const Limits& limits,
                             Counts& counts)
    : clock_(clock), handler_(handler), limits_(limits), counts_(counts) {
  nghttp2_session_callbacks* raw_callbacks = nullptr;
  nghttp2_option* option = nullptr;
  if (nghttp2_session_callbacks_new(&raw_callbacks) != 0 || nghttp2_option_new(&option) != 0) {
    nghttp2_session_callbacks_del(raw_callbacks);
    throw std::bad_alloc();
  }
  std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> callbacks(
      raw_callbacks, nghttp2_session_callbacks_del);
  std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)> options(option,
                                                                         nghttp2_option_del);
  nghttp2_session_callbacks_set_on_begin_headers_callback(raw_callbacks,
                                                          Callbacks::on_begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(raw_callbacks, Callbacks::on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(raw_callbacks, Callbacks::on_frame_received);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw_callbacks, Callbacks::on_data);
  nghttp2_session_callbacks_set_on_frame_send_callback(raw_callbacks, Callbacks::on_frame_sent);
  nghttp2_session_callbacks_set_on_stream_close_callback(raw_callbacks, Callbacks::on_close);
  if (nghttp2_session_server_new2(&session_, raw_callbacks, this, option) != 0)
    throw std::bad_alloc();
  nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, limits_.header_bytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(limits_.connection_window));
}

ServerSession::~ServerSession() {
  while (!calls_.empty()) close_call(calls_.begin()->first);
  nghttp2_session_del(session_);
}

/// Called when all request headers of the call have arrived.
void ServerSession::process_headers(CallId id) {
  Call& call = *calls_.at(id);
  if (call.method != "POST" || !call.is_grpc) {
    ++counts_.not_grpc;
    nghttp2_nv status[] = {make_header(":status", call.is_grpc ? "405" : "415")};
    call.finished = true;
    nghttp2_submit_response(session_, id, status, std::size(status), nullptr);
    return;
  }
  call.delivered = true;
  ++counts_.calls;
  if (call.invalid || call.path.size() > kMaxPathBytes) {
    call.delivered = false;
    set_status(id, Status::InvalidArgument, call.invalid ? "grpc-timeout" : ":path");
    return;
  }
  if (call.compressed) {
    call.delivered = false;
    set_status(id, Status::Unimplemented, "grpc-encoding: only identity");
    return;
  }
  std::string path = call.path;
  handler_.on_call(id, path, call.timeout);
}

/// Sets the status of a call and sends it after the pending messages. Does not notify the handler.
void ServerSession::set_status(CallId id, Status status, const std::string& message) {
  Call& call = *calls_.at(id);
  call.status = status;
  call.status_message = message;
  call.finished = true;
  respond(id, call);
}

void ServerSession::receive_data(CallId id, std::string_view bytes) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->finished || !at->second->delivered) return;
  at->second->input.append(bytes);
  // The handler may finish or close the call in each callback, so look it up again every time.
  while ((at = calls_.find(id)) != calls_.end() && !at->second->finished) {
    std::string& input = at->second->input;
    if (input.size() < kMessagePrefixBytes) return;
    std::size_t size = 0;
    for (std::size_t k = 1; k < kMessagePrefixBytes; ++k)
      size = size << 8 | static_cast<unsigned char>(input[k]);
    if (input[0] != 0 || size > limits_.message_bytes) {
      counts_.messages_too_long += input[0] == 0;
      handler_.on_aborted(id);
      ++counts_.aborted;
      set_status(id, input[0] ? Status::Unimplemented : Status::ResourceExhausted,
                 input[0] ? "compressed message" : "message too long");
      return;
    }
    if (input.size() < kMessagePrefixBytes + size) return;
    std::string message = input.substr(kMessagePrefixBytes, size);
    input.erase(0, kMessagePrefixBytes + size);
    handler_.on_message(id, std::move(message));
  }
}

/// Submits the response headers on the first use, then resumes a deferred response body.
void ServerSession::respond(CallId id, Call& call) {
  if (!call.headers_sent) {
    call.headers_sent = true;
    nghttp2_data_provider body{};
    body.read_callback = Callbacks::read_output;
    nghttp2_nv headers[] = {make_header(":status", "200"),
                            make_header("content-type", "application/grpc")};
    nghttp2_submit_response(session_, id, headers, std::size(headers), &body);
  } else if (call.deferred) {
    call.deferred = false;
    nghttp2_session_resume_data(session_, id);
  }
}

void ServerSession::send_message(CallId id, std::string_view bytes) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->finished) return;
  std::string text = add_prefix(bytes);
  buffered_ += text.size();
  at->second->output += text;
  respond(id, *at->second);
}

void ServerSession::finish(CallId id, Status status, const std::string& message) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->finished) return;
  ++counts_.finished;
  set_status(id, status, message);
}

/// Removes a call whose stream is closed; notifies the handler if the call was not finished.
void ServerSession::close_call(CallId id) {
  auto at = calls_.find(id);
  if (at == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(at->second);
  calls_.erase(at);
  buffered_ -= call->output.size() - call->output_offset;
  if (!call->delivered || call->finished) return;
  ++counts_.aborted;
  handler_.on_aborted(id);
}

bool ServerSession::recv(std::string_view bytes) {
  if (failed_) return false;
  if (Micros now = clock_.now(); now - rate_window_start_ >= kSecond) {
    rate_window_start_ = now;
    resets_ = pings_ = 0;
  }
  ssize_t consumed = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (consumed < 0) {
    ++counts_.protocol_errors;
    failed_ = true;
  } else if (failed_) {
    // A rate limit was exceeded: RFC 9113, 7 (ENHANCE_YOUR_CALM).
    nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  } else if (buffered_ + unsent_ > limits_.out_bytes) {
    // The peer sends requests but does not read the answers.
    ++counts_.slow_readers;
    failed_ = true;
  }
  return !failed_ && (nghttp2_session_want_read(session_) || nghttp2_session_want_write(session_));
}

bool ServerSession::send(std::string& out) {
  out.clear();
  const std::uint8_t* bytes = nullptr;
  while (unsent_ + out.size() <= limits_.out_bytes) {
    ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) failed_ = true;
    if (size <= 0) break;
    out.append(view(bytes, static_cast<std::size_t>(size)));
  }
  if (!failed_ && buffered_ + unsent_ + out.size() > limits_.out_bytes) {
    ++counts_.slow_readers;
    failed_ = true;
  }
  return !failed_ && (nghttp2_session_want_read(session_) || nghttp2_session_want_write(session_));
}

void ServerSession::ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void ServerSession::go_away() {
  if (std::exchange(going_away_, true)) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                        nullptr, 0);
}

bool ServerSession::drained() const { return going_away_ && calls_.empty(); }

}  // namespace arrowfork::grpc
