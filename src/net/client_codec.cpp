#include "client_codec.hpp"

#include <algorithm>
#include <charconv>

namespace arrowfork {
namespace {

const char* const kVersion = "wheeldeal " ARROWFORK_VERSION;

/// Milliseconds, rounded up.
std::string millis_text(Micros span) {
  return std::to_string((span + kMillisecond - 1) / kMillisecond);
}

std::string busy_text(Micros retry_after) {
  return retry_after > 0 ? "busy " + millis_text(retry_after) : "busy";
}

}  // namespace

std::uint64_t cas_of(std::string_view receipt) {
  std::uint64_t cas = 0;
  const char* end = receipt.data() + receipt.size();
  auto [stop, error] = std::from_chars(receipt.data(), end, cas, 16);
  return error == std::errc() && stop == end ? cas : 0;
}

std::string receipt_of(std::uint64_t cas) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string text(16, '0');
  for (char& c : text) c = kHex[cas >> 60], cas <<= 4;
  return text;
}

// ---- meta ----

/// meta.hpp checks the syntax, this function what depends on the settings. Nothing that fails
/// either check is forwarded: a cache server may close the connection for it, and other requests
/// wait on the same connection.
ClientCodec::ParseResult MetaClientCodec::parse(std::string_view& in, ParsedCommand& parsed) {
  Command command;
  ParseResult result = ParseResult::Request;
  parsed.rejected = true;
  switch (reader_.parse(in, command)) {
    case CommandReader::ParseResult::Incomplete:
      return ParseResult::Incomplete;
    case CommandReader::ParseResult::ValueBegins:
      return ParseResult::ValueBegins;
    case CommandReader::ParseResult::Refused:
      result = ParseResult::Refused;
      break;
    case CommandReader::ParseResult::Noop:
      parsed.rejected = false;
      parsed.answer = operator_drain_ ? "SERVER_ERROR draining\r\n" : "MN\r\n";
      return ParseResult::Answer;
    case CommandReader::ParseResult::Unknown:
      parsed.answer = "ERROR\r\n";
      return ParseResult::Answer;
    case CommandReader::ParseResult::Malformed:
      parsed.answer = "CLIENT_ERROR bad command\r\n";
      return ParseResult::Answer;
    case CommandReader::ParseResult::FramingLost:
      parsed.answer = "CLIENT_ERROR bad framing\r\n";
      return ParseResult::FinalAnswer;
    case CommandReader::ParseResult::Command:
      break;
  }
  const robinseam::ClassSettings* type = core_.find_class(command.class_name);
  if (type && type->effect == robinseam::Effect::Keyed && command.idempotency_key.empty()) {
    parsed.answer = rejection({}, Core::SubmitResult::InvalidClass);
    return ParseResult::Answer;
  }
  Request& r = parsed.request;
  r = Request();
  r.write = command.set;
  r.key = std::move(command.key);
  r.id = std::move(command.id);
  r.class_name = std::move(command.class_name);
  r.tenant = std::move(command.tenant);
  r.idempotency_key = std::move(command.idempotency_key);
  r.time_left = static_cast<Micros>(command.time_left_ms * kMillisecond);
  r.work = command.work;
  r.retry = command.retry;
  r.value = std::move(command.value);
  r.flags = command.flags;
  r.wants_flags = command.wants_flags;
  r.line_before_deadline = std::move(command.line_before_deadline);
  r.line_after_deadline = std::move(command.line_after_deadline);
  return result;
}

std::string MetaClientCodec::rejection(const CommandTag&, Core::SubmitResult why) const {
  switch (why) {
    case Core::SubmitResult::InvalidClass:
      return "CLIENT_ERROR bad class\r\n";
    case Core::SubmitResult::IdInUse:
      return "CLIENT_ERROR id in use\r\n";
    default:
      return "SERVER_ERROR busy\r\n";
  }
}

std::string MetaClientCodec::failure(const CommandTag&) const { return "SERVER_ERROR failed\r\n"; }

std::string MetaClientCodec::reply(const CommandTag& tag, const Request& request,
                                   Reply&& reply) const {
  if (reply.kind == Reply::Kind::Failed) return failure(tag);
  if (reply.kind == Reply::Kind::Refused)
    return "SERVER_ERROR " + busy_text(reply.retry_after) + "\r\n";
  if (request.write) return "HD O" + request.id + " c" + reply.receipt + "\r\n";
  std::string text = "VA " + std::to_string(reply.pipe ? reply.pipe->length() : reply.value.size());
  if (request.wants_flags) text += " f" + std::to_string(reply.flags);
  text.reserve(text.size() + request.id.size() + reply.value.size() + 8);
  text.append(" O").append(request.id).append("\r\n");
  if (!reply.pipe) text.append(reply.value).append("\r\n");
  return text;
}

// ---- binary ----

ClientCodec::ParseResult BinaryClientCodec::parse(std::string_view& in, ParsedCommand& parsed) {
  binary::Command command;
  auto result = reader_.parse(in, command);
  if (result == binary::CommandReader::ParseResult::Incomplete) return ParseResult::Incomplete;
  if (result == binary::CommandReader::ParseResult::ValueBegins) return ParseResult::ValueBegins;
  parsed.tag = {command.opcode, command.opaque};
  parsed.rejected = true;
  bool refused = result == binary::CommandReader::ParseResult::Refused;
  bool complete = refused || result == binary::CommandReader::ParseResult::Command;
  awaits_barrier_ = complete && binary::is_quiet(command.opcode);
  if (refused) {
    parsed.request = Request();
    parsed.request.class_name = rules_.write_class;
    return ParseResult::Refused;
  }
  if (result != binary::CommandReader::ParseResult::Command) {
    parsed.answer = binary::response(command.opcode, reader_.rejection_status(), command.opaque);
    return result == binary::CommandReader::ParseResult::FramingLost ? ParseResult::FinalAnswer
                                                                     : ParseResult::Answer;
  }
  if (binary::is_read(command.opcode) || binary::is_write(command.opcode))
    return make_request(command, parsed);
  parsed.answer.clear();
  parsed.rejected = false;
  switch (command.opcode) {
    case binary::Opcode::QuitQ:
      return ParseResult::FinalAnswer;
    case binary::Opcode::Quit:
      parsed.answer = binary::response(command.opcode, binary::status::kOk, command.opaque);
      return ParseResult::FinalAnswer;
    case binary::Opcode::Stat:
      parsed.answer = stats(command);
      return ParseResult::Answer;
    case binary::Opcode::Version:
      parsed.answer =
          binary::response(command.opcode, binary::status::kOk, command.opaque, kVersion);
      return ParseResult::Answer;
    default:
      parsed.answer = binary::response(command.opcode, binary::status::kOk, command.opaque);
      return ParseResult::Answer;
  }
}

ClientCodec::ParseResult BinaryClientCodec::make_request(binary::Command& command,
                                                         ParsedCommand& parsed) const {
  auto refuse = [&](std::uint16_t status, const char* why) {
    parsed.answer = binary::response(command.opcode, status, command.opaque, why);
    return ParseResult::Answer;
  };
  // Keys go to servers of either protocol, and in a meta line a space or line end would begin
  // another token or command.
  if (!std::all_of(command.key.begin(), command.key.end(),
                   [](unsigned char c) { return c > 32 && c < 127; }))
    return refuse(binary::status::kInvalid, "key: not printable");
  bool write = binary::is_write(command.opcode);
  // Handled as a plain SET, a compare-and-swap would overwrite the newer value it must not touch.
  if (command.cas != 0 && !(write && rules_.cas_is_idempotency_key))
    return refuse(binary::status::kNotSupported, "cas: not supported");
  Request& r = parsed.request;
  r = Request();
  r.write = write;
  r.tenant = rules_.tenant_of(command.key);
  r.key = std::move(command.key);
  r.class_name = write ? rules_.write_class : rules_.read_class;
  r.time_left = write ? rules_.write_deadline : rules_.read_deadline;
  r.wants_flags = !write;
  if (write) {
    if (command.cas != 0) r.idempotency_key = receipt_of(command.cas);
    r.flags = command.flags;
    r.expiry = command.expiry;
    r.value = std::make_shared<const std::string>(std::move(command.value));
  }
  return ParseResult::Request;
}

std::string BinaryClientCodec::stats(const binary::Command& command) const {
  if (!command.key.empty())
    return binary::response(command.opcode, binary::status::kNotFound, command.opaque,
                            "no such statistics");
  std::string text;
  for (const auto& [name, value] : stats_()) text += binary::stat(command.opaque, name, value);
  return text + binary::stat(command.opaque, {}, {});
}

std::string BinaryClientCodec::rejection(const CommandTag& tag, Core::SubmitResult why) const {
  // Ids are assigned by the router here, so none is in use. A class that is missing from the
  // settings comes from a reload.
  bool busy = why != Core::SubmitResult::InvalidClass;
  return binary::response(tag.opcode, busy ? binary::status::kBusy : binary::status::kInternal,
                          tag.opaque, busy ? "busy" : "bad class");
}

std::string BinaryClientCodec::failure(const CommandTag& tag) const {
  return binary::response(tag.opcode, binary::status::kInternal, tag.opaque, "failed");
}

std::string BinaryClientCodec::reply(const CommandTag& tag, const Request& request,
                                     Reply&& reply) const {
  if (reply.cache_miss && !request.write)
    return binary::is_quiet(tag.opcode)
               ? std::string()
               : binary::response(tag.opcode, binary::status::kNotFound, tag.opaque, "not found");
  if (reply.kind == Reply::Kind::Refused)
    return binary::response(tag.opcode, binary::status::kBusy, tag.opaque,
                            busy_text(reply.retry_after));
  if (reply.kind == Reply::Kind::Failed) return failure(tag);
  if (!request.write)
    return binary::response(tag.opcode, binary::status::kOk, tag.opaque, reply.value, request.key,
                            reply.flags, 0, reply.pipe ? reply.pipe->length() : 0);
  if (binary::is_quiet(tag.opcode)) return {};
  return binary::response(tag.opcode, binary::status::kOk, tag.opaque, {}, {}, 0,
                          cas_of(reply.receipt));
}

}  // namespace arrowfork
