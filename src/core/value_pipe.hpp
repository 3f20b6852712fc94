// Streams a large value from a cache server's connection to a client's through a bounded buffer.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "../limits/memory_account.hpp"

namespace arrowfork {

/// Has one writer and one reader on the same event loop. The writer stops at full() and goes on
/// after on_writable. Either may end first: the reader by abandon(), the writer by fail() or, after
/// the last byte, by finish().
class ValuePipe {
 public:
  ValuePipe(std::size_t length, std::size_t window) : length_(length), window_(window) {}
  /// What it buffers is reserved in `memory`, whose owner must outlive it.
  ValuePipe(std::size_t length, std::size_t window, robinseam::limits::MemoryAccount& memory)
      : length_(length), window_(window), charge_(std::in_place, memory) {}

  std::size_t length() const { return length_; }  ///< bytes of the whole value

  // For the writer.
  void put(std::string_view bytes) {
    if (abandoned_) return;
    buffer_.append(bytes);
    update_charge();
    notify(on_readable_);
  }
  bool full() const { return buffer_.size() >= window_; }
  void set_window(std::size_t window) { window_ = window; }
  void finish() {
    finished_ = true;
    notify(on_readable_);
  }
  void fail() {
    failed_ = !finished_;
    notify(on_readable_);
  }
  bool abandoned() const { return abandoned_; }
  /// `call` is run when the buffer has free space again and when the reader has ended.
  void on_writable(std::function<void()> call) { on_writable_ = std::move(call); }

  // For the reader.
  std::string take() {
    std::string bytes = std::exchange(buffer_, {});
    update_charge();
    if (!bytes.empty()) notify(on_writable_);
    return bytes;
  }
  bool finished() const { return finished_ && buffer_.empty(); }
  bool failed() const { return failed_; }
  std::size_t window() const { return window_; }
  void on_readable(std::function<void()> call) { on_readable_ = std::move(call); }
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_readable_ = nullptr;
    std::string().swap(buffer_);
    update_charge();
    notify(on_writable_);
  }

 private:
  void update_charge() {
    if (charge_) charge_->set(buffer_.size());
  }
  static void notify(const std::function<void()>& call) {
    if (call) call();
  }
  std::size_t length_, window_;
  std::string buffer_;
  std::optional<robinseam::limits::MemoryCharge> charge_;
  bool finished_ = false, failed_ = false, abandoned_ = false;
  std::function<void()> on_readable_, on_writable_;
};

}  // namespace arrowfork
