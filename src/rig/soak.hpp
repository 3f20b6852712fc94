// What a seeded soak of the router draws: limits, faults of cache servers, a crowd of clients and
// signals; the scripts of its peers, and what their records tell of the rules.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scripted_peers.hpp"

namespace arrowfork::rig {

/// The window of the soak's keyed writes.
constexpr Micros kSoakKeyWindow = 800 * kMillisecond;

enum class SoakKind {
  Usual,
  Wide,  ///< adds spoilt answers, other crowds, a server that is replaced, and upgrades
};

/// What each connection of the crowd sends.
enum class SoakCrowd {
  StoppedWrites,
  UsualReads,
  HurriedReads,  ///< with 5 ms each
  LargeWrites,
  Silent,
  Nobody,
  LargeReads,
  Garbage,
  ManyFields,
};

/// What a seed draws. Both kinds draw the same for what they have in common.
struct SoakPlan {
  SoakPlan(unsigned seed, SoakKind kind);
  /// What the server with this number does with each command.
  ScriptedCacheServer::Script script(int server) const;
  Crowd::Options crowd_options() const;

  unsigned seed;
  int memory_mb, sockets, servers;
  SoakCrowd crowd;
  int crowd_size, reloads;
  Micros dial_timeout;
  double fault_share, spoilt_share = 0;  ///< of the answers
  bool clients_leave, replaces_server = false, upgrade = false;
  std::size_t crowd_bytes_per_second;
};

/// Breaks of the rules, as the records of cache servers and clients show them.
struct SoakBreaks {
  int past_window = 0, run_twice = 0, begun_after_close = 0, lost = 0;
};

/// `closed_at`: when the client of an id closed its connection. `unanswered`: ids that got no
/// answer.
SoakBreaks judge_soak(const std::vector<ReceivedCommand>& received,
                      const std::map<std::string, Micros>& closed_at,
                      const std::set<std::string>& unanswered);

}  // namespace arrowfork::rig
