#include "store/journal.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace wheeldeal::store {
namespace {

constexpr std::string_view kLogSuffix = ".log", kSnapshotSuffix = ".snap",
                           kTemporarySuffix = ".new";
// A file may exceed the limit of all files by this factor when it is read, since the last record of
// a segment is written in full.
constexpr std::size_t kMaxFileFactor = 4;

std::string file_name(std::uint64_t base, std::string_view kind) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(base));
  return digits + std::string(kind);
}

/// Parses the sequence in the name of a file with the suffix `kind`.
bool parse_file_name(const std::string& name, std::string_view kind, std::uint64_t& base) {
  if (name.size() != 16 + kind.size() || name.substr(16) != kind) return false;
  char* end = nullptr;
  std::string digits = name.substr(0, 16);
  base = std::strtoull(digits.c_str(), &end, 16);
  return *end == '\0';
}

struct Change {
  RecordType type = RecordType::Put;
  bool ends_commit = false;
  std::uint64_t expires = 0;
  std::string key, value;
};

std::size_t size_of(const std::string& key, const Entry& e) {
  return kRecordHeaderBytes + 10 + key.size() + e.value.size();
}

}  // namespace

Error Journal::open(Contents& opened) {
  if (Error f = files_->lock(); f != Error::None) return f;
  if (Error f = replay(opened, ~std::uint64_t{0}); f != Error::None) return f;
  std::vector<std::string> names;
  if (Error f = files_->list(names); f != Error::None) return f;
  for (const std::string& name : names)
    if (name.size() > kTemporarySuffix.size() &&
        name.substr(name.size() - kTemporarySuffix.size()) == kTemporarySuffix)
      (void)files_->remove(name);  // a leftover file only takes up disk space
  durable_ = opened.last;
  // After a process that was killed, the data read may still be in the page cache only. It counts
  // as durable once this process has written a snapshot.
  needs_snapshot_ = durable_ > 0;
  bytes_ = opened.bytes;
  live_bytes_ = kFileHeaderBytes;
  for (const auto& [key, entry] : opened.entries) live_bytes_ += size_of(key, entry);
  return Error::None;
}

/// Reads the newest valid snapshot, then the logs in order, up to the sequence `up_to`.
Error Journal::replay(Contents& opened, std::uint64_t up_to) {
  opened = Contents();
  std::vector<std::string> names;
  if (Error f = files_->list(names); f != Error::None) return f;
  std::vector<std::pair<std::uint64_t, std::string>> snapshots, logs;
  for (std::string& name : names) {
    std::uint64_t base = 0;
    if (parse_file_name(name, kSnapshotSuffix, base))
      snapshots.emplace_back(base, std::move(name));
    else if (parse_file_name(name, kLogSuffix, base))
      logs.emplace_back(base, std::move(name));
  }
  std::sort(snapshots.rbegin(), snapshots.rend());
  std::sort(logs.begin(), logs.end());
  std::size_t max_bytes = limits_.disk_bytes * kMaxFileFactor,
              body = limits_.record_bytes + kMaxKeyBytes + 10;
  std::string bytes;
  auto read = [&](const std::string& name) {
    Error f = files_->read(name, max_bytes, bytes);
    if (f != Error::None) return f;
    ++opened.files, opened.bytes += bytes.size();
    auto header = decode_header(bytes);  // a damaged header does not invalidate the records
    return header && header->version > kVersion ? Error::NewerVersion : Error::None;
  };
  auto records = [&] {
    return std::string_view(bytes).substr(std::min(bytes.size(), kFileHeaderBytes));
  };
  for (const auto& [base, name] : snapshots) {
    if (Error f = read(name); f != Error::None) return f;
    Entries entries;
    RecordReader reader(records(), body);
    Record r;
    std::uint64_t count = 0;
    bool complete = false, skipped = false;
    while (reader.next(r)) {
      skipped |= reader.skipped();
      complete = r.type == RecordType::End && r.count == count;
      if (r.type != RecordType::Put && r.type != RecordType::Unverified) continue;
      ++count;
      entries[std::string(r.key)] = {std::string(r.value), r.expires, r.sequence,
                                     r.type == RecordType::Unverified};
    }
    if (!complete || skipped || base > up_to) {
      ++opened.damaged_places;  // falls back to an older snapshot, else uses the valid records of
                                // this one
      if (&snapshots.back().second != &name) continue;
    }
    opened.entries = std::move(entries);
    opened.last = base;
    break;
  }
  auto mark_all_unverified = [&] {
    for (auto& [key, entry] : opened.entries) entry.unverified = true;
  };
  if (opened.damaged_places > 0) mark_all_unverified();
  // A sequence may be in two files; the later one counts, since it was written after a failed sync.
  std::map<std::uint64_t, Change> changes;
  for (const auto& [base, name] : logs) {
    if (base > up_to) continue;
    if (Error f = read(name); f != Error::None) return f;
    RecordReader reader(records(), body);
    Record r;
    while (reader.next(r))
      if (r.sequence > opened.last && r.sequence <= up_to)
        changes[r.sequence] = {r.type, r.ends_commit, r.expires, std::string(r.key),
                               std::string(r.value)};
    opened.trailing_bytes = reader.trailing_bytes();
  }
  for (auto it = changes.begin(); it != changes.end(); ++it) {
    auto& [sequence, c] = *it;
    if (sequence != opened.last + 1) {
      // A gap in the sequences. A commit starts only once the one before it is durable. If another
      // commit follows the one with the gap, a durable change is lost, which may have changed any
      // key. Otherwise the gap is in the last commit, which was never acknowledged.
      auto end =
          std::find_if(it, changes.end(), [](const auto& one) { return one.second.ends_commit; });
      if (end == changes.end() || std::next(end) == changes.end()) break;
      ++opened.damaged_places, mark_all_unverified();
    }
    opened.last = sequence;
    if (c.type == RecordType::Erase)
      opened.entries.erase(c.key);
    else
      opened.entries[c.key] = {std::move(c.value), c.expires, sequence, false};
  }
  return Error::None;
}

Error Journal::start_segment(std::uint64_t first) {
  segment_.reset();
  segment_bytes_ = 0;
  std::unique_ptr<File> file;
  if (Error f = files_->create(file_name(first, kLogSuffix), file); f != Error::None) return f;
  std::string header = encode_header({kVersion, FileKind::Log, first});
  if (Error f = file->append(header); f != Error::None) return f;
  if (Error f = file->sync(); f != Error::None) return f;
  // Otherwise the first acknowledged record could be in a file whose name is lost.
  if (Error f = files_->sync_directory(); f != Error::None) return f;
  segment_ = std::move(file);
  segment_bytes_ = header.size();
  bytes_ += header.size();
  return Error::None;
}

Error Journal::commit(std::string_view records, std::uint64_t first, std::uint64_t last) {
  if (needs_snapshot_)
    if (Error f = compact(0); f != Error::None) return f;
  if (bytes_ + records.size() > limits_.disk_bytes) return Error::DiskFull;
  if (!segment_ || segment_bytes_ > limits_.segment_bytes)
    if (Error f = start_segment(first); f != Error::None) return f;
  Error f = segment_->append(records);
  if (f == Error::None) f = segment_->sync();
  segment_bytes_ += records.size(), bytes_ += records.size();
  if (f != Error::None) {
    segment_.reset();  // nothing may follow records that are possibly missing
    return f;
  }
  durable_ = last;
  return Error::None;
}

Error Journal::compact(std::uint64_t now) {
  segment_.reset();  // later changes go to a new segment, which the snapshot does not replace
  Contents all;
  if (Error f = replay(all, durable_); f != Error::None) return f;
  if (all.last != durable_)
    return Error::Io;  // acknowledged changes cannot be read: keep all files
  std::string bytes = encode_header({kVersion, FileKind::Snapshot, durable_});
  std::uint64_t count = 0;
  for (const auto& [key, e] : all.entries) {
    if (e.expires != 0 && e.expires <= now) continue;
    append(bytes, {.sequence = e.sequence,
                   .type = e.unverified ? RecordType::Unverified : RecordType::Put,
                   .expires = e.expires,
                   .key = key,
                   .value = e.value});
    ++count;
  }
  append(bytes, {.sequence = durable_, .type = RecordType::End, .count = count});
  std::string name = file_name(durable_, kSnapshotSuffix);
  std::unique_ptr<File> file;
  if (Error f = files_->create(name + std::string(kTemporarySuffix), file); f != Error::None)
    return f;
  if (Error f = file->append(bytes); f != Error::None) return f;
  if (Error f = file->sync(); f != Error::None) return f;
  file.reset();
  if (Error f = files_->rename(name + std::string(kTemporarySuffix), name); f != Error::None)
    return f;
  if (Error f = files_->sync_directory(); f != Error::None) return f;
  // The snapshot is durable: the files that it replaces can be removed.
  std::vector<std::string> names;
  if (Error f = files_->list(names); f != Error::None) return f;
  needs_snapshot_ = false;
  bytes_ = live_bytes_ = bytes.size();
  for (const std::string& one : names) {
    std::uint64_t base = 0;
    bool old = (parse_file_name(one, kSnapshotSuffix, base) && base < durable_) ||
               (parse_file_name(one, kLogSuffix, base) && base <= durable_);
    if (old) (void)files_->remove(one);  // a file that remains is read again and ignored
  }
  return Error::None;
}

}  // namespace wheeldeal::store
