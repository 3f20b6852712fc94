// The store's bytes. All figures are little endian.
//
//   file    magic "WDSTORE\n", u32 version, u32 kind (0 log, 1 snapshot), u64 base, u32 crc of
//           these 24 bytes, u32 zero: 32 bytes; then records
//   record  u32 crc of all that follows, u32 size of the body, u64 sequence, u8 type, body
//   put     u64 expires (Unix time in microseconds; 0: never), u16 size of the key, key, value
//   unverified the same as a put: it was kept past damage that may have changed it
//   erase   the key
//   the type's highest bit is set in the last record of a commit
//   end     u64 records before it: the last one of a snapshot, which is no snapshot without it
//
// A log's base is the sequence of its first record; a snapshot's that of the last change it holds.
// Sequences rise by one with each change, so a hole tells of what is lost. CRC32C (Castagnoli).
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
/// Nothing where it isn't one, or is damaged.
std::optional<Header> decode_header(std::string_view bytes);

/// Views into the bytes it was read from.
struct Record {
  std::uint64_t sequence = 0;
  RecordType type = RecordType::Put;
  bool ends = false;  ///< the last of its commit
  std::uint64_t expires = 0, count = 0;
  std::string_view key = {}, value = {};
};
/// Says in the record at `at`, the last of `bytes`, that its commit ends with it.
void mark_commit_end(std::string& bytes, std::size_t at);
void append(std::string& bytes, const Record& record);

/// Reads a file's records in order; what is damaged is passed over, to the next whole record.
class RecordReader {
 public:
  /// `most`: bytes of a body; what claims more is damage.
  RecordReader(std::string_view bytes, std::size_t most) : bytes_(bytes), most_(most) {}
  /// The next whole record; false at the end.
  bool next(Record& record);
  /// Whether bytes were passed over before the record that came last.
  bool skipped() const { return skipped_; }
  /// Bytes behind the last whole record, once next() has said false.
  std::size_t trailing_bytes() const { return bytes_.size() - whole_; }

 private:
  bool read_at(std::size_t at, Record& record, std::size_t& size) const;
  std::string_view bytes_;
  std::size_t most_;
  std::size_t at_ = 0, whole_ = 0;
  bool skipped_ = false;
};

}  // namespace wheeldeal::store
