// Codecs between the core's requests and the bytes of a cache server, one for each protocol.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/request.hpp"
#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"

namespace arrowfork {

enum class ServerProtocol { Meta, Binary };

/// Identifies the command that the next answer on a connection must belong to.
struct ExpectedAnswer {
  bool write = false;
  bool repeatable = false;  ///< by its class
  bool wants_flags = false;
  std::string id_or_key;  ///< meta: the request's id; binary: its key
  std::uint32_t opaque = 0;
};

/// Encodes the commands and parses the answers of one connection.
class ServerCodec {
 public:
  virtual ~ServerCodec() = default;
  /// The bytes of one attempt, in the order in which they are written.
  struct Encoded {
    std::string bytes;
    std::shared_ptr<const std::string> value;  ///< set when the value is large
    std::string_view tail;                     ///< points to static storage
    /// Where `bytes` tells the milliseconds that the server has; size 0: nowhere.
    std::size_t wait_at = 0, wait_size = 0;
  };
  /// Fills `expected` with what the answer has to carry. `opaque` must differ for each call on any
  /// connection.
  virtual Encoded encode(const Request& request, std::int64_t wait_ms, std::uint32_t opaque,
                         ExpectedAnswer& expected) const = 0;

  struct Answer {
    Status status = Status::Error;
    AttemptResult result;
    bool identified = false;       ///< carries an id, key or opaque that ties it to its command
    bool framing_lost = false;     ///< bytes after it can't be parsed reliably
    std::size_t value_length = 0;  ///< for ValueStart: bytes of the value, without its CRLF
  };
  enum class Parsed {
    Incomplete,  ///< all of `in` was consumed without completing an answer
    Answer,      ///< `answer` is complete and belongs to `next`
    ValueStart,  ///< as Answer, but the caller reads the value from the bytes that follow
    Invalid,     ///< not an answer, or not one to `next`; the connection must be closed
  };
  /// `next`: the command whose answer is due; null when none is.
  virtual Parsed parse(std::string_view& in, const ExpectedAnswer* next, Answer& answer) = 0;
  /// True while an answer has been received in part.
  virtual bool in_answer() const = 0;
  /// True while the bytes received of a value end with a line end, before its announced length.
  virtual bool ends_early() const { return false; }
  /// How much of the value for `next` has arrived. Nothing while none is arriving.
  struct Progress {
    std::size_t received, missing;  ///< bytes
  };
  virtual std::optional<Progress> progress(const ExpectedAnswer& next) const = 0;
  /// Whether `first`, the first byte received on a connection, belongs to the other protocol.
  virtual bool is_other_protocol(unsigned char first) const = 0;

  /// `gate` is asked before a value of up to kMaxValue is buffered; a value that it declines is
  /// dropped, and its answer says so. `cas_is_key`: a binary server takes the CAS of a write as its
  /// idempotency key. Kept by reference and read for each write.
  static std::unique_ptr<ServerCodec> make(ServerProtocol protocol,
                                           const std::vector<robinseam::ReportField>* fields,
                                           const bool& cas_is_key, ValueGate gate);
};

/// Whether an idempotency key can be sent as a CAS without colliding with another key.
bool is_representable_as_cas(const std::string& key);

const char* name_of(ServerProtocol protocol);

}  // namespace arrowfork
