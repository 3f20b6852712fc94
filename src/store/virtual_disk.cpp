#include "store/virtual_disk.hpp"

#include <algorithm>

namespace wheeldeal::store {

class VirtualDisk::Handle final : public File {
 public:
  Handle(std::shared_ptr<VirtualDisk> disk, std::shared_ptr<Content> content)
      : disk_(std::move(disk)), content_(std::move(content)) {}
  Error append(std::string_view bytes) override {
    Error f = disk_->step(Op::Append);
    std::size_t room = disk_->capacity_ - std::min(disk_->capacity_, disk_->used());
    if (f == Error::None && bytes.size() > room) {
      content_->bytes.append(bytes.substr(0, room));
      return Error::DiskFull;
    }
    // A write that fails or is interrupted by a power loss is partly written.
    content_->bytes.append(f == Error::None ? bytes : bytes.substr(0, bytes.size() / 2));
    return f;
  }
  Error sync() override {
    Error f = disk_->step(Op::Sync);
    if (disk_->power_lost_) return f;
    if (f != Error::None) content_->poisoned = true;
    if (!content_->poisoned) content_->synced = content_->bytes.size();
    return f;
  }

 private:
  std::shared_ptr<VirtualDisk> disk_;
  std::shared_ptr<Content> content_;
};

Error VirtualDisk::step(Op kind) {
  if (power_lost_ || operations_done_ == power_loss_at_) {
    power_lost_ = true;
    return Error::Io;
  }
  ++operations_done_;
  auto at = failures_.find(kind);
  if (at == failures_.end() || operations_done_ <= at->second.from || at->second.times == 0)
    return Error::None;
  --at->second.times;
  return at->second.with;
}

void VirtualDisk::fail_operations(Op kind, int after, int times, Error with) {
  failures_[kind] = {operations_done_ + after, times, with};
}

std::size_t VirtualDisk::used() const {
  std::size_t sum = 0;
  for (const auto& [name, content] : names_) sum += content->bytes.size();
  return sum;
}

Error VirtualDisk::list(std::vector<std::string>& names) {
  names.clear();
  for (const auto& [name, content] : names_) names.push_back(name);
  return step(Op::List);
}

Error VirtualDisk::read(const std::string& name, std::size_t max_bytes, std::string& bytes) {
  if (Error f = step(Op::Read); f != Error::None) return f;
  auto at = names_.find(name);
  if (at == names_.end()) return Error::NotFound;
  if (at->second->bytes.size() > max_bytes) return Error::TooLarge;
  bytes = at->second->bytes;
  return Error::None;
}

Error VirtualDisk::create(const std::string& name, std::unique_ptr<File>& file) {
  if (Error f = step(Op::Create); f != Error::None) return f;
  auto content = std::make_shared<Content>();
  names_[name] = content;
  file = std::make_unique<Handle>(shared_from_this(), content);
  return Error::None;
}

Error VirtualDisk::rename(const std::string& from, const std::string& to) {
  if (Error f = step(Op::Rename); f != Error::None) return f;
  auto at = names_.find(from);
  if (at == names_.end()) return Error::NotFound;
  auto content = at->second;
  names_.erase(at);
  names_[to] = content;
  return Error::None;
}

Error VirtualDisk::remove(const std::string& name) {
  if (Error f = step(Op::Remove); f != Error::None) return f;
  return names_.erase(name) > 0 ? Error::None : Error::NotFound;
}

Error VirtualDisk::sync_directory() {
  if (Error f = step(Op::SyncDirectory); f != Error::None) return f;
  synced_names_ = names_;
  return Error::None;
}

std::shared_ptr<VirtualDisk> VirtualDisk::after_power_loss(std::uint64_t seed) const {
  std::mt19937_64 random(seed);
  auto next = std::make_shared<VirtualDisk>();
  std::map<std::shared_ptr<Content>, std::shared_ptr<Content>>
      kept;  // one content may have two names
  auto fate = [&](const std::shared_ptr<Content>& content) {
    auto& one = kept[content];
    if (one) return one;
    one = std::make_shared<Content>();
    std::string bytes = content->bytes;
    std::size_t loose = bytes.size() - content->synced;
    bytes.resize(content->synced + (loose > 0 ? random() % (loose + 1) : 0));
    // Later bytes may have reached the disk without earlier ones.
    if (bytes.size() > content->synced && random() % 3 == 0) {
      std::size_t from = content->synced + random() % (bytes.size() - content->synced);
      std::size_t size = 1 + random() % (bytes.size() - from);
      std::fill_n(bytes.begin() + static_cast<std::ptrdiff_t>(from), size, '\0');
    }
    one->bytes = std::move(bytes);
    one->synced = one->bytes.size();
    return one;
  };
  Names names = synced_names_;
  for (const auto& [name, content] : names_)
    if (auto at = names.find(name); at == names.end() || at->second != content)
      if (random() % 2) names[name] = content;
  for (const auto& [name, content] : synced_names_)
    if (!names_.count(name) && random() % 2) names.erase(name);
  for (const auto& [name, content] : names) next->names_[name] = fate(content);
  next->synced_names_ = next->names_;
  return next;
}

std::shared_ptr<VirtualDisk> VirtualDisk::after_process_kill() const {
  auto next = std::make_shared<VirtualDisk>();
  for (const auto& [name, content] : names_) {
    auto one = std::make_shared<Content>(*content);
    one->synced = one->bytes.size();
    next->names_[name] = one;
  }
  next->synced_names_ = next->names_;
  return next;
}

std::map<std::string, std::string> VirtualDisk::bytes() const {
  std::map<std::string, std::string> all;
  for (const auto& [name, content] : names_) all[name] = content->bytes;
  return all;
}

void VirtualDisk::set_bytes(const std::string& name, std::string bytes) {
  auto content = std::make_shared<Content>();
  content->synced = bytes.size();
  content->bytes = std::move(bytes);
  names_[name] = synced_names_[name] = content;
}

}  // namespace wheeldeal::store
