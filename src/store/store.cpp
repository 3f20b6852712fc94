#include "store/store.hpp"

#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace wheeldeal::store {

std::size_t KeyHash::operator()(std::string_view key) const {
  return static_cast<std::size_t>(XXH3_64bits(key.data(), key.size()));
}

void Store::load(Journal::Opened&& opened) {
  last_ = durable_ = opened.last;
  std::vector<std::pair<const std::string*, Entry*>> all;
  for (auto& [key, entry] : opened.entries) all.emplace_back(&key, &entry);
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.second->sequence > b.second->sequence; });
  for (auto& [key, entry] : all) {
    if (memory_ + weight(*key, entry->value) > limits_.memory_bytes) return;
    memory_ += weight(*key, entry->value);
    entries_.emplace(*key, std::move(*entry));
  }
}

Fault Store::change(const Record& record, Token& token) {
  if (waiting_.size() + record.key.size() + record.value.size() + kRecordHeader + 10 >
      limits_.waiting_bytes)
    return Fault::Busy;
  Record numbered = record;
  token = numbered.sequence = ++last_;
  append(waiting_, numbered);
  ends_.emplace_back(token, waiting_.size());
  return Fault::None;
}

Fault Store::put(std::string_view key, std::string_view value, std::uint64_t expires,
                 Token& token) {
  token = 0;
  if (key.size() > kMostKey || value.size() > limits_.record_bytes) return Fault::TooLarge;
  auto at = entries_.find(key);
  std::size_t had = at == entries_.end() ? 0 : weight(key, at->second.value);
  if (memory_ - had + weight(key, value) > limits_.memory_bytes) return Fault::Full;
  Record r{.type = Type::Put, .expires = expires, .key = key, .value = value};
  if (Fault f = change(r, token); f != Fault::None) return f;
  memory_ = memory_ - had + weight(key, value);
  if (at == entries_.end()) at = entries_.emplace(key, Entry()).first;
  at->second = {std::string(value), expires, token, false};
  return Fault::None;
}

Fault Store::erase(std::string_view key, Token& token) {
  token = 0;
  auto at = entries_.find(key);
  if (at == entries_.end()) return Fault::None;
  if (Fault f = change({.type = Type::Erase, .key = key}, token); f != Fault::None) return f;
  memory_ -= weight(key, at->second.value);
  entries_.erase(at);
  return Fault::None;
}

const Entry* Store::get(std::string_view key, std::uint64_t now) const {
  auto at = entries_.find(key);
  if (at == entries_.end()) return nullptr;
  const Entry& e = at->second;
  return e.expires != 0 && e.expires <= now ? nullptr : &e;
}

void Store::scan(std::string_view prefix, std::uint64_t now,
                 const std::function<void(const std::string&, const Entry&)>& each) const {
  for (const auto& [key, e] : entries_)
    if (std::string_view(key).substr(0, prefix.size()) == prefix &&
        (e.expires == 0 || e.expires > now))
      each(key, e);
}

Store::Batch Store::batch() const {
  if (waiting_.empty()) return {};
  Batch b{waiting_, durable_ + 1, last_};
  end_commit(b.records, ends_.size() > 1 ? ends_[ends_.size() - 2].second : 0);
  return b;
}

void Store::expire(std::uint64_t now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    // A change that waits is numbered already: it is written, and dropped by the next reader.
    bool over = e.expires != 0 && e.expires <= now;
    if (over) memory_ -= weight(it->first, e.value);
    it = over ? entries_.erase(it) : std::next(it);
  }
}

void Store::written(Token last) {
  durable_ = std::max(durable_, last);
  auto end = std::find_if(ends_.begin(), ends_.end(),
                          [&](const auto& one) { return one.first > durable_; });
  if (end == ends_.begin()) return;
  std::size_t done = std::prev(end)->second;
  waiting_.erase(0, done);
  ends_.erase(ends_.begin(), end);
  for (auto& [token, at] : ends_) at -= done;
}

}  // namespace wheeldeal::store
