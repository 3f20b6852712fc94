// Between a client's bytes and the core's requests and replies, one codec a protocol.
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

/// What of a command its answer needs and the request does not hold.
struct CommandTag {
  binary::Opcode opcode = binary::Opcode::Noop;
  std::uint32_t opaque = 0;
};

/// The router's own figures, as STAT tells them.
using StatSource = std::function<std::vector<std::pair<std::string, std::string>>()>;

class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  enum class Got {
    Nothing,  ///< all of `in` is consumed, no command is whole
    Request,  ///< `request` is to be taken, `tag` kept for its answer
    Answer,   ///< `answer` is what the command gets; may be empty
    Last,     ///< the same, and nothing more is read: the connection closes after it
  };
  struct Taken {
    Request request;
    CommandTag tag;
    std::string answer;
  };
  virtual Got take(std::string_view& in, Taken& taken) = 0;
  /// True while a command has come in part.
  virtual bool in_command() const = 0;
  /// Bytes of the value that is being read; 0 between values.
  virtual std::size_t in_value() const { return 0; }
  /// True while quiet commands wait for the command that tells the client that they are done.
  virtual bool barrier_due() const { return false; }
  /// The answer to a request that the core did not take.
  virtual std::string not_taken(const CommandTag& tag, Core::Taken why) const = 0;
  /// With a pipe in `reply`: what stands before the value.
  virtual std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const = 0;
  /// What stands behind a value that came through a pipe.
  virtual std::string_view behind_value() const = 0;
};

class MetaClientCodec final : public ClientCodec {
 public:
  /// `flags`: clients may ask for and set the flags that binary clients keep beside values.
  /// `away`: clients are being sent away, which `mn` tells.
  MetaClientCodec(const Core& core, bool flags, const bool& away)
      : core_(core), away_(away), reader_(flags) {}
  Got take(std::string_view& in, Taken& taken) override;
  bool in_command() const override { return reader_.in_command(); }
  std::size_t in_value() const override { return reader_.in_value(); }
  std::string not_taken(const CommandTag& tag, Core::Taken why) const override;
  std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const override;
  std::string_view behind_value() const override { return "\r\n"; }

 private:
  const Core& core_;
  const bool& away_;
  CommandReader reader_;
};

class BinaryClientCodec final : public ClientCodec {
 public:
  /// `rules` and `stats` must outlive the codec; the rules may change between commands.
  BinaryClientCodec(const BinaryRules& rules, const StatSource& stats)
      : rules_(rules), stats_(stats) {}
  Got take(std::string_view& in, Taken& taken) override;
  bool in_command() const override { return reader_.in_command(); }
  bool barrier_due() const override { return barrier_due_; }
  std::string not_taken(const CommandTag& tag, Core::Taken why) const override;
  std::string reply(const CommandTag& tag, const Request& request, Reply&& reply) const override;
  std::string_view behind_value() const override { return {}; }

 private:
  Got take_request(binary::Command& command, Taken& taken) const;
  std::string stats(const binary::Command& command) const;

  const BinaryRules& rules_;
  const StatSource& stats_;
  binary::CommandReader reader_;
  bool barrier_due_ = false;
};

/// A receipt as the binary protocol's CAS, which is where it has room for one: receipts of up to 16
/// hex digits go over whole, others (none here has any) as 0, "not told".
std::uint64_t cas_of(std::string_view receipt);
/// The CAS as a receipt of 16 hex digits.
std::string receipt_of(std::uint64_t cas);

}  // namespace arrowfork
