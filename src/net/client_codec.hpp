// Translates between a client's bytes and the core's requests and replies; one codec per protocol.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../core/core.hpp"
#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"
#include "binary_rules.hpp"

namespace arrowfork {

/// The parts of a command that its answer repeats and that the request does not keep.
struct CommandTag {
  binary::Opcode opcode = binary::Opcode::Noop;
  std::uint32_t opaque = 0;
};

/// Provides the router's own counters and gauges for the answer to STAT.
using StatsProvider = std::function<std::vector<std::pair<std::string, std::string>>()>;

class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  enum class ParseResult {
    Incomplete,   ///< all of `in` is consumed, no command is complete
    Request,      ///< `request` goes to the core; `tag` is kept for its answer
    ValueBegins,  ///< the head of a write is read: call again when there is room for its value
    Refused,      ///< a write, in `request`, whose value refuse_value() has dropped
    Answer,       ///< `answer` is the answer to the command; may be empty
    FinalAnswer,  ///< as Answer; nothing more is read and the connection closes after it
  };
  struct ParsedCommand {
    Request request;
    CommandTag tag;
    std::string answer;
    bool rejected = false;  ///< the answer says that the command cannot be carried out
  };
  /// Parses the next command and removes the bytes it used from `in`.
  virtual ParseResult parse(std::string_view& in, ParsedCommand& parsed) = 0;
  /// True while a command has been received in part.
  virtual bool in_command() const = 0;
  /// Size of the value that is being read; 0 between values.
  virtual std::size_t size_of_value_in_progress() const = 0;
  /// How long the client waits for the answer to the write whose value is being read.
  virtual Micros time_left_in_progress() const = 0;
  /// Drops what has been read of the value in progress, and the rest as it arrives.
  virtual void refuse_value() = 0;
  /// True after a quiet command, until the non-quiet command that ends the batch: its answer tells
  /// the client that the quiet ones are done.
  virtual bool awaits_barrier() const { return false; }
  /// The answer to a request that the core did not accept.
  virtual std::string rejection(const CommandTag& tag, Core::SubmitResult why) const = 0;
  /// The answer to a request that failed and may have had an effect.
  virtual std::string failure(const CommandTag& tag) const = 0;
  /// The answer; where `reply` streams its value, only the part in front of the value.
  virtual std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const = 0;
  /// The bytes that follow a streamed value.
  virtual std::string_view value_trailer() const = 0;
};

class MetaClientCodec final : public ClientCodec {
 public:
  /// `flags`: clients may read and set the flags that binary clients store with values.
  /// `operator_drain`: whether an operator drains this router, which the answer to `mn` reports.
  MetaClientCodec(const Core& core, bool flags, const bool& operator_drain)
      : core_(core), operator_drain_(operator_drain), reader_(flags, true) {}
  ParseResult parse(std::string_view& in, ParsedCommand& parsed) override;
  bool in_command() const override { return reader_.in_command(); }
  std::size_t size_of_value_in_progress() const override {
    return reader_.value_in_progress_bytes();
  }
  Micros time_left_in_progress() const override {
    return static_cast<Micros>(reader_.time_left_in_progress_ms() * kMillisecond);
  }
  void refuse_value() override { reader_.refuse_value(); }
  std::string rejection(const CommandTag& tag, Core::SubmitResult why) const override;
  std::string failure(const CommandTag& tag) const override;
  std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const override;
  std::string_view value_trailer() const override { return "\r\n"; }

 private:
  const Core& core_;
  const bool& operator_drain_;
  CommandReader reader_;
};

class BinaryClientCodec final : public ClientCodec {
 public:
  /// `rules` and `stats` must outlive the codec. The rules may change between commands.
  BinaryClientCodec(const BinaryRules& rules, const StatsProvider& stats)
      : rules_(rules), stats_(stats), reader_(true) {}
  ParseResult parse(std::string_view& in, ParsedCommand& parsed) override;
  bool in_command() const override { return reader_.in_command(); }
  std::size_t size_of_value_in_progress() const override {
    return reader_.value_in_progress_bytes();
  }
  Micros time_left_in_progress() const override { return rules_.write_deadline; }
  void refuse_value() override { reader_.refuse_value(); }
  bool awaits_barrier() const override { return awaits_barrier_; }
  std::string rejection(const CommandTag& tag, Core::SubmitResult why) const override;
  std::string failure(const CommandTag& tag) const override;
  std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const override;
  std::string_view value_trailer() const override { return {}; }

 private:
  ParseResult make_request(binary::Command& command, ParsedCommand& parsed) const;
  std::string stats(const binary::Command& command) const;

  const BinaryRules& rules_;
  const StatsProvider& stats_;
  binary::CommandReader reader_;
  bool awaits_barrier_ = false;
};

/// The receipt of a write as the CAS field of the binary protocol, the only field that can carry
/// one. Receipts of up to 16 hex digits are kept in full; any other becomes 0, "not known".
std::uint64_t cas_of(std::string_view receipt);
/// The CAS as a receipt of 16 hex digits.
std::string receipt_of(std::uint64_t cas);

}  // namespace arrowfork
