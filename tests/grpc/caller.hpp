// A gRPC client without I/O for tests of the server session, built on nghttp2's client side.
#pragma once

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <cstring>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arrowfork::test {

class Caller {
 public:
  struct Response {
    std::map<std::string, std::string> headers;  // and trailers
    std::string data;
    bool ended = false, closed = false;
    std::uint32_t error = 0;
  };

  Caller() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks, [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t, void* self) {
          of(self)
              .responses[frame->hd.stream_id]
              .headers[std::string(reinterpret_cast<const char*>(name), name_size)] =
              std::string(reinterpret_cast<const char*>(value), value_size);
          return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                      std::size_t size, void* self) {
          of(self).responses[id].data.append(reinterpret_cast<const char*>(bytes), size);
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          if (frame->hd.type == NGHTTP2_GOAWAY) {
            of(self).goaway = true;
            of(self).goaway_error = frame->goaway.error_code;
          }
          if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)
            of(self).responses[frame->hd.stream_id].ended = true;
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, [](nghttp2_session*, std::int32_t id, std::uint32_t error, void* self) {
          of(self).responses[id].closed = true;
          of(self).responses[id].error = error;
          return 0;
        });
    nghttp2_session_client_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
  }
  ~Caller() { nghttp2_session_del(session_); }
  Caller(const Caller&) = delete;

  using Headers = std::vector<std::pair<std::string, std::string>>;
  /// Starts a call that stays open for messages.
  std::int32_t call(const std::string& path, const Headers& more = {},
                    const std::string& type = "application/grpc",
                    const std::string& method = "POST") {
    Headers all = {{":method", method},
                   {":scheme", "http"},
                   {":path", path},
                   {":authority", "x"},
                   {"te", "trailers"}};
    if (!type.empty()) all.emplace_back("content-type", type);
    all.insert(all.end(), more.begin(), more.end());
    std::vector<nghttp2_nv> fields;
    for (auto& [name, value] : all)
      fields.push_back({reinterpret_cast<std::uint8_t*>(name.data()),
                        reinterpret_cast<std::uint8_t*>(value.data()), name.size(), value.size(),
                        NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider body{};
    body.read_callback = read_body;
    return nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), &body, nullptr);
  }
  void send_bytes(std::int32_t id, const std::string& raw) {
    out_[id] += raw;
    nghttp2_session_resume_data(session_, id);
  }
  void send_message(std::int32_t id, const std::string& text) {
    std::string prefix(5, '\0');
    for (std::size_t k = 0; k < 4; ++k)
      prefix[1 + k] = static_cast<char>(text.size() >> (24 - 8 * k));
    send_bytes(id, prefix + text);
  }
  void half_close(std::int32_t id) {
    half_closed_[id] = true;
    nghttp2_session_resume_data(session_, id);
  }
  void reset(std::int32_t id) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  }
  void ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

  std::string send() {
    std::string out;
    const std::uint8_t* bytes = nullptr;
    for (ssize_t size; (size = nghttp2_session_mem_send(session_, &bytes)) > 0;)
      out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    return out;
  }
  void recv(std::string_view in) {
    EXPECT_EQ(nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(in.data()),
                                       in.size()),
              static_cast<ssize_t>(in.size()));
  }
  /// The complete messages received on a call.
  std::vector<std::string> messages(std::int32_t id) {
    std::vector<std::string> all;
    std::string_view data = responses[id].data;
    while (data.size() >= 5) {
      std::size_t size = 0;
      for (std::size_t k = 1; k < 5; ++k) size = size << 8 | static_cast<unsigned char>(data[k]);
      if (data.size() < 5 + size) break;
      all.emplace_back(data.substr(5, size));
      data.remove_prefix(5 + size);
    }
    return all;
  }

  std::map<std::int32_t, Response> responses;
  bool goaway = false;
  std::uint32_t goaway_error = 0;

 private:
  static Caller& of(void* self) { return *static_cast<Caller*>(self); }
  static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* buffer,
                           std::size_t max_size, std::uint32_t* flags, nghttp2_data_source*,
                           void* self) {
    std::string& out = of(self).out_[id];
    std::size_t size = std::min(max_size, out.size());
    std::memcpy(buffer, out.data(), size);
    out.erase(0, size);
    if (out.empty() && of(self).half_closed_[id])
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (size == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(size);
  }
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, std::string> out_;
  std::map<std::int32_t, bool> half_closed_;
};

}  // namespace arrowfork::test
