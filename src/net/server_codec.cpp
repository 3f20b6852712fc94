#include "server_codec.hpp"

#include <charconv>
#include <cstring>

#include "client_codec.hpp"

namespace arrowfork {
namespace {

// Larger values are shared with the request instead of copied behind the line.
constexpr std::size_t kMaxCopiedValue = 4096;

class MetaServerCodec final : public ServerCodec {
 public:
  MetaServerCodec(const std::vector<robinseam::ReportField>* fields, ValueGate gate)
      : reader_(fields, std::move(gate)) {}

  Encoded encode(const Request& r, std::int64_t wait_ms, std::uint32_t,
                 ExpectedAnswer& expected) const override {
    expected = {r.write, r.repeatable, r.wants_flags, r.id, 0};
    char digits[24];
    std::string_view wait(digits,
                          static_cast<std::size_t>(
                              std::to_chars(digits, digits + sizeof digits, wait_ms).ptr - digits));
    std::string text;
    std::size_t wait_at = 0;
    bool bulk = r.value && r.value->size() > kMaxCopiedValue;
    std::size_t value = r.value && !bulk ? r.value->size() + 2 : 0;
    if (!r.line_before_deadline.empty()) {
      text.reserve(r.line_before_deadline.size() + wait.size() + r.line_after_deadline.size() + 2 +
                   value);
      wait_at = r.line_before_deadline.size();
      text.append(r.line_before_deadline).append(wait).append(r.line_after_deadline);
    } else {
      text.reserve(128 + r.key.size() + value);
      wait_at = append_command(r, wait, text);
    }
    text += "\r\n";
    if (bulk) return {std::move(text), r.value, "\r\n", wait_at, wait.size()};
    if (r.value) text.append(*r.value).append("\r\n");
    return {std::move(text), nullptr, {}, wait_at, wait.size()};
  }

  Parsed parse(std::string_view& in, const ExpectedAnswer* next, Answer& answer) override {
    arrowfork::Answer read;
    auto parsed = Parsed::Answer;
    switch (reader_.parse(in, read)) {
      case AnswerReader::ParseResult::LargeValue:
        parsed = Parsed::ValueStart;
        break;
      case AnswerReader::ParseResult::Incomplete:
        return Parsed::Incomplete;
      case AnswerReader::ParseResult::Malformed:
        return Parsed::Invalid;
      case AnswerReader::ParseResult::Answer:
        break;
    }
    if (!next || !matches(*next, read)) return Parsed::Invalid;
    answer.status = status_of(read);
    answer.identified = !read.id.empty();
    answer.framing_lost = read.framing_lost;
    answer.value_length = read.length;
    answer.result.value = std::move(read.value);
    answer.result.value_dropped = read.value_dropped;
    answer.result.receipt = std::move(read.receipt);
    answer.result.flags = read.flags.value_or(0);
    answer.result.cache_result = read.cache_result;
    answer.result.report = std::move(read.report);
    return parsed;
  }

  bool in_answer() const override { return reader_.in_answer(); }
  bool ends_early() const override { return reader_.ends_early(); }
  std::optional<Progress> progress(const ExpectedAnswer& next) const override {
    auto value = reader_.partial_value();
    if (!value || value->id != next.id_or_key) return std::nullopt;
    return Progress{value->received, value->missing};
  }
  bool is_other_protocol(unsigned char first) const override {
    return first == binary::kResponseMagic;
  }

 private:
  /// The command line for a request whose client does not speak meta: the form that PROTOCOL
  /// specifies, with the standard meta flags for a binary client's item flags and expiry. Returns
  /// where the wait stands.
  static std::size_t append_command(const Request& r, std::string_view wait, std::string& text) {
    text.append(r.write ? "ms " : "mg ").append(r.key);
    if (r.write)
      text.append(" ").append(std::to_string(r.value->size()));
    else
      text.append(" v");
    if (r.wants_flags) text.append(" f");
    if (r.flags) text.append(" F").append(std::to_string(r.flags));
    if (r.expiry) text.append(" T").append(std::to_string(r.expiry));
    text.append(" O").append(r.id).append(" Pc=").append(r.class_name);
    if (!r.tenant.empty()) text.append(",t=").append(r.tenant);
    text.append(",d=");
    std::size_t wait_at = text.size();
    text.append(wait);
    if (!r.idempotency_key.empty()) text.append(",k=").append(r.idempotency_key);
    if (r.retry) text.append(",r=1");
    if (r.work) text.append(",h=").append(std::to_string(*r.work));
    return wait_at;
  }

  static Status status_of(const arrowfork::Answer& answer) {
    switch (answer.kind) {
      case arrowfork::Answer::Kind::Busy:
        return Status::Rejected;
      case arrowfork::Answer::Kind::Error:
        return Status::Error;
      case arrowfork::Answer::Kind::Miss:
        return Status::Miss;
      default:
        return Status::Ok;
    }
  }

  static bool matches(const ExpectedAnswer& e, const arrowfork::Answer& answer) {
    using Kind = arrowfork::Answer::Kind;
    if (answer.kind == Kind::Value && (e.write || (e.wants_flags && !answer.flags))) return false;
    if (answer.kind == Kind::Stored && !e.write) return false;
    if (answer.kind == Kind::Value || answer.kind == Kind::Stored) return answer.id == e.id_or_key;
    return answer.id.empty() || answer.id == e.id_or_key;
  }

  AnswerReader reader_;
};

/// Sends reads as GETK, whose answer repeats the key; every packet has a unique opaque.
class BinaryServerCodec final : public ServerCodec {
 public:
  BinaryServerCodec(const bool& cas_is_key, ValueGate gate)
      : cas_is_key_(cas_is_key), reader_(std::move(gate)) {}

  Encoded encode(const Request& r, std::int64_t, std::uint32_t opaque,
                 ExpectedAnswer& expected) const override {
    expected = {r.write, r.repeatable, false, r.key, opaque};
    binary::Command c;
    c.opcode = r.write ? binary::Opcode::Set : binary::Opcode::GetK;
    c.opaque = opaque;
    c.flags = r.flags;
    c.expiry = r.expiry;
    if (cas_is_key_ && r.write && is_representable_as_cas(r.idempotency_key))
      c.cas = cas_of(r.idempotency_key);
    c.key = r.key;
    if (r.value && r.value->size() > kMaxCopiedValue)
      return {binary::request(c, r.value->size()), r.value, {}};
    if (r.value) c.value = *r.value;
    return {binary::request(c), nullptr, {}};
  }

  Parsed parse(std::string_view& in, const ExpectedAnswer* next, Answer& answer) override {
    binary::Answer read;
    switch (reader_.parse(in, read)) {
      case binary::AnswerReader::ParseResult::Incomplete:
        return Parsed::Incomplete;
      case binary::AnswerReader::ParseResult::Malformed:
        return Parsed::Invalid;
      case binary::AnswerReader::ParseResult::Answer:
        break;
    }
    if (!next || !matches(*next, read)) return Parsed::Invalid;
    answer = Answer();
    answer.status = status_of(*next, read.status);
    answer.identified = true;  // by the opaque
    if (answer.status == Status::Ok && next->write) answer.result.receipt = receipt_of(read.cas);
    if (answer.status == Status::Ok && !next->write) {
      answer.result.value = std::move(read.value);
      answer.result.value_dropped = read.value_dropped;
      answer.result.flags = read.flags;
    }
    return Parsed::Answer;
  }

  bool in_answer() const override { return reader_.in_answer(); }
  std::optional<Progress> progress(const ExpectedAnswer& next) const override {
    auto body = reader_.partial_body();
    if (!body || body->opaque != next.opaque) return std::nullopt;
    return Progress{body->received, body->missing};
  }
  bool is_other_protocol(unsigned char first) const override {
    return first >= 'A' && first <= 'Z';  // every meta answer starts with a capital letter
  }

 private:
  static Status status_of(const ExpectedAnswer& e, std::uint16_t status) {
    if (status == binary::status::kOk) return Status::Ok;
    if (status == binary::status::kBusy) return Status::Rejected;
    return status == binary::status::kNotFound && !e.write ? Status::Miss : Status::Error;
  }

  static bool matches(const ExpectedAnswer& e, const binary::Answer& answer) {
    auto opcode = e.write ? binary::Opcode::Set : binary::Opcode::GetK;
    if (answer.opaque != e.opaque || answer.opcode != static_cast<std::uint8_t>(opcode))
      return false;
    if (answer.status != binary::status::kOk)
      return answer.key.empty() || answer.key == e.id_or_key;
    if (answer.value_dropped) return !e.write;  // its key with it
    return e.write ? answer.key.empty() && answer.value.empty() : answer.key == e.id_or_key;
  }

  const bool& cas_is_key_;
  binary::AnswerReader reader_;
};

}  // namespace

std::unique_ptr<ServerCodec> ServerCodec::make(ServerProtocol protocol,
                                               const std::vector<robinseam::ReportField>* fields,
                                               const bool& cas_is_key, ValueGate gate) {
  if (protocol == ServerProtocol::Binary)
    return std::make_unique<BinaryServerCodec>(cas_is_key, std::move(gate));
  return std::make_unique<MetaServerCodec>(fields, std::move(gate));
}

bool is_representable_as_cas(const std::string& key) {
  std::uint64_t cas = cas_of(key);
  return cas != 0 && receipt_of(cas) == key;
}

const char* name_of(ServerProtocol protocol) {
  return protocol == ServerProtocol::Binary ? "binary" : "meta";
}

}  // namespace arrowfork
