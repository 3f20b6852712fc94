// Between the core's requests and a cache server's bytes, one codec a protocol.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../core/request.hpp"
#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"

namespace arrowfork {

enum class ServerProtocol { Meta, Binary };

/// What the next answer of a connection must belong to.
struct Expected {
  bool write = false;
  bool wants_flags = false;
  std::string name;  ///< meta: the request's id; binary: its key
  std::uint32_t opaque = 0;
};

/// Reads one connection and writes what goes out on it.
class ServerCodec {
 public:
  virtual ~ServerCodec() = default;
  /// What one attempt writes: `bytes`, then the value where it is large, then `tail`.
  struct Encoded {
    std::string bytes;
    std::shared_ptr<const std::string> value;
    std::string_view tail;  ///< of static storage
  };
  /// `expected` is filled with what its answer must bear. `opaque` is another with each call on any
  /// connection.
  virtual Encoded encode(const Request& request, std::int64_t wait_ms, std::uint32_t opaque,
                         Expected& expected) const = 0;

  struct Answer {
    Status status = Status::Error;
    AttemptResult result;
    bool named = false;      ///< it bears what ties it to its command and to no other
    bool last = false;       ///< after it the connection's framing is not to be trusted
    std::size_t length = 0;  ///< of Begin: bytes of the value, with two more for its CRLF
  };
  enum class Got {
    Nothing,  ///< all of `in` is consumed, no answer is whole
    Answer,   ///< `answer` is whole and belongs to `next`
    Begin,    ///< the same but for its value, which the caller takes from the bytes that follow
    Broken,   ///< no answer, or not to `next`; the connection is of no more use
  };
  /// `next`: whose answer is due; null where none is.
  virtual Got take(std::string_view& in, const Expected* next, Answer& answer) = 0;
  /// True while an answer has come in part.
  virtual bool in_answer() const = 0;
  /// True while what has come of a value ends like a whole one.
  virtual bool ends_early() const { return false; }
  /// Whether a connection that begins with `first` is that of the other protocol.
  virtual bool is_other_protocol(unsigned char first) const = 0;

  /// `cas_is_key`: a binary server takes a write's CAS for its idempotency key; read with each one.
  static std::unique_ptr<ServerCodec> make(ServerProtocol protocol,
                                           const std::vector<robinseam::ReportField>* fields,
                                           const bool& cas_is_key);
};

/// Whether an idempotency key can go over as a CAS and be told from every other key there.
bool fits_cas(const std::string& key);

const char* name_of(ServerProtocol protocol);

}  // namespace arrowfork
