#include "wire.hpp"

namespace robinseam::drill {
namespace {

constexpr NameTable<Status, 9> kStatusNames{{{"completed", Status::Ok},
                                             {"errored", Status::Error},
                                             {"saturated", Status::Rejected},
                                             {"overdue", Status::Timeout},
                                             {"refused_conn", Status::ConnectFailed},
                                             {"severed", Status::Reset},
                                             {"recalled", Status::Cancelled},
                                             {"superseded", Status::NotSent},
                                             {"lookup_miss", Status::Miss}}};
RequestId parse_request_id(const Line& line) {
  return static_cast<RequestId>(
      in_range(line.integer("Tid"), 0, (std::int64_t{1} << 52) - 1, "Tid"));
}

Micros parse_duration(const Line& line, std::string_view key, Micros default_value) {
  return in_range(line.integer(key, default_value), 0, std::int64_t{1} << 60, key);
}

Micros parse_duration(const Line& line, std::string_view key) {
  line.text(key);
  return parse_duration(line, key, 0);
}

int parse_attempt(const Line& line) {
  return static_cast<int>(in_range(line.integer("SendNo"), 0, 1'000'000, "SendNo"));
}

std::vector<double> parse_report(const Line& line) {
  std::vector<double> report;
  if (const auto* text = line.find("Gauge"))
    for (std::string_view part : split(*text, ',')) report.push_back(to_number(part, "Gauge"));
  return report;
}

}  // namespace

Line::Line(std::string_view text) {
  std::size_t end = text.find(' ');
  name_ = text.substr(0, end);
  if (name_.empty()) throw ParseError("no message name");
  while (end != text.npos) {
    text.remove_prefix(end + 1);
    end = text.find(' ');
    std::string_view part = text.substr(0, end);
    if (part.empty()) continue;
    std::size_t eq = part.find('=');
    if (eq == part.npos || eq == 0)
      throw ParseError("'" + std::string(part) + "' is not name=value");
    pairs_.emplace_back(part.substr(0, eq), part.substr(eq + 1));
  }
}

const std::string_view* Line::find(std::string_view key) const {
  for (const auto& [name, value] : pairs_)
    if (name == key) return &value;
  return nullptr;
}

std::string_view Line::text(std::string_view key) const {
  if (const auto* value = find(key)) return *value;
  throw ParseError(std::string(name_) + " without " + std::string(key));
}

std::int64_t Line::integer(std::string_view key) const { return to_integer(text(key), key); }

std::int64_t Line::integer(std::string_view key, std::int64_t default_value) const {
  const auto* value = find(key);
  return value ? to_integer(*value, key) : default_value;
}

double Line::number(std::string_view key, double default_value) const {
  const auto* value = find(key);
  return value ? to_number(*value, key) : default_value;
}

bool Line::flag(std::string_view key, bool default_value) const {
  const auto* value = find(key);
  return value ? to_flag(*value, key) : default_value;
}

SettingPairs setting_pairs(const Line& line) {
  return SettingPairs(line.pairs().begin(), line.pairs().end());
}

std::string format_action(const Action& action) {
  struct Writer {
    std::string operator()(const Send& a) const {
      std::string line = "route Tid=" + std::to_string(a.id) + " Server=" + a.server;
      if (a.timeout > 0) line += " PatienceUs=" + std::to_string(a.timeout);
      return line;
    }
    std::string operator()(const Refuse& a) const {
      std::string line = "deny Tid=" + std::to_string(a.id);
      if (a.retry_after > 0) line += " WaitUs=" + std::to_string(a.retry_after);
      return line;
    }
    std::string operator()(const Fail& a) const {
      return "drop_request Tid=" + std::to_string(a.id);
    }
    std::string operator()(const Cancel& a) const {
      return "call_off Tid=" + std::to_string(a.id) + " SendNo=" + std::to_string(a.attempt);
    }
    std::string operator()(const WatchList&) const { return "follow Want=1"; }
    std::string operator()(const FetchList&) const { return "pull"; }
    std::string operator()(const Timer& a) const {
      return "wake_at SpanUs=" + std::to_string(a.delay) + " Nonce=" + std::to_string(a.token);
    }
    std::string operator()(const Probe& a) const { return "health_check Server=" + a.server; }
  };
  return std::visit(Writer{}, action);
}

std::string Adapter::process_line(std::string_view text) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  Line line(text);
  if (entries_expected_ > 0 && line.name() != "m") throw ParseError("expected a list entry");
  if (line.name() == "batch") {
    if (in_batch_) throw ParseError("batch inside a batch");
    Micros now = line.integer("NowUs");
    if (seen_batch_ && now < now_) throw ParseError("NowUs goes backwards");
    now_ = now;
    in_batch_ = seen_batch_ = true;
    instance_.clear(), reply_instance_.clear(), reply_.clear();
    return {};
  }
  if (!in_batch_) throw ParseError("'" + std::string(line.name()) + "' outside a batch");
  if (line.name() == "your_turn") {
    in_batch_ = false;
    return std::move(reply_) + "done\n";
  }
  handle_event(line);
  return {};
}

Balancer& Adapter::current_instance() {
  auto it = instances_.find(instance_);
  if (it == instances_.end()) throw ParseError("message for '" + instance_ + "' before its enlist");
  return *it->second;
}

void Adapter::append_actions(Actions actions) {
  if (actions.empty()) return;
  if (reply_instance_ != instance_)
    reply_ += "instance Who=" + instance_ + "\n", reply_instance_ = instance_;
  for (const Action& action : actions) reply_ += format_action(action), reply_ += '\n';
}

void Adapter::deliver_list() { append_actions(current_instance().on_list(now_, scope_, entries_)); }

void Adapter::handle_event(const Line& line) {
  std::string_view name = line.name();
  if (name == "switch_to") {
    instance_ = line.text("Who");
    if (instance_.empty()) throw ParseError("switch_to without Who");
    return;
  }
  if (instance_.empty()) throw ParseError("'" + std::string(name) + "' before switch_to");
  if (name == "enlist") {
    std::int64_t seed = line.integer("RngSeed");
    try {
      instances_[instance_] = std::make_unique<Balancer>(parse_settings(setting_pairs(line)),
                                                         static_cast<std::uint64_t>(seed), now_);
    } catch (const std::invalid_argument& e) {
      throw ParseError(e.what());
    }
    append_actions(instances_[instance_]->start(now_));
  } else if (name == "detach") {
    current_instance();
    instances_.erase(instance_);
  } else if (name == "membership") {
    current_instance();
    std::int64_t scope = in_range(line.integer("Scope"), 0, 3, "Scope");
    scope_ = static_cast<ListScope>(scope);
    entries_.clear();
    entries_expected_ = in_range(line.integer("Elements", 0), 0, 10'000'000, "Elements");
    if (entries_expected_ == 0) deliver_list();
  } else if (name == "m") {
    if (entries_expected_ == 0) throw ParseError("list entry not announced by a membership line");
    Server s;
    s.id = line.text("Server");
    s.zone = line.find("RegionPart") ? line.text("RegionPart") : "";
    s.kind = line.find("Hw") ? line.text("Hw") : "";
    s.cell = line.integer("UnitGroup", -1);
    s.health = static_cast<Health>(in_range(line.integer("Health", 0), 0, 2, "Health"));
    s.weight = line.number("Share", 1);
    if (s.weight < 0) throw bad_value("Share", line.text("Share"));
    s.up_since = line.integer("UpSinceUs", 0);
    entries_.push_back(std::move(s));
    if (--entries_expected_ == 0) deliver_list();
  } else if (name == "arrival") {
    Request r;
    r.id = parse_request_id(line);
    r.class_name = line.text("Type");
    if (const auto* v = line.find("Project")) r.tenant = *v;
    if (const auto* v = line.find("Entity")) r.key = *v;
    r.remaining = parse_duration(line, "RemainingUs");
    if (line.find("HintUs")) r.work = parse_duration(line, "HintUs");
    r.retry = line.flag("Repeat");
    r.write = line.flag("Mutates");
    append_actions(current_instance().on_request(now_, r));
  } else if (name == "established") {
    append_actions(current_instance().on_answer_start(
        now_, parse_request_id(line), std::string(line.text("Server")), parse_attempt(line),
        parse_duration(line, "LatencyUs", 0)));
  } else if (name == "verdict") {
    Outcome o;
    o.id = parse_request_id(line);
    o.finished = line.flag("Finished");
    o.server = line.text("Server");
    o.status = parse_name(kStatusNames, line.text("Rc"), "Rc");
    o.latency = parse_duration(line, "LatencyUs", 0);
    o.attempt = parse_attempt(line);
    o.cache_result = static_cast<int>(in_range(line.integer("Detail", 0), 0, 1'000, "Detail"));
    o.report = parse_report(line);
    append_actions(current_instance().on_outcome(now_, o));
  } else if (name == "left") {
    append_actions(current_instance().on_client_gone(now_, parse_request_id(line)));
  } else if (name == "ring") {
    append_actions(current_instance().on_timer(
        now_, static_cast<std::uint64_t>(in_range(line.integer("Nonce"), 0, INT64_MAX, "Nonce"))));
  } else if (name == "check_result") {
    append_actions(current_instance().on_probe_result(
        now_, std::string(line.text("Server")), parse_name(kStatusNames, line.text("Rc"), "Rc"),
        parse_duration(line, "LatencyUs", 0), parse_report(line)));
  } else if (name == "peer") {
    current_instance();  // routers share nothing
  } else {
    throw ParseError("unknown message '" + std::string(name) + "'");
  }
}

}  // namespace robinseam::drill
