#include "soak.hpp"

#include <algorithm>
#include <memory>

namespace arrowfork::rig {
namespace {

constexpr std::size_t kUsualBytes = 64'000, kLargeBytes = 1u << 20;
constexpr Micros kRuleSlack = 50 * kMillisecond;
constexpr Micros kMaxBeginAfterClose = 150 * kMillisecond;

class Draw {
 public:
  explicit Draw(unsigned seed) : engine_(seed) {}
  int between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(engine_); }
  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(engine_) < share;
  }

 private:
  std::mt19937 engine_;
};

std::string key_of(const ReceivedCommand& command) {
  std::size_t at = command.line.find(",k=");
  return at == std::string::npos ? std::string() : command.line.substr(at + 3, 16);
}

/// An answer that can't be used, or that has more behind it than belongs to it.
std::string spoilt(const std::string& answer, Draw& draw) {
  switch (draw.between(0, 5)) {
    case 0:
      return std::string(100, '\x01') + "\r\n";
    case 1:
      return std::string(10'000, 'n');
    case 2:
      return "VA 3000000000 O00\r\n" + std::string(kUsualBytes, 'x');
    case 3:
      return "VA 1 O0123456789abcdef\r\nx\r\n";
    case 4:
      return answer + answer;
    default:
      return "VA -1 O\r\n" + answer;
  }
}

/// A server that answers, is slow, full, silent or breaks off, each command by its own draw.
ScriptedCacheServer::Script faulty_server(unsigned seed, double fault_share, double spoilt_share) {
  auto draw = std::make_shared<Draw>(seed);
  return [draw, fault_share, spoilt_share](const ReceivedCommand& c) {
    Reaction reaction = serve(c, draw->between(1, 20) * kMillisecond);
    if (c.line.starts_with("mg usual"))
      reaction = serve(c, kMillisecond, std::string(kUsualBytes, 'u'));
    if (c.line.starts_with("mg large"))
      reaction = serve(c, kMillisecond, std::string(kLargeBytes, 'l'));
    if (spoilt_share > 0 && draw->chance(spoilt_share)) {
      reaction.answer = spoilt(reaction.answer, *draw);
      return reaction;
    }
    if (!draw->chance(fault_share)) return reaction;
    switch (draw->between(0, 4)) {
      case 0:
        reaction.answer = "SERVER_ERROR busy\r\n";
        break;
      case 1:
        reaction.delay = draw->between(100, 700) * kMillisecond;
        break;
      case 2:
        reaction.bytes_per_second = static_cast<std::size_t>(draw->between(50, 500)) * 1000;
        break;
      case 3:
        reaction.answer.clear();
        reaction.close = true;
        break;
      default:
        reaction.answer.resize(reaction.answer.size() / 2);
        reaction.close = true;
        break;
    }
    return reaction;
  };
}

std::string garbage(int number) {
  switch (number % 6) {
    case 0:
      return std::string(20'000, 'x');
    case 1:
      return "mg key v O" + next_id() + " Pc=price-lookup,t=acme,d=x\r\n";
    case 2:
      return "ms key 60000000 O" + next_id() + " Pc=sale-record,t=acme,d=500,k=1\r\nxxxx";
    case 3:
      return "ms key -5 O" + next_id() + " Pc=sale-record,t=acme,d=500,k=1\r\nxxxx\r\n";
    case 4:
      return read_command(next_id(), 500, std::string(300, 'k')) + "mg key v Pc=none\r\n";
    default:
      return "\x80\x01\r\n" + read_command(next_id(), 500) + "mg ke";
  }
}

/// What one connection of the crowd sends, by the kind of crowd.
std::string crowd_input(SoakCrowd kind, int number) {
  std::string input;
  switch (kind) {
    case SoakCrowd::StoppedWrites:
      input = write_command(next_id(), 900, std::string(65'536, 'x'), next_id());
      input.resize(input.size() - 2);
      return input;
    case SoakCrowd::UsualReads:
      for (int k = 0; k < 60; ++k) input += read_command(next_id(), 580, "usual");
      return input;
    case SoakCrowd::HurriedReads:
      for (int k = 0; k < 400; ++k) input += read_command(next_id(), 5, "k" + std::to_string(k));
      return input;
    case SoakCrowd::LargeWrites:
      return write_command(next_id(), 900, std::string(kLargeBytes, 'x'), next_id());
    case SoakCrowd::LargeReads:
      for (int k = 0; k < 4; ++k)
        input += read_command(next_id(), 580, "large") + read_command(next_id(), 580, "k");
      return input;
    case SoakCrowd::Garbage:
      return garbage(number);
    case SoakCrowd::ManyFields:
      for (int k = 0; k < 40; ++k) {
        input += "mg key v O" + next_id() + " Pc=price-lookup,t=acme,d=580";
        for (int field = 0; field < 980; ++field) input += ",a=1";
        input += "\r\n";
      }
      return input;
    case SoakCrowd::Silent:
    case SoakCrowd::Nobody:
      break;
  }
  return {};
}

}  // namespace

SoakPlan::SoakPlan(unsigned seed_number, SoakKind kind) : seed(seed_number) {
  Draw draw(seed);
  memory_mb = draw.chance(0.7) ? 32 : 64;
  sockets = draw.chance(0.3) ? 256 : 1024;
  dial_timeout = draw.chance(0.5) ? 75 * kMillisecond : 1'200 * kMillisecond;
  fault_share = draw.between(0, 30) / 100.0;
  servers = draw.between(3, 6);
  crowd = static_cast<SoakCrowd>(draw.between(static_cast<int>(SoakCrowd::StoppedWrites),
                                              static_cast<int>(SoakCrowd::Nobody)));
  crowd_size = draw.between(50, 600);
  reloads = draw.between(0, 3);
  clients_leave = draw.chance(0.5);
  crowd_bytes_per_second = static_cast<std::size_t>(draw.between(1, 100)) * 1000;
  if (kind == SoakKind::Usual) return;
  constexpr unsigned kWideSeeds = 1'000'000;
  Draw more(kWideSeeds + seed);
  spoilt_share = more.between(0, 15) / 100.0;
  if (more.chance(0.6))
    crowd = static_cast<SoakCrowd>(more.between(static_cast<int>(SoakCrowd::LargeReads),
                                                static_cast<int>(SoakCrowd::ManyFields)));
  replaces_server = more.chance(0.5);
  upgrade = more.chance(0.5);
}

ScriptedCacheServer::Script SoakPlan::script(int server) const {
  return faulty_server(seed * 100 + static_cast<unsigned>(server), fault_share, spoilt_share);
}

Crowd::Options SoakPlan::crowd_options() const {
  Crowd::Options options;
  options.connections = crowd == SoakCrowd::Nobody ? 0 : static_cast<std::size_t>(crowd_size);
  options.input = [kind = crowd, number = 0]() mutable { return crowd_input(kind, number++); };
  options.read_bytes_per_second = crowd_bytes_per_second;
  return options;
}

SoakBreaks judge_soak(const std::vector<ReceivedCommand>& received,
                      const std::map<std::string, Micros>& closed_at,
                      const std::set<std::string>& unanswered) {
  SoakBreaks found;
  std::map<std::string, std::vector<Micros>> keyed;
  std::map<std::string, int> once;
  for (const ReceivedCommand& command : received) {
    bool may_run_once = command.line.find("c=stock-read") != std::string::npos;
    if (may_run_once && !command.turned_away) ++once[command.id];
    found.lost += unanswered.contains(command.id);  // it was taken, as it was sent on
    if (!may_run_once && command.write && !command.turned_away)
      keyed[key_of(command)].push_back(command.complete_at);
    auto closed = closed_at.find(command.id);
    if (closed != closed_at.end())
      found.begun_after_close += command.complete_at > closed->second + kMaxBeginAfterClose;
  }
  for (auto& [key, times] : keyed) {
    Micros first = *std::min_element(times.begin(), times.end());
    for (Micros at : times) found.past_window += at > first + kSoakKeyWindow + kRuleSlack;
  }
  for (const auto& [id, runs] : once) found.run_twice += runs > 1;
  return found;
}

}  // namespace arrowfork::rig
