// Streams a large value from a cache server's connection to a client's through a bounded buffer.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
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
    if (chunks_.empty() || chunks_.back().size() + bytes.size() > kChunkBytes)
      chunks_.emplace_back();
    chunks_.back().append(bytes);
    buffered_ += bytes.size();
    update_charge();
    notify(on_readable_);
  }
  bool full() const { return !buffers_whole_ && buffered_ >= window_; }
  void set_window(std::size_t window) { window_ = window; }
  void finish() {
    finished_ = true;
    buffers_whole_ = false;
    update_charge();
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
  /// The first bytes that are buffered, up to kChunkBytes or one put(); empty if there are none.
  std::string take() {
    if (chunks_.empty()) return {};
    std::string bytes = std::move(chunks_.front());
    chunks_.pop_front();
    buffered_ -= bytes.size();
    update_charge();
    notify(on_writable_);
    return bytes;
  }
  /// Lets the writer go on to the end of the value, whatever the window, and reserves memory for
  /// all of it; false if there is no room. Call before the first take().
  [[nodiscard]] bool try_buffer_whole() {
    using Priority = robinseam::limits::MemoryAccount::Priority;
    if (buffers_whole_ || finished_) return true;
    if (charge_ && !charge_->try_set(std::max(length_, buffered_), Priority::Backlog)) return false;
    buffers_whole_ = true;
    notify(on_writable_);
    return true;
  }
  /// Whether the writer has put the whole value.
  bool received_whole() const { return finished_; }
  bool finished() const { return finished_ && chunks_.empty(); }
  bool failed() const { return failed_; }
  std::size_t window() const { return window_; }
  void on_readable(std::function<void()> call) { on_readable_ = std::move(call); }
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_readable_ = nullptr;
    buffers_whole_ = false;
    chunks_.clear();
    buffered_ = 0;
    update_charge();
    notify(on_writable_);
  }

 private:
  static constexpr std::size_t kChunkBytes = 64u << 10;

  void update_charge() {
    if (charge_) charge_->set(buffers_whole_ ? std::max(length_, buffered_) : buffered_);
  }
  static void notify(const std::function<void()>& call) {
    if (call) call();
  }
  std::size_t length_, window_;
  std::deque<std::string> chunks_;
  std::size_t buffered_ = 0;  // bytes of chunks_
  std::optional<robinseam::limits::MemoryCharge> charge_;
  bool buffers_whole_ = false;  // the value is buffered to its end, for which memory is reserved
  bool finished_ = false, failed_ = false, abandoned_ = false;
  std::function<void()> on_readable_, on_writable_;
};

}  // namespace arrowfork
