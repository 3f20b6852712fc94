#include "server_codec.hpp"

#include <charconv>
#include <cstring>

#include "client_codec.hpp"

namespace arrowfork {
namespace {

class MetaServerCodec final : public ServerCodec {
 public:
  explicit MetaServerCodec(const std::vector<robinseam::ReportField>* fields) : reader_(fields) {}

  Encoded encode(const Request& r, std::int64_t wait_ms, std::uint32_t,
                 Expected& expected) const override {
    expected = {r.write, r.wants_flags, r.id, 0};
    char digits[24];
    std::string_view wait(digits,
                          static_cast<std::size_t>(
                              std::to_chars(digits, digits + sizeof digits, wait_ms).ptr - digits));
    std::string text;
    bool bulk = r.value && r.value->size() > kMaxValue;
    std::size_t value = r.value && !bulk ? r.value->size() + 2 : 0;
    if (!r.line_before_wait.empty()) {
      text.reserve(r.line_before_wait.size() + wait.size() + r.line_after_wait.size() + 2 + value);
      text.append(r.line_before_wait).append(wait).append(r.line_after_wait);
    } else {
      text.reserve(128 + r.key.size() + value);
      compose(r, wait, text);
    }
    text += "\r\n";
    if (bulk) return {std::move(text), r.value, "\r\n"};
    if (r.value) text.append(*r.value).append("\r\n");
    return {std::move(text), nullptr, {}};
  }

  Got take(std::string_view& in, const Expected* next, Answer& answer) override {
    arrowfork::Answer got;
    auto what = Got::Answer;
    switch (reader_.take(in, got)) {
      case AnswerReader::Got::Begin:
        what = Got::Begin;
        break;
      case AnswerReader::Got::Nothing:
        return Got::Nothing;
      case AnswerReader::Got::Broken:
        return Got::Broken;
      case AnswerReader::Got::Answer:
        break;
    }
    if (!next || !fits(*next, got)) return Got::Broken;
    answer.status = status_of(got);
    answer.named = !got.id.empty();
    answer.last = got.last;
    answer.length = got.length;
    answer.result.value = std::move(got.value);
    answer.result.receipt = std::move(got.receipt);
    answer.result.flags = got.flags.value_or(0);
    answer.result.note = got.note;
    answer.result.report = std::move(got.report);
    return what;
  }

  bool in_answer() const override { return reader_.in_answer(); }
  bool ends_early() const override { return reader_.ends_early(); }
  bool is_other_protocol(unsigned char first) const override {
    return first == binary::kResponseMagic;
  }

 private:
  /// The line of a request whose client does not speak meta: PROTOCOL's form, and the standard meta
  /// flags for what a binary client keeps beside its value.
  static void compose(const Request& r, std::string_view wait, std::string& text) {
    text.append(r.write ? "ms " : "mg ").append(r.key);
    if (r.write)
      text.append(" ").append(std::to_string(r.value->size()));
    else
      text.append(" v");
    if (r.wants_flags) text.append(" f");
    if (r.flags) text.append(" F").append(std::to_string(r.flags));
    if (r.expiry) text.append(" T").append(std::to_string(r.expiry));
    text.append(" O").append(r.id).append(" Pc=").append(r.type);
    if (!r.tenant.empty()) text.append(",t=").append(r.tenant);
    text.append(",d=").append(wait);
    if (!r.idempotency.empty()) text.append(",k=").append(r.idempotency);
    if (r.repeat) text.append(",r=1");
    if (r.work) text.append(",h=").append(std::to_string(*r.work));
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

  static bool fits(const Expected& e, const arrowfork::Answer& answer) {
    using Kind = arrowfork::Answer::Kind;
    if (answer.kind == Kind::Value && (e.write || (e.wants_flags && !answer.flags))) return false;
    if (answer.kind == Kind::Stored && !e.write) return false;
    if (answer.kind == Kind::Value || answer.kind == Kind::Stored) return answer.id == e.name;
    return answer.id.empty() || answer.id == e.name;
  }

  AnswerReader reader_;
};

/// Reads are sent as GETK, whose answer names the key, and every packet bears an opaque of its own.
class BinaryServerCodec final : public ServerCodec {
 public:
  explicit BinaryServerCodec(const bool& cas_is_key) : cas_is_key_(cas_is_key) {}

  Encoded encode(const Request& r, std::int64_t, std::uint32_t opaque,
                 Expected& expected) const override {
    expected = {r.write, false, r.key, opaque};
    binary::Command c;
    c.opcode = r.write ? binary::Opcode::Set : binary::Opcode::GetK;
    c.opaque = opaque;
    c.flags = r.flags;
    c.expiry = r.expiry;
    if (cas_is_key_ && r.write && fits_cas(r.idempotency)) c.cas = cas_of(r.idempotency);
    c.key = r.key;
    if (r.value) c.value = *r.value;
    return {binary::request(c), nullptr, {}};
  }

  Got take(std::string_view& in, const Expected* next, Answer& answer) override {
    binary::Answer got;
    switch (reader_.take(in, got)) {
      case binary::AnswerReader::Got::Nothing:
        return Got::Nothing;
      case binary::AnswerReader::Got::Broken:
        return Got::Broken;
      case binary::AnswerReader::Got::Answer:
        break;
    }
    if (!next || !fits(*next, got)) return Got::Broken;
    answer = Answer();
    answer.status = status_of(*next, got.status);
    answer.named = true;  // by its opaque
    if (answer.status == Status::Ok && next->write) answer.result.receipt = receipt_of(got.cas);
    if (answer.status == Status::Ok && !next->write) {
      answer.result.value = std::move(got.value);
      answer.result.flags = got.flags;
    }
    return Got::Answer;
  }

  bool in_answer() const override { return reader_.in_answer(); }
  bool is_other_protocol(unsigned char first) const override {
    return first >= 'A' && first <= 'Z';  // every meta answer begins so
  }

 private:
  static Status status_of(const Expected& e, std::uint16_t status) {
    if (status == binary::status::kOk) return Status::Ok;
    if (status == binary::status::kBusy) return Status::Rejected;
    return status == binary::status::kNotFound && !e.write ? Status::Miss : Status::Error;
  }

  static bool fits(const Expected& e, const binary::Answer& answer) {
    auto opcode = e.write ? binary::Opcode::Set : binary::Opcode::GetK;
    if (answer.opaque != e.opaque || answer.opcode != static_cast<std::uint8_t>(opcode))
      return false;
    if (answer.status != binary::status::kOk) return answer.key.empty() || answer.key == e.name;
    return e.write ? answer.key.empty() && answer.value.empty() : answer.key == e.name;
  }

  const bool& cas_is_key_;
  binary::AnswerReader reader_;
};

}  // namespace

std::unique_ptr<ServerCodec> ServerCodec::make(ServerProtocol protocol,
                                               const std::vector<robinseam::ReportField>* fields,
                                               const bool& cas_is_key) {
  if (protocol == ServerProtocol::Binary) return std::make_unique<BinaryServerCodec>(cas_is_key);
  return std::make_unique<MetaServerCodec>(fields);
}

bool fits_cas(const std::string& key) {
  std::uint64_t cas = cas_of(key);
  return cas != 0 && receipt_of(cas) == key;
}

const char* name_of(ServerProtocol protocol) {
  return protocol == ServerProtocol::Binary ? "binary" : "meta";
}

}  // namespace arrowfork
