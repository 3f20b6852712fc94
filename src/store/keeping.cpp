#include "store/keeping.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace wheeldeal::store {
namespace {

using Json = nlohmann::json;
using arrowfork::kSecond;

constexpr const char* kListKey = "list";
// A list that discovery confirms without a change is written again after this time, so that the
// disk is not written with each watch. It bounds what the age may be too high by.
constexpr Micros kConfirm = 5 * kSecond;

}  // namespace

Keeping::Keeping(const arrowfork::StoreSettings& settings, std::string owner,
                 std::function<Micros()> wall)
    : settings_(settings), owner_(std::move(owner)), wall_(std::move(wall)), store_(limits_) {
  limits_.disk_bytes = settings.disk_bytes;
  limits_.memory_bytes = settings.memory_bytes;
  store_ = Store(limits_);
  std::shared_ptr<FileSystem> folder = real_folder(settings.directory);
  auto journal = std::make_shared<Journal>(folder, limits_);
  Journal::Opened opened;
  if (Fault fault = journal->open(opened); fault != Fault::None) {
    say(fault, "is not used");
    return;
  }
  std::fprintf(
      stderr, "arrowfork: store %s: %zu entries of %zu files, %zu places damaged, %zu bytes cut\n",
      settings.directory.c_str(), opened.entries.size(), opened.files, opened.damaged, opened.cut);
  store_.load(std::move(opened));
  committer_ = std::make_unique<Committer>(std::move(journal));
}

Keeping::~Keeping() {
  // What came while the disk was at work; what it takes after that is the end's own time.
  if (committer_ && committer_->settle()) continue_writing();
}

void Keeping::give(arrowfork::Config& config) {
  const Entry* entry = store_.get(kListKey, static_cast<std::uint64_t>(wall_()));
  if (!entry) return;
  try {
    Json json = Json::parse(entry->value);
    arrowfork::HostList list = arrowfork::parse_host_list(json.at("list").dump());
    KeptList kept;
    kept.owner = json.at("owner").get<std::string>();
    kept.confirmed = json.at("confirmed_us").get<Micros>();
    kept.doubted = entry->doubted;
    kept.names_any = std::any_of(list.hosts.begin(), list.hosts.end(), [](const auto& h) {
      return h.server.health == robinseam::Health::Ready;
    });
    belief_ = judge(kept, owner_, wall_(), settings_.max_trusted_list_age, settings_.max_list_age);
    std::fprintf(stderr, "arrowfork: store: the kept list %s, %.1f s old, is %s: %s\n",
                 list.version.c_str(), static_cast<double>(wall_() - kept.confirmed) / kSecond,
                 belief_.worth == Worth::Dropped ? "dropped"
                 : belief_.worth == Worth::Asked ? "asked about"
                                                 : "taken",
                 belief_.why);
    // Whoever starts the process with a list knows better.
    if (belief_.worth == Worth::Dropped || !config.initial_list.hosts.empty()) return;
    config.initial_list = std::move(list);
    config.initial_list_unverified = belief_.worth == Worth::Asked;
  } catch (const std::exception& e) {
    belief_ = {Worth::Dropped, "it can't be read"};
    std::fprintf(stderr, "arrowfork: store: the kept list can't be read: %s\n", e.what());
  }
}

void Keeping::on_list_confirmed(const arrowfork::HostList& list) {
  if (!committer_) return;
  std::string text = arrowfork::host_list_to_json(list);
  Micros now = wall_();
  if (text == last_text_ && now >= kept_at_ && now - kept_at_ < kConfirm) return;
  Json json = {{"owner", owner_}, {"confirmed_us", now}, {"list", Json::parse(text)}};
  Store::Token token = 0;
  auto expires = static_cast<std::uint64_t>(now + settings_.max_list_age);
  Fault fault = store_.put(kListKey, json.dump(), expires, token);
  if (fault != Fault::None) {
    ++dropped_;
    return say(fault, "does not keep the list");
  }
  last_text_ = std::move(text), kept_at_ = now;
  continue_writing();
}

void Keeping::continue_writing() {
  if (!committer_) return;
  Committer::State s = committer_->state();
  if (s.busy) return;
  store_.written(s.durable);
  store_.expire(static_cast<std::uint64_t>(wall_()));
  faults_ = s.failed;
  if (s.fault != Fault::None || said_ != Fault::None) say(s.fault, "can't be written");
  committer_->offer(store_.batch(), static_cast<std::uint64_t>(wall_()));
}

/// Once for each fault, and once when it is over.
void Keeping::say(Fault fault, const char* what) {
  if (fault == std::exchange(said_, fault)) return;
  std::fprintf(stderr, "arrowfork: store %s %s: %s\n", settings_.directory.c_str(),
               fault == Fault::None ? "is written again" : what, name_of(fault));
}

std::vector<std::pair<std::string, std::string>> Keeping::stats() const {
  std::vector<std::pair<std::string, std::string>> all;
  auto add = [&](const char* name, std::uint64_t value) {
    all.emplace_back(name, std::to_string(value));
  };
  Committer::State s = committer_ ? committer_->state() : Committer::State{};
  add("store_entries", store_.size());
  add("store_memory_bytes", store_.memory());
  add("store_waiting_bytes", store_.waiting());
  add("store_disk_bytes", s.disk_bytes);
  add("store_commits", s.commits);
  add("store_compactions", s.compactions);
  add("store_failed", s.failed);
  add("store_dropped", dropped_);
  std::string state = committer_ ? name_of(s.fault) : "not used";
  std::replace(state.begin(), state.end(), ' ', '_');
  all.emplace_back("store_state", std::move(state));
  return all;
}

}  // namespace wheeldeal::store
