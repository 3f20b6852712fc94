#include "store/journal.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace wheeldeal::store {
namespace {

constexpr std::string_view kLog = ".log", kSnapshot = ".snap", kNew = ".new";
// A record that goes beyond a segment is written whole all the same.
constexpr std::size_t kOver = 4;

std::string name_of(std::uint64_t base, std::string_view kind) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(base));
  return digits + std::string(kind);
}

/// The number in the name of a file of that kind.
bool base_of(const std::string& name, std::string_view kind, std::uint64_t& base) {
  if (name.size() != 16 + kind.size() || name.substr(16) != kind) return false;
  char* end = nullptr;
  std::string digits = name.substr(0, 16);
  base = std::strtoull(digits.c_str(), &end, 16);
  return *end == '\0';
}

struct Change {
  Type type = Type::Put;
  bool ends = false;
  std::uint64_t expires = 0;
  std::string key, value;
};

std::size_t size_of(const std::string& key, const Entry& e) {
  return kRecordHeader + 10 + key.size() + e.value.size();
}

}  // namespace

Fault Journal::open(Opened& opened) {
  if (Fault f = files_->lock(); f != Fault::None) return f;
  if (Fault f = replay(opened, ~std::uint64_t{0}); f != Fault::None) return f;
  std::vector<std::string> names;
  if (Fault f = files_->list(names); f != Fault::None) return f;
  for (const std::string& name : names)
    if (name.size() > kNew.size() && name.substr(name.size() - kNew.size()) == kNew)
      (void)files_->remove(name);  // what is left of it costs only room
  durable_ = opened.last;
  // What was read may be in the system's memory alone, behind a process that was killed: it counts
  // as durable once a snapshot has made it so.
  unproven_ = durable_ > 0;
  bytes_ = opened.bytes;
  live_bytes_ = kFileHeader;
  for (const auto& [key, entry] : opened.entries) live_bytes_ += size_of(key, entry);
  return Fault::None;
}

/// Reads the newest whole snapshot, then the logs in order, up to that sequence.
Fault Journal::replay(Opened& opened, std::uint64_t up_to) {
  opened = Opened();
  std::vector<std::string> names;
  if (Fault f = files_->list(names); f != Fault::None) return f;
  std::vector<std::pair<std::uint64_t, std::string>> snapshots, logs;
  for (std::string& name : names) {
    std::uint64_t base = 0;
    if (base_of(name, kSnapshot, base))
      snapshots.emplace_back(base, std::move(name));
    else if (base_of(name, kLog, base))
      logs.emplace_back(base, std::move(name));
  }
  std::sort(snapshots.rbegin(), snapshots.rend());
  std::sort(logs.begin(), logs.end());
  std::size_t most = limits_.disk_bytes * kOver, body = limits_.record_bytes + kMostKey + 10;
  std::string bytes;
  auto read = [&](const std::string& name) {
    Fault f = files_->read(name, most, bytes);
    if (f != Fault::None) return f;
    ++opened.files, opened.bytes += bytes.size();
    auto header = header_of(bytes);  // one that is damaged does not matter to whole records
    return header && header->version > kVersion ? Fault::Newer : Fault::None;
  };
  auto records = [&] {
    return std::string_view(bytes).substr(std::min(bytes.size(), kFileHeader));
  };
  for (const auto& [base, name] : snapshots) {
    if (Fault f = read(name); f != Fault::None) return f;
    Entries entries;
    Reader reader(records(), body);
    Record r;
    std::uint64_t count = 0;
    bool whole = false, skipped = false;
    while (reader.next(r)) {
      skipped |= reader.skipped();
      whole = r.type == Type::End && r.count == count;
      if (r.type != Type::Put && r.type != Type::Doubted) continue;
      ++count;
      entries[std::string(r.key)] = {std::string(r.value), r.expires, r.sequence,
                                     r.type == Type::Doubted};
    }
    if (!whole || skipped || base > up_to) {
      ++opened.damaged;  // an older one may still be there, and else what is whole in this one
      if (&snapshots.back().second != &name) continue;
    }
    opened.entries = std::move(entries);
    opened.last = base;
    break;
  }
  auto doubt_all = [&] {
    for (auto& [key, entry] : opened.entries) entry.doubted = true;
  };
  if (opened.damaged > 0) doubt_all();
  // By sequence, the copy of the later file: it was written after a sync that had failed.
  std::map<std::uint64_t, Change> changes;
  for (const auto& [base, name] : logs) {
    if (base > up_to) continue;
    if (Fault f = read(name); f != Fault::None) return f;
    Reader reader(records(), body);
    Record r;
    while (reader.next(r))
      if (r.sequence > opened.last && r.sequence <= up_to)
        changes[r.sequence] = {r.type, r.ends, r.expires, std::string(r.key), std::string(r.value)};
    opened.cut = reader.rest();
  }
  for (auto it = changes.begin(); it != changes.end(); ++it) {
    auto& [sequence, c] = *it;
    if (sequence != opened.last + 1) {
      // A hole. A commit is begun once the one before it is durable: where another one stands
      // behind that with the hole, something durable is lost, and may have changed any key. Else
      // the hole is in the last commit, which nobody was told of.
      auto end = std::find_if(it, changes.end(), [](const auto& one) { return one.second.ends; });
      if (end == changes.end() || std::next(end) == changes.end()) break;
      ++opened.damaged, doubt_all();
    }
    opened.last = sequence;
    if (c.type == Type::Erase)
      opened.entries.erase(c.key);
    else
      opened.entries[c.key] = {std::move(c.value), c.expires, sequence, false};
  }
  return Fault::None;
}

Fault Journal::begin_segment(std::uint64_t first) {
  segment_.reset();
  segment_bytes_ = 0;
  std::unique_ptr<File> file;
  if (Fault f = files_->create(name_of(first, kLog), file); f != Fault::None) return f;
  std::string header = text_of({kVersion, Kind::Log, first});
  if (Fault f = file->append(header); f != Fault::None) return f;
  if (Fault f = file->sync(); f != Fault::None) return f;
  // Or the first acknowledged record would be in a file without a name.
  if (Fault f = files_->sync_names(); f != Fault::None) return f;
  segment_ = std::move(file);
  segment_bytes_ = header.size();
  bytes_ += header.size();
  return Fault::None;
}

Fault Journal::commit(std::string_view records, std::uint64_t first, std::uint64_t last) {
  if (unproven_)
    if (Fault f = compact(0); f != Fault::None) return f;
  if (bytes_ + records.size() > limits_.disk_bytes) return Fault::Full;
  if (!segment_ || segment_bytes_ > limits_.segment_bytes)
    if (Fault f = begin_segment(first); f != Fault::None) return f;
  Fault f = segment_->append(records);
  if (f == Fault::None) f = segment_->sync();
  segment_bytes_ += records.size(), bytes_ += records.size();
  if (f != Fault::None) {
    segment_.reset();  // nothing more is written behind what may or may not be there
    return f;
  }
  durable_ = last;
  return Fault::None;
}

Fault Journal::compact(std::uint64_t now) {
  segment_.reset();  // what comes next goes to a segment that the snapshot does not stand for
  Opened all;
  if (Fault f = replay(all, durable_); f != Fault::None) return f;
  if (all.last != durable_) return Fault::Io;  // what was acknowledged can't be read: keep it all
  std::string bytes = text_of({kVersion, Kind::Snapshot, durable_});
  std::uint64_t count = 0;
  for (const auto& [key, e] : all.entries) {
    if (e.expires != 0 && e.expires <= now) continue;
    append(bytes, {.sequence = e.sequence,
                   .type = e.doubted ? Type::Doubted : Type::Put,
                   .expires = e.expires,
                   .key = key,
                   .value = e.value});
    ++count;
  }
  append(bytes, {.sequence = durable_, .type = Type::End, .count = count});
  std::string name = name_of(durable_, kSnapshot);
  std::unique_ptr<File> file;
  if (Fault f = files_->create(name + std::string(kNew), file); f != Fault::None) return f;
  if (Fault f = file->append(bytes); f != Fault::None) return f;
  if (Fault f = file->sync(); f != Fault::None) return f;
  file.reset();
  if (Fault f = files_->rename(name + std::string(kNew), name); f != Fault::None) return f;
  if (Fault f = files_->sync_names(); f != Fault::None) return f;
  // It is there for good: what it stands for may go.
  std::vector<std::string> names;
  if (Fault f = files_->list(names); f != Fault::None) return f;
  unproven_ = false;
  bytes_ = live_bytes_ = bytes.size();
  for (const std::string& one : names) {
    std::uint64_t base = 0;
    bool old = (base_of(one, kSnapshot, base) && base < durable_) ||
               (base_of(one, kLog, base) && base <= durable_);
    if (old) (void)files_->remove(one);  // else read once more, and passed over
  }
  return Fault::None;
}

}  // namespace wheeldeal::store
