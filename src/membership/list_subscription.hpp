// Keeps the list of servers current: which calls are made on which discovery address, which of
// their answers change the list, and when the next call is due. Pure: answers and times come in,
// calls to make and lists to apply go out, so that it runs in virtual time under test.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "call_schedule.hpp"
#include "list_validator.hpp"

namespace arrowfork {

/// One HTTP call on discovery that the transport has to make.
struct ListCall {
  int id = 0;  ///< new with every call of a subscription
  std::string address;
  std::string path;
  robinseam::Micros timeout = 0;  ///< given up after this time
};

/// How a call ended.
struct ListResult {
  std::optional<HostList> list;  ///< none: the call failed, as `fault` has it
  robinseam::membership::CallFailure failure = robinseam::membership::CallFailure::Refused;
  /// The answer has begun and stopped short. It may still come: the call is out until it is
  /// cancelled or ended once more.
  bool may_resume = false;
};

/// Why a call that is out is given up.
enum class CancelReason {
  Replaced,        ///< its slot is needed for a new call
  Superseded,      ///< a later call was answered, and this one has been heard out
  AddressChanged,  ///< its address was left
  Stopped,         ///< the subscription ends
};
const char* name_of(CancelReason reason);

/// Makes the calls of a subscription. Each call that is started ends in one
/// ListSubscription::on_call_ended(), unless it is cancelled before.
class ListTransport {
 public:
  virtual ~ListTransport() = default;
  virtual void start(const ListCall& call) = 0;
  virtual void cancel(int id, CancelReason reason) = 0;
};

class ListSubscription {
 public:
  using Micros = robinseam::Micros;
  using CallSchedule = robinseam::membership::CallSchedule;

  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    /// Any call; the next one may be under way already.
    virtual void on_call_failed() = 0;
    /// None is out: the next one is planned, and the handler may call sooner.
    virtual void on_hosts_failed() = 0;
    /// An answer that can be read may not change the list, for that reason.
    virtual void on_list_rejected(const std::string& reason) = 0;
    /// What such an answer says of servers that leave holds all the same; see extract_drains().
    virtual void on_drains(const HostList& list, bool drain_unlisted) = 0;
  };

  struct Options {
    int routers = 1;                             ///< of the tier
    bool pushed = false;                         ///< lists come from an agent on the own machine
    std::uint64_t seed = 0;                      ///< of the jitter
    Micros grace = CallSchedule::kDefaultGrace;  ///< of drains
  };

  /// `known`: the list that is held at `now`.
  ListSubscription(const std::string& address, const HostList& known, const Options& options,
                   Micros now, ListTransport& transport, Handler& handler);

  /// Begins a watch, beside calls of which nothing has come yet; a moment later right behind an
  /// answer.
  void watch(Micros now);
  /// Asks for changes anew at a random time within `span`, since what is held may be from before.
  void poll_within(Micros now, Micros span);
  /// Asks for the whole list.
  void fetch_full_list(Micros now);
  /// Goes over to another address without a gap: what is out at those before stays until the new
  /// one has given its whole list, and what they still bring counts.
  void change_address(const std::string& address, Micros now);
  /// Cancels all calls and plans no more.
  void stop();

  /// The transport's word on a call.
  void on_call_ended(int id, ListResult result, Micros now);
  /// When advance() has to be called; CallSchedule::kNever: there is nothing to wait for.
  Micros next() const;
  void advance(Micros now);

  /// The next call is planned, whether one is out or not.
  bool planned() const { return schedule_.next() != CallSchedule::kNever; }
  /// Something that discovery had to tell may count as told by now and has not been heard.
  bool overdue(Micros now) const { return schedule_.overdue(now); }
  /// The earliest such moment and why; CallSchedule::kNever: there is none.
  Micros deadline() const { return schedule_.deadline(); }
  robinseam::membership::DeadlineReason deadline_reason() const {
    return schedule_.deadline_reason();
  }
  /// The version of the list that is held; empty before the first.
  const std::string& version() const { return guard_.version(); }

 private:
  static constexpr int kNone = -1;
  /// An address that was left, and the calls that are out there.
  struct Former {
    std::vector<int> ids;
    ListValidator guard;
  };
  /// A call that is not waited for any more, since a later one was answered. What was written to it
  /// in that moment counts as told, so it is heard out for a while.
  struct Lingering {
    int id = kNone;
    Micros until = 0;
  };
  static constexpr Micros kLinger = 2'000'000;
  static constexpr std::size_t kMostLingering = 4;
  /// Calls at former addresses; with those that linger and those in the slots they are no more than
  /// the descriptors that the router reserves for discovery.
  static constexpr std::size_t kMostFormerCalls = 8;

  void call(const CallSchedule::Call& call, Micros now);
  void take(std::size_t slot, ListResult result, Micros now);
  void take_former(Former& former, ListResult result, Micros now);
  void take_lingering(ListResult result, Micros now);
  /// Acts on what an answer says of servers that leave, and no more of it.
  void drain(const HostList& list, bool drain_unlisted);
  /// Whether the answer may change the list; says so where not.
  bool may_count(ListValidator& guard, std::optional<HostList>& list);
  void cancel_slot(std::size_t slot, CancelReason reason);
  /// The call in the slot is out still and not waited for.
  void linger(std::size_t slot, Micros now);
  void hear_out(int id, Micros now);
  void cancel_lingering();
  void end_lingering(Micros now);
  std::size_t former_calls() const;
  void cancel_former(std::size_t which);
  void cancel_formers();
  /// Leaves the calls that are not waited for any more.
  void follow(Micros now);
  double chance() { return std::uniform_real_distribution<>()(random_); }

  ListTransport& transport_;
  Handler& handler_;
  std::string address_;
  ListValidator guard_;
  CallSchedule schedule_;
  /// By slot of `schedule_`: the call that is out there.
  std::array<int, CallSchedule::kSlots> ids_;
  std::array<bool, CallSchedule::kSlots> whole_asked_{};  // by that call
  std::vector<Former> formers_;                           // the last one left last
  Micros formers_until_ = CallSchedule::kNever;           // once the new address has answered
  std::vector<Lingering> lingering_;                      // the oldest first
  bool ask_whole_ = false;  // what is held may not be what discovery thinks it is
  int last_id_ = kNone;
  Micros look_at_ = CallSchedule::kNever;
  std::minstd_rand random_;
};

}  // namespace arrowfork
