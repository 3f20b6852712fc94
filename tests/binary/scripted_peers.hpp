// Scripted clients and cache servers of either protocol over one blocking connection, so that one
// test covers both protocols.
#pragma once

#include <atomic>

#include "../loopback.hpp"
#include "net/client_codec.hpp"
#include "protocol/binary.hpp"

namespace arrowfork::test {

enum class WireProtocol { Meta, Binary };
inline const char* name_of(WireProtocol p) { return p == WireProtocol::Binary ? "binary" : "meta"; }

/// A clock that stands still until the test advances it.
class TestClock final : public TimeSource {
 public:
  Micros now() const override { return now_; }
  void advance(Micros span) { now_ += span; }

 private:
  std::atomic<Micros> now_{1'000'000 * kSecond};
};

/// The size of the first packet in `text`; 0 if none is complete.
inline std::size_t complete_packet_size(std::string_view text) {
  if (text.size() < binary::kHeader) return 0;
  std::size_t body = 0;
  for (int k = 8; k < 12; ++k) body = body << 8 | static_cast<unsigned char>(text[k]);
  return text.size() < binary::kHeader + body ? 0 : binary::kHeader + body;
}
inline std::string read_packet(TestConnection& link) {
  std::string packet = link.bytes(binary::kHeader);
  if (packet.size() < binary::kHeader) return packet;
  std::size_t body = 0;
  for (int k = 8; k < 12; ++k) body = body << 8 | static_cast<unsigned char>(packet[k]);
  return packet + link.bytes(body);
}
inline binary::Command command_of(const std::string& packet) {
  binary::CommandReader reader;
  binary::Command command;
  std::string_view in = packet;
  EXPECT_EQ(reader.take(in, command), binary::CommandReader::Got::Command);
  return command;
}
inline binary::Answer answer_of(const std::string& packet) {
  binary::AnswerReader reader;
  binary::Answer answer;
  std::string_view in = packet;
  EXPECT_EQ(reader.take(in, answer), binary::AnswerReader::Got::Answer);
  return answer;
}
inline binary::Answer read_answer(TestConnection& link) { return answer_of(read_packet(link)); }
inline std::string packet(binary::Opcode opcode, std::uint32_t opaque, const std::string& key = "",
                          const std::string& value = "", std::uint32_t flags = 0,
                          std::uint64_t cas = 0) {
  binary::Command c;
  c.opcode = opcode;
  c.opaque = opaque;
  c.key = key;
  c.value = value;
  c.flags = flags;
  c.cas = cas;
  return binary::request(c);
}
inline std::string served(const binary::Command& c, const std::string& value,
                          std::uint32_t flags = 0) {
  return binary::response(c.opcode, binary::status::kOk, c.opaque, value, c.key, flags);
}

/// A command that a server received.
struct ReceivedCommand {
  bool write = false;
  std::string key, value, idempotency;
  std::uint32_t flags = 0;
  std::string id;          // meta protocol only
  binary::Command packet;  // binary protocol only
};

class ScriptedServer {
 public:
  explicit ScriptedServer(WireProtocol protocol) : protocol_(protocol) {}

  ReceivedCommand read(TestConnection& link) const {
    ReceivedCommand a;
    if (protocol_ == WireProtocol::Binary) {
      a.packet = command_of(read_packet(link));
      a.write = binary::is_write(a.packet.opcode);
      a.key = a.packet.key;
      a.value = a.packet.value;
      a.flags = a.packet.flags;
      if (a.packet.cas) a.idempotency = receipt_of(a.packet.cas);
      return a;
    }
    std::string text = link.line();
    if (text.starts_with("ms ")) {
      std::size_t from = text.find(' ', 3) + 1;
      text += link.bytes(std::strtoul(text.c_str() + from, nullptr, 10) + 2);
    }
    CommandReader reader(true);
    Command c;
    std::string_view in = text;
    EXPECT_EQ(reader.take(in, c), CommandReader::Got::Command) << text;
    a.write = c.set;
    a.key = c.key;
    a.id = c.id;
    a.flags = c.flags;
    a.idempotency = c.idempotency;
    if (c.value) a.value = *c.value;
    return a;
  }
  void serve(TestConnection& link, const ReceivedCommand& a, const std::string& value,
             std::uint32_t flags) const {
    if (protocol_ == WireProtocol::Binary)
      link.write(served(a.packet, value, flags));
    else
      link.write(
          value_answer(a.id, value)
              .insert(3 + std::to_string(value.size()).size(), " f" + std::to_string(flags)));
  }
  void store(TestConnection& link, const ReceivedCommand& a, const std::string& receipt) const {
    if (protocol_ == WireProtocol::Binary)
      link.write(binary::response(a.packet.opcode, binary::status::kOk, a.packet.opaque, {}, {}, 0,
                                  cas_of(receipt)));
    else
      link.write("HD O" + a.id + " c" + receipt + "\r\n");
  }
  void busy(TestConnection& link, const ReceivedCommand& a) const {
    error(link, a, binary::status::kBusy, "busy 9");
  }
  void fail(TestConnection& link, const ReceivedCommand& a) const {
    error(link, a, binary::status::kInternal, "failed");
  }

 private:
  void error(TestConnection& link, const ReceivedCommand& a, std::uint16_t status,
             const std::string& text) const {
    if (protocol_ == WireProtocol::Binary)
      link.write(binary::response(a.packet.opcode, status, a.packet.opaque, text));
    else
      link.write("SERVER_ERROR " + text + "\r\n");
  }
  WireProtocol protocol_;
};

/// An answer to a client, in terms common to both protocols.
struct ClientReply {
  /// "value", "receipt", "refused", "failed", "missed", "unreadable" or "status N"
  std::string what;
  std::string text;
  std::uint32_t flags = 0;
  long wait_ms = 0;
};

class ScriptedClient {
 public:
  explicit ScriptedClient(WireProtocol protocol) : protocol_(protocol) {}

  void get(TestConnection& link, const std::string& key, const std::string& id) {
    if (protocol_ == WireProtocol::Binary)
      link.write(packet(binary::Opcode::GetK, ++opaque_, key));
    else
      link.write("mg " + key + " v f O" + id + " Pc=read,t=acme,d=20000\r\n");
  }
  /// `idempotency`: the idempotency key, 16 hex digits or empty.
  void set(TestConnection& link, const std::string& type, const std::string& key,
           const std::string& value, std::uint32_t flags, const std::string& idempotency,
           const std::string& id) {
    if (protocol_ == WireProtocol::Binary) {
      link.write(packet(binary::Opcode::Set, ++opaque_, key, value, flags, cas_of(idempotency)));
      return;
    }
    std::string line = "ms " + key + " " + std::to_string(value.size());
    if (flags) line += " F" + std::to_string(flags);
    line += " O" + id + " Pc=" + type + ",t=acme,d=20000";
    if (!idempotency.empty()) line += ",k=" + idempotency;
    link.write(line + "\r\n" + value + "\r\n");
  }
  ClientReply read_reply(TestConnection& link) {
    ClientReply t;
    if (protocol_ == WireProtocol::Meta) {
      AnswerReader reader(&no_fields_);
      std::string text = link.line();
      if (text.starts_with("VA ")) text += link.bytes(std::strtoul(&text[3], nullptr, 10) + 2);
      std::string_view in = text;
      Answer a;
      if (reader.take(in, a) != AnswerReader::Got::Answer) return {"unreadable", text};
      if (a.kind == Answer::Kind::Value) return {"value", a.value, a.flags.value_or(0)};
      if (a.kind == Answer::Kind::Stored) return {"receipt", a.receipt};
      if (a.kind != Answer::Kind::Busy) return {"failed", ""};
      return {"refused", "", 0, std::atol(text.c_str() + std::string("SERVER_ERROR busy ").size())};
    }
    binary::Answer a = read_answer(link);
    EXPECT_EQ(a.opaque, ++answered_);
    if (a.status == binary::status::kNotFound) return {"missed", ""};
    if (a.status == binary::status::kInternal) return {"failed", ""};
    if (a.status == binary::status::kBusy)
      return {"refused", "", 0, std::atol(a.value.c_str() + std::string("busy ").size())};
    if (a.status != binary::status::kOk) return {"status " + std::to_string(a.status), a.value};
    if (a.opcode == static_cast<std::uint8_t>(binary::Opcode::Set))
      return {"receipt", receipt_of(a.cas)};
    return {"value", a.value, a.flags};
  }

 private:
  WireProtocol protocol_;
  const std::vector<robinseam::ReportField> no_fields_;
  std::uint32_t opaque_ = 0, answered_ = 0;
};

}  // namespace arrowfork::test
