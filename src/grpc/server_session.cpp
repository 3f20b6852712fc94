#include "server_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace arrowfork::grpc {
namespace {

constexpr std::size_t kPrefix = 5;  // of a message: a flag and its length
constexpr std::size_t kMaxPath = 256;

std::string prefixed(std::string_view message) {
  std::string text(kPrefix, '\0');
  for (std::size_t k = 0; k < 4; ++k)
    text[1 + k] = static_cast<char>(message.size() >> (24 - 8 * k));
  return text.append(message);
}

nghttp2_nv header(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

/// As gRPC has it in grpc-message: what is not printable, and '%', goes as %XX.
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
  // The request's headers, as far as they matter.
  std::string path;
  std::string method;
  Micros timeout = 0;
  std::size_t header_bytes = 0;
  bool grpc = false;  // the content type says so
  bool bad = false;   // a header can't be used
  bool compressed = false;
  bool begun = false;  // on_call was told
  bool done = false;   // finish() was called: the handler hears no more of it
  // Messages in, then out.
  std::string in;
  std::string out;
  std::size_t out_at = 0;
  bool answered = false;  // response headers are out
  bool deferred = false;  // nghttp2 waits for more of `out`
  Status status = Status::Ok;
  std::string text;
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
    // RFC 9113, 6.5.2: each field counts 32 more.
    call.header_bytes += name_size + value_size + 32;
    if (call.header_bytes > s.limits_.header_bytes) {
      ++s.counts_.headers_too_long;
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;  // resets the stream
    }
    std::string_view key = view(name, name_size), text = view(value, value_size);
    if (key == ":path") {
      call.path = text.substr(0, kMaxPath + 1);
    } else if (key == ":method") {
      call.method = text.substr(0, 16);
    } else if (key == "content-type") {
      call.grpc = text == "application/grpc" || text.starts_with("application/grpc+") ||
                  text.starts_with("application/grpc;");
    } else if (key == "grpc-encoding") {
      call.compressed = text != "identity";
    } else if (key == "grpc-timeout") {
      auto timeout = parse_timeout(text);
      call.bad |= !timeout;
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
        s.broken_ = true;
      }
      return 0;
    }
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
    auto at = s.calls_.find(frame->hd.stream_id);
    if (at == s.calls_.end()) return 0;
    CallId id = at->first;
    if (frame->hd.type == NGHTTP2_HEADERS && !at->second->begun) s.begin(id);
    at = s.calls_.find(id);
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && at != s.calls_.end() && at->second->begun &&
        !at->second->done)
      s.handler_.on_half_close(id);
    return 0;
  }

  static int on_data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                     std::size_t size, void* self) {
    of(self).take_data(id, view(bytes, size));
    return 0;
  }

  /// A call that is ended before its caller has half-closed: RFC 9113, 8.1. Without the reset its
  /// stream would stay until the caller thinks of it.
  static int on_sent(nghttp2_session* session, const nghttp2_frame* frame, void*) {
    if (frame->hd.type == NGHTTP2_HEADERS && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) &&
        nghttp2_session_get_stream_remote_close(session, frame->hd.stream_id) == 0)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t, void* self) {
    of(self).end(id);
    return 0;
  }

  static int on_reset_by_peer(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    ServerSession& s = of(self);
    if (frame->hd.type == NGHTTP2_RST_STREAM && ++s.resets_ > s.limits_.resets_per_s) {
      ++s.counts_.rapid_resets;
      s.broken_ = true;
    }
    return on_frame(nullptr, frame, self);
  }

  static ssize_t read_out(nghttp2_session* session, std::int32_t id, std::uint8_t* to,
                          std::size_t most, std::uint32_t* flags, nghttp2_data_source*,
                          void* self) {
    ServerSession& s = of(self);
    auto at = s.calls_.find(id);
    if (at == s.calls_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Call& call = *at->second;
    std::size_t size = std::min(most, call.out.size() - call.out_at);
    std::memcpy(to, call.out.data() + call.out_at, size);
    call.out_at += size;
    s.held_ -= size;
    if (call.out_at == call.out.size()) call.out.clear(), call.out_at = 0;
    if (!call.out.empty()) return static_cast<ssize_t>(size);
    if (!call.done) {
      if (size > 0) return static_cast<ssize_t>(size);
      call.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    std::string code = std::to_string(static_cast<int>(call.status));
    std::string text = percent_encoded(call.text);
    nghttp2_nv trailers[] = {header("grpc-status", code), header("grpc-message", text)};
    nghttp2_submit_trailer(session, id, trailers, call.text.empty() ? 1 : 2);
    return static_cast<ssize_t>(size);
  }
};

ServerSession::ServerSession(const TimeSource& clock, Handler& handler, const Limits& limits,
                             Counts& counts)
    : clock_(clock), handler_(handler), limits_(limits), counts_(counts) {
  nghttp2_session_callbacks* made = nullptr;
  nghttp2_option* option = nullptr;
  if (nghttp2_session_callbacks_new(&made) != 0 || nghttp2_option_new(&option) != 0) {
    nghttp2_session_callbacks_del(made);
    throw std::bad_alloc();
  }
  std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> callbacks(
      made, nghttp2_session_callbacks_del);
  std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)> options(option,
                                                                         nghttp2_option_del);
  nghttp2_session_callbacks_set_on_begin_headers_callback(made, Callbacks::on_begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(made, Callbacks::on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(made, Callbacks::on_reset_by_peer);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, Callbacks::on_data);
  nghttp2_session_callbacks_set_on_frame_send_callback(made, Callbacks::on_sent);
  nghttp2_session_callbacks_set_on_stream_close_callback(made, Callbacks::on_close);
  if (nghttp2_session_server_new2(&session_, made, this, option) != 0) throw std::bad_alloc();
  nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, limits_.header_bytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(limits_.connection_window));
}

ServerSession::~ServerSession() {
  while (!calls_.empty()) end(calls_.begin()->first);
  nghttp2_session_del(session_);
}

/// The call's headers are whole.
void ServerSession::begin(CallId id) {
  Call& call = *calls_.at(id);
  if (call.method != "POST" || !call.grpc) {
    ++counts_.not_grpc;
    nghttp2_nv status[] = {header(":status", call.grpc ? "405" : "415")};
    call.done = true;
    nghttp2_submit_response(session_, id, status, std::size(status), nullptr);
    return;
  }
  call.begun = true;
  ++counts_.calls;
  if (call.bad || call.path.size() > kMaxPath) {
    call.begun = false;
    finish_unseen(id, Status::InvalidArgument, call.bad ? "grpc-timeout" : ":path");
    return;
  }
  if (call.compressed) {
    call.begun = false;
    finish_unseen(id, Status::Unimplemented, "grpc-encoding: only identity");
    return;
  }
  std::string path = call.path;
  handler_.on_call(id, path, call.timeout);
}

/// Ends a call that the handler has not been told of.
void ServerSession::finish_unseen(CallId id, Status status, const std::string& text) {
  Call& call = *calls_.at(id);
  call.status = status;
  call.text = text;
  call.done = true;
  answer(id, call);
}

void ServerSession::take_data(CallId id, std::string_view bytes) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->done || !at->second->begun) return;
  at->second->in.append(bytes);
  // Whatever the handler does, the call may be gone after each message.
  while ((at = calls_.find(id)) != calls_.end() && !at->second->done) {
    std::string& in = at->second->in;
    if (in.size() < kPrefix) return;
    std::size_t size = 0;
    for (std::size_t k = 1; k < kPrefix; ++k) size = size << 8 | static_cast<unsigned char>(in[k]);
    if (in[0] != 0 || size > limits_.message_bytes) {
      counts_.messages_too_long += in[0] == 0;
      handler_.on_aborted(id);
      ++counts_.aborted;
      finish_unseen(id, in[0] ? Status::Unimplemented : Status::ResourceExhausted,
                    in[0] ? "compressed message" : "message too long");
      return;
    }
    if (in.size() < kPrefix + size) return;
    std::string message = in.substr(kPrefix, size);
    in.erase(0, kPrefix + size);
    handler_.on_message(id, std::move(message));
  }
}

/// Sends the response's headers once, and wakes its body.
void ServerSession::answer(CallId id, Call& call) {
  if (!call.answered) {
    call.answered = true;
    nghttp2_data_provider body{};
    body.read_callback = Callbacks::read_out;
    nghttp2_nv headers[] = {header(":status", "200"), header("content-type", "application/grpc")};
    nghttp2_submit_response(session_, id, headers, std::size(headers), &body);
  } else if (call.deferred) {
    call.deferred = false;
    nghttp2_session_resume_data(session_, id);
  }
}

void ServerSession::send_message(CallId id, std::string_view bytes) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->done) return;
  std::string text = prefixed(bytes);
  held_ += text.size();
  at->second->out += text;
  answer(id, *at->second);
}

void ServerSession::finish(CallId id, Status status, const std::string& text) {
  auto at = calls_.find(id);
  if (at == calls_.end() || at->second->done) return;
  ++counts_.finished;
  finish_unseen(id, status, text);
}

/// The stream is closed.
void ServerSession::end(CallId id) {
  auto at = calls_.find(id);
  if (at == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(at->second);
  calls_.erase(at);
  held_ -= call->out.size() - call->out_at;
  if (!call->begun || call->done) return;
  ++counts_.aborted;
  handler_.on_aborted(id);
}

bool ServerSession::recv(std::string_view bytes) {
  if (broken_) return false;
  if (Micros now = clock_.now(); now - second_ >= kSecond) {
    second_ = now;
    resets_ = pings_ = 0;
  }
  ssize_t taken = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (taken < 0) {
    ++counts_.protocol_errors;
    broken_ = true;
  } else if (broken_) {  // a limit: RFC 9113, 7
    nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  } else if (held_ + unsent_ > limits_.out_bytes) {  // it asks on and reads nothing
    ++counts_.slow_readers;
    broken_ = true;
  }
  return !broken_ && (nghttp2_session_want_read(session_) || nghttp2_session_want_write(session_));
}

bool ServerSession::send(std::string& out) {
  out.clear();
  const std::uint8_t* bytes = nullptr;
  while (unsent_ + out.size() <= limits_.out_bytes) {
    ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) broken_ = true;
    if (size <= 0) break;
    out.append(view(bytes, static_cast<std::size_t>(size)));
  }
  if (!broken_ && held_ + unsent_ + out.size() > limits_.out_bytes) {
    ++counts_.slow_readers;
    broken_ = true;
  }
  return !broken_ && (nghttp2_session_want_read(session_) || nghttp2_session_want_write(session_));
}

void ServerSession::ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void ServerSession::go_away() {
  if (std::exchange(leaving_, true)) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                        nullptr, 0);
}

bool ServerSession::drained() const { return leaving_ && calls_.empty(); }

}  // namespace arrowfork::grpc
