#include "store/format.hpp"

#include <boost/crc.hpp>

namespace wheeldeal::store {
namespace {

constexpr std::uint8_t kCommitEndBit = 0x80;
constexpr std::string_view kMagic = "WDSTORE\n";

template <class T>
void put(std::string& bytes, T value) {
  for (std::size_t k = 0; k < sizeof value; ++k)
    bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * k)));
}

template <class T>
T load(std::string_view bytes, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t k = 0; k < sizeof(T); ++k)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + k])) << (8 * k);
  return static_cast<T>(value);
}

}  // namespace

std::uint32_t crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string encode_header(const Header& header) {
  std::string bytes(kMagic);
  put(bytes, header.version);
  put(bytes, static_cast<std::uint32_t>(header.kind));
  put(bytes, header.base);
  put(bytes, crc32c(bytes));
  put(bytes, std::uint32_t{0});
  return bytes;
}

std::optional<Header> decode_header(std::string_view bytes) {
  if (bytes.size() < kFileHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic)
    return std::nullopt;
  if (load<std::uint32_t>(bytes, 24) != crc32c(bytes.substr(0, 24))) return std::nullopt;
  Header h;
  h.version = load<std::uint32_t>(bytes, 8);
  h.kind = static_cast<FileKind>(load<std::uint32_t>(bytes, 12));
  h.base = load<std::uint64_t>(bytes, 16);
  return h;
}

void append(std::string& bytes, const Record& r) {
  std::size_t begin = bytes.size();
  put(bytes, std::uint32_t{0});
  put(bytes, std::uint32_t{0});
  put(bytes, r.sequence);
  put(bytes, static_cast<std::uint8_t>(static_cast<std::uint8_t>(r.type) |
                                       (r.ends_commit ? kCommitEndBit : 0)));
  if (r.type == RecordType::Put || r.type == RecordType::Unverified)
    put(bytes, r.expires), put(bytes, static_cast<std::uint16_t>(r.key.size()));
  if (r.type == RecordType::End) put(bytes, r.count);
  bytes.append(r.key).append(r.value);
  std::string size, crc;
  put(size, static_cast<std::uint32_t>(bytes.size() - begin - kRecordHeaderBytes));
  bytes.replace(begin + 4, 4, size);
  put(crc, crc32c(std::string_view(bytes).substr(begin + 4)));
  bytes.replace(begin, 4, crc);
}

void mark_commit_end(std::string& bytes, std::size_t at) {
  bytes[at + kRecordHeaderBytes - 1] =
      static_cast<char>(bytes[at + kRecordHeaderBytes - 1] | kCommitEndBit);
  std::string crc;
  put(crc, crc32c(std::string_view(bytes).substr(at + 4)));
  bytes.replace(at, 4, crc);
}

bool RecordReader::read_at(std::size_t at, Record& r, std::size_t& size) const {
  if (bytes_.size() - at < kRecordHeaderBytes) return false;
  auto body = load<std::uint32_t>(bytes_, at + 4);
  if (body > max_body_bytes_ || bytes_.size() - at - kRecordHeaderBytes < body) return false;
  std::string_view record_bytes = bytes_.substr(at, kRecordHeaderBytes + body);
  if (load<std::uint32_t>(record_bytes, 0) != crc32c(record_bytes.substr(4))) return false;
  r = Record();
  r.sequence = load<std::uint64_t>(record_bytes, 8);
  auto type = load<std::uint8_t>(record_bytes, 16);
  r.type = static_cast<RecordType>(type & ~kCommitEndBit),
  r.ends_commit = (type & kCommitEndBit) != 0;
  std::string_view rest = record_bytes.substr(kRecordHeaderBytes);
  switch (r.type) {
    case RecordType::Put:
    case RecordType::Unverified: {
      if (rest.size() < 10) return false;
      r.expires = load<std::uint64_t>(rest, 0);
      std::size_t key = load<std::uint16_t>(rest, 8);
      if (rest.size() - 10 < key) return false;
      r.key = rest.substr(10, key), r.value = rest.substr(10 + key);
      break;
    }
    case RecordType::Erase:
      r.key = rest;
      break;
    case RecordType::End:
      if (rest.size() != 8) return false;
      r.count = load<std::uint64_t>(rest, 0);
      break;
    default:
      return false;
  }
  size = record_bytes.size();
  return true;
}

bool RecordReader::next(Record& record) {
  skipped_ = false;
  for (; at_ < bytes_.size(); ++at_, skipped_ = true) {
    std::size_t size = 0;
    if (!read_at(at_, record, size)) continue;
    at_ += size;
    last_record_end_ = at_;
    return true;
  }
  return false;
}

}  // namespace wheeldeal::store
