#include "store/disk_list_persistence.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace wheeldeal::store {
namespace {

using Json = nlohmann::json;
using arrowfork::kSecond;

constexpr const char* kListKey = "list";
// An unchanged list that discovery confirms again is rewritten at most this often, so that not
// every watch causes a disk write. The recorded age of the list is too high by at most this
// interval.
constexpr Micros kRewriteInterval = 5 * kSecond;

}  // namespace

DiskListPersistence::DiskListPersistence(const arrowfork::StoreSettings& settings,
                                         std::string owner, std::function<Micros()> unix_time)
    : settings_(settings),
      owner_(std::move(owner)),
      unix_time_(std::move(unix_time)),
      store_(limits_) {
  limits_.disk_bytes = settings.disk_bytes;
  limits_.memory_bytes = settings.memory_bytes;
  store_ = Store(limits_);
  std::shared_ptr<FileSystem> files = real_file_system(settings.directory);
  auto journal = std::make_shared<Journal>(files, limits_);
  Journal::Contents opened;
  if (Error error = journal->open(opened); error != Error::None) {
    log_once(error, "is not used");
    return;
  }
  std::fprintf(
      stderr,
      "arrowfork: store %s: %zu entries from %zu files, %zu damaged places, %zu trailing bytes "
      "ignored\n",
      settings.directory.c_str(), opened.entries.size(), opened.files, opened.damaged_places,
      opened.trailing_bytes);
  store_.load(std::move(opened));
  committer_ = std::make_unique<Committer>(std::move(journal));
}

DiskListPersistence::~DiskListPersistence() {
  // Writes the changes that came during the last commit; ~Committer waits for this one.
  if (committer_ && committer_->wait_until_idle()) continue_writing();
}

void DiskListPersistence::restore_list(arrowfork::Config& config) {
  const Entry* entry = store_.get(kListKey, static_cast<std::uint64_t>(unix_time_()));
  if (!entry) return;
  try {
    Json json = Json::parse(entry->value);
    arrowfork::HostList list = arrowfork::parse_host_list(json.at("list").dump());
    PersistedList persisted;
    persisted.owner = json.at("owner").get<std::string>();
    persisted.confirmed = json.at("confirmed_us").get<Micros>();
    persisted.unverified = entry->unverified;
    persisted.has_usable_server =
        std::any_of(list.hosts.begin(), list.hosts.end(),
                    [](const auto& h) { return h.server.health == robinseam::Health::Ready; });
    trust_ = assess_trust(persisted, owner_, unix_time_(), settings_.max_trusted_list_age,
                          settings_.max_list_age);
    std::fprintf(stderr, "arrowfork: store: persisted list %s, %.1f s old: %s (%s)\n",
                 list.version.c_str(),
                 static_cast<double>(unix_time_() - persisted.confirmed) / kSecond,
                 trust_.trust == ListTrust::Discarded    ? "dropped"
                 : trust_.trust == ListTrust::Unverified ? "unverified"
                                                         : "taken",
                 trust_.reason);
    // A list in the configuration takes precedence.
    if (trust_.trust == ListTrust::Discarded || !config.initial_list.hosts.empty()) return;
    config.initial_list = std::move(list);
    config.initial_list_unverified = trust_.trust == ListTrust::Unverified;
  } catch (const std::exception& e) {
    trust_ = {ListTrust::Discarded, "it cannot be read"};
    std::fprintf(stderr, "arrowfork: store: cannot read the persisted list: %s\n", e.what());
  }
}

void DiskListPersistence::on_list_confirmed(const arrowfork::HostList& list) {
  if (!committer_) return;
  std::string text = arrowfork::host_list_to_json(list);
  Micros now = unix_time_();
  if (text == last_list_json_ && now >= written_at_ && now - written_at_ < kRewriteInterval) return;
  Json json = {{"owner", owner_}, {"confirmed_us", now}, {"list", Json::parse(text)}};
  Store::Sequence token = 0;
  auto expires = static_cast<std::uint64_t>(now + settings_.max_list_age);
  Error error = store_.put(kListKey, json.dump(), expires, token);
  if (error != Error::None) {
    ++dropped_;
    return log_once(error, "cannot store the list");
  }
  last_list_json_ = std::move(text), written_at_ = now;
  continue_writing();
}

void DiskListPersistence::continue_writing() {
  if (!committer_) return;
  Committer::State s = committer_->state();
  if (s.busy) return;
  store_.mark_durable(s.durable);
  store_.expire(static_cast<std::uint64_t>(unix_time_()));
  failed_commits_ = s.failed;
  if (s.error != Error::None || logged_error_ != Error::None)
    log_once(s.error, "cannot be written");
  committer_->submit(store_.batch(), static_cast<std::uint64_t>(unix_time_()));
}

/// Logs an error when it first occurs and once more when it is over.
void DiskListPersistence::log_once(Error error, const char* what) {
  if (error == std::exchange(logged_error_, error)) return;
  std::fprintf(stderr, "arrowfork: store %s %s: %s\n", settings_.directory.c_str(),
               error == Error::None ? "is writable again" : what, name_of(error));
}

std::vector<std::pair<std::string, std::string>> DiskListPersistence::stats() const {
  std::vector<std::pair<std::string, std::string>> all;
  auto add = [&](const char* name, std::uint64_t value) {
    all.emplace_back(name, std::to_string(value));
  };
  Committer::State s = committer_ ? committer_->state() : Committer::State{};
  add("store_entries", store_.size());
  add("store_memory_bytes", store_.memory_bytes());
  add("store_waiting_bytes", store_.waiting_bytes());
  add("store_disk_bytes", s.disk_bytes);
  add("store_commits", s.commits);
  add("store_compactions", s.compactions);
  add("store_failed", s.failed);
  add("store_dropped", dropped_);
  std::string state = committer_ ? name_of(s.error) : "not used";
  std::replace(state.begin(), state.end(), ' ', '_');
  all.emplace_back("store_state", std::move(state));
  return all;
}

}  // namespace wheeldeal::store
