#include "binary.hpp"

#include <algorithm>

namespace arrowfork::binary {
namespace {

// The body of a rejected request is skipped up to this size, memcached's default limit of an item;
// beyond it the connection is closed.
constexpr std::size_t kMaxSkippedBody = 1u << 20;
constexpr std::size_t kSetExtrasBytes = 8, kGetExtrasBytes = 4;
// Reserved for a body before it arrives, so that an announced length alone costs no memory.
constexpr std::size_t kFirstReserve = 4096;
// memcached defines opcodes up to here (TOUCH, GAT and the SASL, range, vbucket and tap families);
// higher ones are unknown to it as well.
constexpr std::uint8_t kLastKnownOpcode = 0x4f;

template <typename T>
T load(std::string_view bytes, std::size_t at) {
  T value = 0;
  for (std::size_t k = 0; k < sizeof(T); ++k)
    value = static_cast<T>(static_cast<std::uint64_t>(value) << 8 |
                           static_cast<unsigned char>(bytes[at + k]));
  return value;
}

template <typename T>
void store(std::string& to, T value) {
  for (std::size_t k = sizeof(T); k-- > 0;)
    to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * k) & 0xff));
}

void store_header(std::string& to, unsigned char magic, std::uint8_t opcode, std::size_t key,
                  std::size_t extras, std::uint16_t status, std::size_t value, std::uint32_t opaque,
                  std::uint64_t cas) {
  to.reserve(kHeader + extras + key + value);
  store(to, magic);
  store(to, opcode);
  store(to, static_cast<std::uint16_t>(key));
  store(to, static_cast<std::uint8_t>(extras));
  store(to, std::uint8_t{0});  // data type: raw bytes
  store(to, status);
  store(to, static_cast<std::uint32_t>(extras + key + value));
  store(to, opaque);
  store(to, cas);
}

/// Fills `partial` up to `size` bytes from `in`; returns whether it is complete.
bool fill(std::string_view& in, std::string& partial, std::size_t size) {
  std::size_t part = std::min(size - partial.size(), in.size());
  partial.append(in.data(), part);
  in.remove_prefix(part);
  return partial.size() == size;
}

/// Checks opcode and lengths of a request; returns kOk or the status to answer with.
std::uint16_t check_lengths(Opcode opcode, std::size_t key, std::size_t extras, std::size_t value) {
  if (is_read(opcode))
    return key == 0 || key > kMaxKey || extras || value ? status::kInvalid : status::kOk;
  if (is_write(opcode)) {
    if (key == 0 || key > kMaxKey || extras != kSetExtrasBytes) return status::kInvalid;
    return value > kMaxValue ? status::kTooLarge : status::kOk;
  }
  switch (opcode) {
    case Opcode::Noop:
    case Opcode::Version:
    case Opcode::Quit:
    case Opcode::QuitQ:
      return key || extras || value ? status::kInvalid : status::kOk;
    case Opcode::Stat:
      return key > kMaxKey || extras || value ? status::kInvalid : status::kOk;
    default:
      return static_cast<std::uint8_t>(opcode) <= kLastKnownOpcode ? status::kNotSupported
                                                                   : status::kUnknown;
  }
}

}  // namespace

CommandReader::ParseResult CommandReader::parse_header(Command& command) {
  std::string_view h = partial_;
  pending_ = Command();
  pending_.opcode = static_cast<Opcode>(load<std::uint8_t>(h, 1));
  pending_.opaque = load<std::uint32_t>(h, 12);
  pending_.cas = load<std::uint64_t>(h, 16);
  key_size_ = load<std::uint16_t>(h, 2);
  extras_size_ = load<std::uint8_t>(h, 4);
  std::size_t body = load<std::uint32_t>(h, 8);
  bool raw = load<std::uint8_t>(h, 5) == 0;
  bool valid_frame = load<std::uint8_t>(h, 0) == kRequestMagic && body >= key_size_ + extras_size_;
  partial_.clear();
  if (!valid_frame) {
    rejection_status_ = status::kInvalid;
    command = pending_;
    return ParseResult::FramingLost;
  }
  rejection_status_ =
      check_lengths(pending_.opcode, key_size_, extras_size_, body - key_size_ - extras_size_);
  if (rejection_status_ == status::kOk && !raw) rejection_status_ = status::kInvalid;
  bytes_needed_ = body;
  if (rejection_status_ == status::kOk) {
    state_ = State::Body;
    if (is_write(pending_.opcode)) return ParseResult::ValueBegins;
    return ParseResult::Incomplete;
  }
  if (body > kMaxSkippedBody) {
    if (rejection_status_ != status::kTooLarge && !is_write(pending_.opcode))
      rejection_status_ = status::kInvalid;
    command = pending_;
    return ParseResult::FramingLost;
  }
  state_ = State::Skip;  // reported once its body is skipped
  return ParseResult::Incomplete;
}

CommandReader::ParseResult CommandReader::parse(std::string_view& in, Command& command) {
  while (true) {
    if (state_ == State::Header) {
      if (in.empty()) return ParseResult::Incomplete;
      // A wrong magic is reported without waiting for the rest of the header.
      if (partial_.empty() && static_cast<unsigned char>(in.front()) != kRequestMagic) {
        command = Command();
        rejection_status_ = status::kInvalid;
        return ParseResult::FramingLost;
      }
      if (!fill(in, partial_, kHeader)) return ParseResult::Incomplete;
      ParseResult result = parse_header(command);
      if (result == ParseResult::ValueBegins && !announces_values_) continue;
      if (result != ParseResult::Incomplete) return result;
    } else if (state_ == State::Skip) {
      std::size_t size = std::min(bytes_needed_, in.size());
      in.remove_prefix(size);
      bytes_needed_ -= size;
      if (bytes_needed_ > 0) return ParseResult::Incomplete;
      state_ = State::Header;
      command = pending_;
      return ParseResult::Rejected;
    } else if (state_ == State::Refuse) {
      std::size_t size = std::min(bytes_needed_, in.size());
      in.remove_prefix(size);
      bytes_needed_ -= size;
      if (bytes_needed_ > 0) return ParseResult::Incomplete;
      state_ = State::Header;
      command = std::move(pending_);
      return ParseResult::Refused;
    } else {
      partial_.reserve(bytes_needed_);
      if (!fill(in, partial_, bytes_needed_)) return ParseResult::Incomplete;
      state_ = State::Header;
      if (is_write(pending_.opcode)) {
        pending_.flags = load<std::uint32_t>(partial_, 0);
        pending_.expiry = load<std::uint32_t>(partial_, 4);
      }
      pending_.key.assign(partial_, extras_size_, key_size_);
      partial_.erase(0, extras_size_ + key_size_);
      pending_.value = std::move(partial_);
      partial_.clear();
      command = std::move(pending_);
      return ParseResult::Command;
    }
  }
}

bool AnswerReader::parse_header() {
  std::string_view h = partial_;
  pending_ = Answer();
  pending_.opcode = load<std::uint8_t>(h, 1);
  key_size_ = load<std::uint16_t>(h, 2);
  extras_size_ = load<std::uint8_t>(h, 4);
  pending_.status = load<std::uint16_t>(h, 6);
  bytes_needed_ = load<std::uint32_t>(h, 8);
  pending_.opaque = load<std::uint32_t>(h, 12);
  pending_.cas = load<std::uint64_t>(h, 16);
  bool raw = load<std::uint8_t>(h, 5) == 0;
  partial_.clear();
  bool served = pending_.status == status::kOk;
  bool read = served && is_read(static_cast<Opcode>(pending_.opcode));
  if (!raw || bytes_needed_ < key_size_ + extras_size_ || key_size_ > kMaxKey ||
      extras_size_ > kGetExtrasBytes || bytes_needed_ - key_size_ - extras_size_ > kMaxValue ||
      (read && extras_size_ != kGetExtrasBytes))
    return false;
  in_body_ = true;
  pending_.value_dropped = gate_ && bytes_needed_ > 0 && !gate_(bytes_needed_);
  if (!pending_.value_dropped) partial_.reserve(std::min(bytes_needed_, kFirstReserve));
  return true;
}

AnswerReader::ParseResult AnswerReader::parse(std::string_view& in, Answer& answer) {
  while (true) {
    if (!in_body_) {
      if (in.empty()) return ParseResult::Incomplete;
      if (partial_.empty() && static_cast<unsigned char>(in.front()) != kResponseMagic)
        return ParseResult::Malformed;
      if (!fill(in, partial_, kHeader)) return ParseResult::Incomplete;
      if (!parse_header()) return ParseResult::Malformed;
    }
    if (pending_.value_dropped) {
      std::size_t size = std::min(bytes_needed_, in.size());
      in.remove_prefix(size);
      bytes_needed_ -= size;
      if (bytes_needed_ > 0) return ParseResult::Incomplete;
      in_body_ = false;
      answer = std::move(pending_);
      return ParseResult::Answer;
    }
    if (!fill(in, partial_, bytes_needed_)) return ParseResult::Incomplete;
    in_body_ = false;
    if (extras_size_ == kGetExtrasBytes) pending_.flags = load<std::uint32_t>(partial_, 0);
    pending_.key.assign(partial_, extras_size_, key_size_);
    partial_.erase(0, extras_size_ + key_size_);
    pending_.value = std::move(partial_);
    partial_.clear();
    answer = std::move(pending_);
    return ParseResult::Answer;
  }
}

std::string request(const Command& c, std::size_t remaining_value_bytes) {
  std::string text;
  bool write = is_write(c.opcode);
  store_header(text, kRequestMagic, static_cast<std::uint8_t>(c.opcode), c.key.size(),
               write ? kSetExtrasBytes : 0, 0, c.value.size() + remaining_value_bytes, c.opaque,
               c.cas);
  if (write) {
    store(text, c.flags);
    store(text, c.expiry);
  }
  text.append(c.key).append(c.value);
  return text;
}

std::string response(Opcode opcode, std::uint16_t status, std::uint32_t opaque,
                     std::string_view value, std::string_view key, std::uint32_t flags,
                     std::uint64_t cas, std::size_t remaining_value_bytes) {
  std::string text;
  bool read = is_read(opcode) && status == status::kOk;
  if (!read || !includes_key(opcode)) key = {};
  store_header(text, kResponseMagic, static_cast<std::uint8_t>(opcode), key.size(),
               read ? kGetExtrasBytes : 0, status, value.size() + remaining_value_bytes, opaque,
               cas);
  if (read) store(text, flags);
  text.append(key).append(value);
  return text;
}

std::string stat(std::uint32_t opaque, std::string_view name, std::string_view value) {
  std::string text;
  store_header(text, kResponseMagic, static_cast<std::uint8_t>(Opcode::Stat), name.size(), 0, 0,
               value.size(), opaque, 0);
  text.append(name).append(value);
  return text;
}

}  // namespace arrowfork::binary
