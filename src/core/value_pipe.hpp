// A large value on its way from a cache server's connection to a client's, a window at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace arrowfork {

/// One writer and one reader on the same loop. The writer stops at full(), the reader tells of
/// room. Either may end first: the reader by abandon(), the writer by fail() or, after the last
/// byte, by finish().
class ValuePipe {
 public:
  ValuePipe(std::size_t length, std::size_t window) : length_(length), window_(window) {}

  std::size_t length() const { return length_; }  ///< bytes of the whole value

  // The writer's.
  void put(std::string_view bytes) {
    if (abandoned_) return;
    buffer_.append(bytes);
    tell(on_readable_);
  }
  bool full() const { return buffer_.size() >= window_; }
  void set_window(std::size_t window) { window_ = window; }
  void finish() {
    finished_ = true;
    tell(on_readable_);
  }
  void fail() {
    failed_ = !finished_;
    tell(on_readable_);
  }
  bool abandoned() const { return abandoned_; }
  /// Called when there is room again, and when nobody reads any more.
  void on_writable(std::function<void()> call) { on_writable_ = std::move(call); }

  // The reader's.
  std::string take() {
    std::string bytes = std::exchange(buffer_, {});
    if (!bytes.empty()) tell(on_writable_);
    return bytes;
  }
  bool finished() const { return finished_ && buffer_.empty(); }
  bool failed() const { return failed_; }
  std::size_t window() const { return window_; }
  void on_readable(std::function<void()> call) { on_readable_ = std::move(call); }
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_readable_ = nullptr;
    buffer_.clear();
    tell(on_writable_);
  }

 private:
  static void tell(const std::function<void()>& call) {
    if (call) call();
  }
  std::size_t length_, window_;
  std::string buffer_;
  bool finished_ = false, failed_ = false, abandoned_ = false;
  std::function<void()> on_readable_, on_writable_;
};

}  // namespace arrowfork
