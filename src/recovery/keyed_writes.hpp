// What is known of keyed writes over all their tries: when the first attempt went out that may have
// run, and where. Pure: times come in, nothing else.
//
// A client's further try is a new request with the key of the first. Servers drop it as a repeat
// only inside the class's group and for its `key_ttl` from the first send, so what one try has sent
// binds the next one as well, whether it comes to the same router while that lives, or to one that
// has lost what it knew or never knew it.
//
// What it may get wrong: a repeat that its client does not mark and that comes to another router,
// or to one that was restarted since, looks like a first try. Nothing can tell it there.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class KeyedWrites {
 public:
  /// So many are kept at most, some 100 bytes each; past it the oldest is forgotten before its
  /// time. 2,700 writes a second of a key time of 5 s and a deadline of 1 s.
  static constexpr std::size_t kCapacity = 16'384;

  /// The first attempt that may have run.
  struct FirstSend {
    Micros sent_at = 0;
    bool presumed = false;  ///< it is not known here: some server at some router may have run it
    std::string zone;       ///< of its server; empty where it is presumed
    std::int64_t cell = -1;
    int possible_runs = 1;   // attempts that may have run or may yet
    Micros recorded_at = 0;  // when it was first kept
  };

  explicit KeyedWrites(const std::vector<ClassSettings>& classes);

  /// Frees what no client asks for any more. Called when a write comes, before it is looked up.
  void expire(Micros now);
  /// An attempt of the write goes out to a server there. `name` hashes its key and class.
  void record_send(Micros now, std::uint64_t name, const Server& to);
  /// One that has been sent turns out never to have run.
  void record_not_run(std::uint64_t name);
  /// A marked repeat has come whose first send is not known here: it may have run at any server,
  /// and as early as its client may have begun. Nothing where the first is known.
  void presume_sent(Micros now, std::uint64_t name, Micros deadline);
  /// Nothing: no attempt of it that may have run is known.
  const FirstSend* first_send(std::uint64_t name) const;
  /// Whether an attempt at `to`, which may come there as late as `until`, is still dropped as a
  /// repeat of `first`.
  static bool is_deduplicated(const ClassSettings& type, const FirstSend& first, Micros until,
                              const Server& to);

  std::size_t size() const { return all_.size(); }
  std::uint64_t evicted() const { return evicted_; }  ///< before their time, for want of room

 private:
  void forget_oldest();
  FirstSend& note(Micros now, std::uint64_t name, bool& fresh);

  Micros keep_ = 0;  // a write that is older than this is asked for by no client any more
  std::unordered_map<std::uint64_t, FirstSend> all_;
  std::deque<std::pair<Micros, std::uint64_t>> order_;  // as they were noted
  std::uint64_t evicted_ = 0;
};

}  // namespace robinseam::recovery
