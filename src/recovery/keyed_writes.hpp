// What is known of keyed writes over all their tries: when the first attempt was sent that may have
// run, and where. Pure: times come in, nothing else.
//
// A client's retry is a new request with the idempotency key of its first try. Servers drop it as a
// repeat only inside the class's group and for its `key_ttl` from the first send. So what one try
// has sent constrains the next one, whether it comes to the same router while the entry lives, or
// to one that lost the entry or never had it.
//
// Known error: a retry that its client does not mark and that comes to another router, or to one
// restarted since, looks like a first try. Nothing there can tell it.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class KeyedWrites {
 public:
  /// Most entries, some 100 bytes each; beyond it the oldest is evicted before its time. Enough for
  /// 2,700 writes a second with a key_ttl of 5 s and a deadline of 1 s.
  static constexpr std::size_t kCapacity = 16'384;

  /// The first attempt that may have run.
  struct FirstSend {
    Micros sent_at = 0;
    bool presumed = false;  ///< not known here: a server may have run it for another router
    std::string zone;       ///< of its server; empty where presumed
    std::int64_t cell = -1;
    int possible_runs = 1;   // attempts that may have run or may yet run
    Micros recorded_at = 0;  // when the entry was created
  };

  explicit KeyedWrites(const std::vector<ClassSettings>& classes);

  /// Removes entries that no client can retry any more. Called when a write arrives, before it is
  /// looked up.
  void expire(Micros now);
  /// An attempt of the write is sent to server `to`. `key_hash` covers its idempotency key and
  /// class.
  void record_send(Micros now, std::uint64_t key_hash, const Server& to);
  /// An attempt that was sent turns out never to have run.
  void record_not_run(std::uint64_t key_hash);
  /// A marked retry has arrived. If its first send is not known here, presumes that it may have run
  /// at any server, and as early as its client may have started; does nothing otherwise.
  void presume_sent(Micros now, std::uint64_t key_hash, Micros deadline);
  /// Null if no attempt of it that may have run is known.
  const FirstSend* first_send(std::uint64_t key_hash) const;
  /// Whether server `to` still drops an attempt as a repeat of `first` if it arrives as late as
  /// `until`.
  static bool is_deduplicated(const ClassSettings& type, const FirstSend& first, Micros until,
                              const Server& to);

  std::size_t size() const { return writes_.size(); }
  std::uint64_t evicted() const { return evicted_; }  ///< before their time, as the table was full

 private:
  void evict_oldest();
  FirstSend& find_or_add(Micros now, std::uint64_t key_hash, bool& added);

  Micros keep_for_ = 0;  // no client retries a write that is older than this
  std::unordered_map<std::uint64_t, FirstSend> writes_;
  std::deque<std::pair<Micros, std::uint64_t>> order_;  // by time of creation
  std::uint64_t evicted_ = 0;
};

}  // namespace robinseam::recovery
