#include "store/store.hpp"

#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace wheeldeal::store {

std::size_t KeyHash::operator()(std::string_view key) const {
  return static_cast<std::size_t>(XXH3_64bits(key.data(), key.size()));
}

void Store::load(Journal::Contents&& opened) {
  last_ = durable_ = opened.last;
  std::vector<std::pair<const std::string*, Entry*>> all;
  for (auto& [key, entry] : opened.entries) all.emplace_back(&key, &entry);
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.second->sequence > b.second->sequence; });
  for (auto& [key, entry] : all) {
    if (memory_ + entry_bytes(*key, entry->value) > limits_.memory_bytes) return;
    memory_ += entry_bytes(*key, entry->value);
    entries_.emplace(*key, std::move(*entry));
  }
}

Error Store::append_change(const Record& record, Sequence& token) {
  if (waiting_.size() + record.key.size() + record.value.size() + kRecordHeaderBytes + 10 >
      limits_.waiting_bytes)
    return Error::Backlogged;
  Record numbered = record;
  token = numbered.sequence = ++last_;
  append(waiting_, numbered);
  change_ends_.emplace_back(token, waiting_.size());
  return Error::None;
}

Error Store::put(std::string_view key, std::string_view value, std::uint64_t expires,
                 Sequence& token) {
  token = 0;
  if (key.size() > kMaxKeyBytes || value.size() > limits_.record_bytes) return Error::TooLarge;
  auto at = entries_.find(key);
  std::size_t had = at == entries_.end() ? 0 : entry_bytes(key, at->second.value);
  if (memory_ - had + entry_bytes(key, value) > limits_.memory_bytes) return Error::DiskFull;
  Record r{.type = RecordType::Put, .expires = expires, .key = key, .value = value};
  if (Error f = append_change(r, token); f != Error::None) return f;
  memory_ = memory_ - had + entry_bytes(key, value);
  if (at == entries_.end()) at = entries_.emplace(key, Entry()).first;
  at->second = {std::string(value), expires, token, false};
  return Error::None;
}

Error Store::erase(std::string_view key, Sequence& token) {
  token = 0;
  auto at = entries_.find(key);
  if (at == entries_.end()) return Error::None;
  if (Error f = append_change({.type = RecordType::Erase, .key = key}, token); f != Error::None)
    return f;
  memory_ -= entry_bytes(key, at->second.value);
  entries_.erase(at);
  return Error::None;
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
  mark_commit_end(b.records,
                  change_ends_.size() > 1 ? change_ends_[change_ends_.size() - 2].second : 0);
  return b;
}

void Store::expire(std::uint64_t now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    // A waiting change of an expired entry is still written, since its sequence is taken. The next
    // reader drops it.
    bool over = e.expires != 0 && e.expires <= now;
    if (over) memory_ -= entry_bytes(it->first, e.value);
    it = over ? entries_.erase(it) : std::next(it);
  }
}

void Store::mark_durable(Sequence last) {
  durable_ = std::max(durable_, last);
  auto end = std::find_if(change_ends_.begin(), change_ends_.end(),
                          [&](const auto& one) { return one.first > durable_; });
  if (end == change_ends_.begin()) return;
  std::size_t done = std::prev(end)->second;
  waiting_.erase(0, done);
  change_ends_.erase(change_ends_.begin(), end);
  for (auto& [token, at] : change_ends_) at -= done;
}

}  // namespace wheeldeal::store
