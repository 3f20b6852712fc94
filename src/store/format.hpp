// The store's file format. All numbers are little endian.
//
//   file    magic "WDSTORE\n", u32 version, u32 kind (0 log, 1 snapshot), u64 base, u32 crc of
//           these 24 bytes, u32 zero: 32 bytes; then records
//   record  u32 crc of all that follows, u32 size of the body, u64 sequence, u8 type, body;
//           the highest bit of the type is set in the last record of a commit
//   body, by type:
//     put         u64 expires (Unix microseconds; 0: never), u16 size of the key, key, value
//     unverified  as put, for an entry that damage to the store may have changed
//     erase       key
//     end         u64 number of records before it; last record of a snapshot, which is invalid
//                 without it
//
// The base of a log is the sequence of its first record, that of a snapshot the sequence of the
// last change it contains. Sequences increase by one with each change, so a gap shows a lost
// change. The checksum is CRC32C (Castagnoli).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wheeldeal::store {

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kFileHeaderBytes = 32, kRecordHeaderBytes = 17;
inline constexpr std::size_t kMaxKeyBytes = 1024;

enum class FileKind : std::uint32_t { Log = 0, Snapshot = 1 };
enum class RecordType : std::uint8_t { Put = 1, Erase = 2, End = 3, Unverified = 4 };

std::uint32_t crc32c(std::string_view bytes);

struct Header {
  std::uint32_t version = kVersion;
  FileKind kind = FileKind::Log;
  std::uint64_t base = 0;
};
std::string encode_header(const Header& header);
/// Returns nothing if `bytes` do not start with a valid header.
std::optional<Header> decode_header(std::string_view bytes);

/// Key and value point into the bytes that the record was read from.
struct Record {
  std::uint64_t sequence = 0;
  RecordType type = RecordType::Put;
  bool ends_commit = false;  ///< the last record of its commit
  std::uint64_t expires = 0, count = 0;
  std::string_view key = {}, value = {};
};
/// Marks the record at `at`, the last one in `bytes`, as the last of its commit.
void mark_commit_end(std::string& bytes, std::size_t at);
void append(std::string& bytes, const Record& record);

/// Reads a file's records in order and skips damaged bytes up to the next valid record.
class RecordReader {
 public:
  /// `max_bytes`: largest valid body; a record with a larger one counts as damaged.
  RecordReader(std::string_view bytes, std::size_t max_bytes)
      : bytes_(bytes), max_body_bytes_(max_bytes) {}
  /// Reads the next valid record; false at the end.
  bool next(Record& record);
  /// Whether bytes were skipped before the last record.
  bool skipped() const { return skipped_; }
  /// Bytes after the last valid record, once next() has returned false.
  std::size_t trailing_bytes() const { return bytes_.size() - last_record_end_; }

 private:
  bool read_at(std::size_t at, Record& record, std::size_t& size) const;
  std::string_view bytes_;
  std::size_t max_body_bytes_;
  std::size_t at_ = 0, last_record_end_ = 0;
  bool skipped_ = false;
};

}  // namespace wheeldeal::store
