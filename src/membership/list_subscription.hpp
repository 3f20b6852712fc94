// Keeps the list of servers up to date: decides which calls go to which discovery address, which
// answers change the list, and when the next call is due. Pure: answers and times come in, calls to
// make and lists to apply go out, so that tests run it in virtual time.
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

/// One HTTP call to discovery that the transport has to make.
struct ListCall {
  int id = 0;  ///< unique within a subscription
  std::string address;
  std::string path;
  robinseam::Micros timeout = 0;  ///< for the whole call
};

/// How a call ended.
struct ListResult {
  std::optional<HostList> list;  ///< none: the call failed with `failure`
  robinseam::membership::CallFailure failure = robinseam::membership::CallFailure::Refused;
  /// The answer has started and then stalled. The rest may still arrive: the call stays in flight
  /// until it is cancelled or on_call_ended() is called once more.
  bool may_resume = false;
};

/// Why a call in flight is cancelled.
enum class CancelReason {
  Replaced,        ///< its slot is needed for a new call
  Superseded,      ///< a later call was answered, and this one's extra time is over
  AddressChanged,  ///< its address is no longer used
  Stopped,         ///< the subscription ends
};
const char* name_of(CancelReason reason);

/// Makes the calls of a subscription. Each started call ends in one
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
    /// A call failed; the next one may already be in flight.
    virtual void on_call_failed() = 0;
    /// A call failed and none is in flight: the next one is planned, the handler may call sooner.
    virtual void on_hosts_failed() = 0;
    /// A list that could be parsed was rejected for this reason.
    virtual void on_list_rejected(const std::string& reason) = 0;
    /// A rejected list still applies to servers that it reports as draining; see extract_drains().
    virtual void on_drains(const HostList& list, bool drain_unlisted) = 0;
  };

  struct Options {
    int routers = 1;                             ///< in the tier
    bool pushed = false;                         ///< lists come from an agent on the same machine
    std::uint64_t seed = 0;                      ///< of the random jitter
    Micros grace = CallSchedule::kDefaultGrace;  ///< drain grace
  };

  /// `known`: the current list at `now`.
  ListSubscription(const std::string& address, const HostList& known, const Options& options,
                   Micros now, ListTransport& transport, Handler& handler);

  /// Starts polling and watching beside calls that are not answered yet; shortly after an answer it
  /// waits a moment.
  void watch(Micros now);
  /// Polls for changes at a random time within `span`, since the current list may be outdated.
  void poll_within(Micros now, Micros span);
  /// Requests the full list.
  void fetch_full_list(Micros now);
  /// Switches to another address without a gap: calls at former addresses stay in flight until the
  /// new address has answered with its full list, and their answers still count.
  void change_address(const std::string& address, Micros now);
  /// Cancels all calls and plans no more.
  void stop();

  /// The transport reports the end of a call.
  void on_call_ended(int id, ListResult result, Micros now);
  /// When advance() has to be called; CallSchedule::kNever: nothing is planned.
  Micros next() const;
  void advance(Micros now);

  /// A next call is planned, whether or not one is in flight.
  bool planned() const { return schedule_.next() != CallSchedule::kNever; }
  /// The router may count as notified of a change that it has not received.
  bool overdue(Micros now) const { return schedule_.overdue(now); }
  /// The earliest time at which that happens, and why; CallSchedule::kNever: none.
  Micros deadline() const { return schedule_.deadline(); }
  robinseam::membership::DeadlineReason deadline_reason() const {
    return schedule_.deadline_reason();
  }
  /// Version of the current list; empty before the first one.
  const std::string& version() const { return validator_.version(); }

 private:
  static constexpr int kNoCall = -1;
  /// An address that is no longer used, and the calls in flight there.
  struct FormerAddress {
    std::vector<int> ids;
    ListValidator validator;
  };
  /// A call that is no longer awaited, since a later one was answered or it stalled. The router
  /// counts as notified of an answer that discovery wrote to it at that moment, so it stays in
  /// flight for a while.
  struct SupersededCall {
    int id = kNoCall;
    Micros until = 0;
  };
  static constexpr Micros kSupersededTime = 2'000'000;
  static constexpr std::size_t kMaxSupersededCalls = 4;
  /// Calls at former addresses. Together with superseded calls and those in the slots they stay
  /// within the descriptors that the router reserves for discovery.
  static constexpr std::size_t kMaxFormerCalls = 8;

  void start_call(const CallSchedule::Call& call, Micros now);
  void handle_result(std::size_t slot, ListResult result, Micros now);
  void handle_former_result(FormerAddress& former, ListResult result, Micros now);
  void handle_superseded_result(ListResult result, Micros now);
  /// Applies only what a list says of draining servers, and requests the full list.
  void apply_drains(const HostList& list, bool drain_unlisted);
  /// Whether the answer may change the list; reports a rejected one to the handler.
  bool accept(ListValidator& validator, std::optional<HostList>& list);
  void cancel_slot(std::size_t slot, CancelReason reason);
  /// Moves the call of the slot, still in flight, to the superseded ones.
  void supersede_slot(std::size_t slot, Micros now);
  void add_superseded(int id, Micros now);
  void cancel_oldest_superseded();
  void cancel_expired(Micros now);
  std::size_t former_calls() const;
  void cancel_former_address(std::size_t index);
  void cancel_former_addresses();
  /// Supersedes the calls that the schedule no longer awaits.
  void supersede_dropped(Micros now);
  double chance() { return std::uniform_real_distribution<>()(random_); }

  ListTransport& transport_;
  Handler& handler_;
  std::string address_;
  ListValidator validator_;
  CallSchedule schedule_;
  /// By slot of `schedule_`: the call in flight there.
  std::array<int, CallSchedule::kSlots> ids_;
  std::array<bool, CallSchedule::kSlots> full_requested_{};  // by that call
  std::vector<FormerAddress> former_addresses_;              // the most recent one last
  Micros former_until_ = CallSchedule::kNever;  // set once the new address has answered
  std::vector<SupersededCall> superseded_;      // the oldest first
  bool need_full_list_ = false;  // the current list may differ from what discovery assumes
  int last_id_ = kNoCall;
  Micros poll_at_ = CallSchedule::kNever;
  std::minstd_rand random_;
};

}  // namespace arrowfork
