#include "scripted_peers.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace arrowfork::rig {
namespace {

constexpr Micros kPollInterval = kMillisecond;
constexpr std::size_t kChunkBytes = 64u << 10;

Fd listen_on_loopback(std::uint16_t port, int backlog) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 ||
      ::listen(fd.get(), backlog) != 0)
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  return fd;
}

/// How many bytes of a rate may have passed by now.
struct Allowance {
  std::size_t bytes_per_second = 0;
  Micros since = now();
  std::size_t used = 0;
  std::size_t left(std::size_t most) const {
    if (bytes_per_second == 0) return most;
    auto due = static_cast<std::size_t>((now() - since) / kMillisecond * bytes_per_second / 1000);
    return std::min(most, due > used ? due - used : 0);
  }
};

std::string word_after(const std::string& line, const std::string& mark) {
  std::size_t at = line.find(mark);
  if (at == line.npos) return {};
  at += mark.size();
  return line.substr(at, line.find_first_of(" ,\r", at) - at);
}

}  // namespace

Micros now() {
  static const Clock clock;
  return clock.now();
}

void sleep_for(Micros span) { std::this_thread::sleep_for(std::chrono::microseconds(span)); }

Reaction serve(const ReceivedCommand& command, Micros delay, const std::string& value) {
  Reaction reaction;
  reaction.delay = delay;
  if (command.write)
    reaction.answer = "HD O" + command.id + " c00000000000000aa\r\n";
  else
    reaction.answer =
        "VA " + std::to_string(value.size()) + " O" + command.id + "\r\n" + value + "\r\n";
  return reaction;
}

// ---- cache server ----

struct ScriptedCacheServer::Connection {
  Fd fd;
  std::size_t number = 0;
  std::string input;
  Micros first_byte_at = 0;
  Allowance reads;
  struct Answer {
    Micros due;
    Reaction reaction;
    std::size_t sent = 0;
    bool begun = false;
    Allowance writes{};
  };
  std::deque<Answer> answers;
};

ScriptedCacheServer::ScriptedCacheServer(Script script, Options options)
    : script_(std::move(script)), options_(options), accepts_(options.accepts) {
  listener_ = listen_on_loopback(options_.port, options_.backlog);
  port_ = port_of(listener_);
  thread_ = std::thread([this] { run(); });
}

ScriptedCacheServer::~ScriptedCacheServer() { end(); }

void ScriptedCacheServer::end() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
  listener_.reset();
}

std::vector<ReceivedCommand> ScriptedCacheServer::received() const {
  std::lock_guard hold(mutex_);
  return received_;
}

void ScriptedCacheServer::run() {
  std::vector<std::unique_ptr<Connection>> connections;
  while (!ends_) {
    if (accepts_) {
      while (true) {
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (!fd) break;
        int on = 1;
        ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_unique<Connection>();
        connection->fd = std::move(fd);
        connection->number = accepted_++;
        connection->reads.bytes_per_second = options_.read_bytes_per_second;
        connections.push_back(std::move(connection));
      }
    }
    bool idle = true;
    std::erase_if(connections, [&](const std::unique_ptr<Connection>& one) {
      std::size_t before = one->input.size();
      bool open = read_from(*one) && write_to(*one);
      idle &= before == one->input.size();
      return !open;
    });
    if (idle) sleep_for(kPollInterval / 4);
  }
}

bool ScriptedCacheServer::read_from(Connection& connection) {
  std::vector<char> data(kChunkBytes);
  while (std::size_t most = connection.reads.left(data.size())) {
    ssize_t got = ::recv(connection.fd.get(), data.data(), most, 0);
    if (got == 0) return false;
    if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (connection.input.empty()) connection.first_byte_at = now();
    connection.input.append(data.data(), static_cast<std::size_t>(got));
    connection.reads.used += static_cast<std::size_t>(got);
    take_commands(connection);
  }
  return true;
}

void ScriptedCacheServer::take_commands(Connection& connection) {
  while (true) {
    std::size_t end = connection.input.find("\r\n");
    if (end == connection.input.npos) return;
    ReceivedCommand command;
    command.line = connection.input.substr(0, end);
    command.write = command.line.starts_with("ms ");
    std::size_t size = end + 2;
    if (command.write) {
      std::istringstream words(command.line);
      std::string verb, key;
      std::size_t length = 0;
      words >> verb >> key >> length;
      if (connection.input.size() < size + length + 2) return;
      command.value = connection.input.substr(size, length);
      size += length + 2;
    }
    connection.input.erase(0, size);
    command.id = word_after(command.line, " O");
    command.first_byte_at = connection.first_byte_at;
    command.complete_at = now();
    command.connection = connection.number;
    connection.first_byte_at = command.complete_at;
    Reaction reaction = script_(command);
    command.turned_away = reaction.answer == "SERVER_ERROR busy\r\n";
    {
      std::lock_guard hold(mutex_);
      received_.push_back(command);
    }
    connection.answers.push_back({command.complete_at + reaction.delay, std::move(reaction)});
  }
}

bool ScriptedCacheServer::write_to(Connection& connection) {
  while (!connection.answers.empty() && now() >= connection.answers.front().due) {
    Connection::Answer& answer = connection.answers.front();
    const std::string& text = answer.reaction.answer;
    if (!std::exchange(answer.begun, true)) {
      answer.writes.bytes_per_second = answer.reaction.bytes_per_second;
      answer.writes.since = now();
    }
    std::size_t most = answer.writes.left(text.size() - answer.sent);
    if (most > 0) {
      ssize_t put = ::send(connection.fd.get(), text.data() + answer.sent, most, MSG_NOSIGNAL);
      if (put < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      answer.sent += static_cast<std::size_t>(put);
      answer.writes.used += static_cast<std::size_t>(put);
    }
    if (answer.sent < text.size()) return true;
    if (answer.reaction.close) return false;
    connection.answers.pop_front();
  }
  return true;
}

// ---- clients ----

std::string next_id() {
  static std::atomic<std::uint64_t> number{0x1000};
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++number));
  return text;
}

std::string read_command(const std::string& id, int deadline_ms, const std::string& key,
                         const std::string& class_name) {
  return "mg " + key + " v O" + id + " Pc=" + class_name +
         ",t=acme,d=" + std::to_string(deadline_ms) + "\r\n";
}

std::string write_command(const std::string& id, int deadline_ms, const std::string& value,
                          const std::string& idempotency_key, const std::string& class_name) {
  return "ms key " + std::to_string(value.size()) + " O" + id + " Pc=" + class_name +
         ",t=acme,d=" + std::to_string(deadline_ms) + ",k=" + idempotency_key + "\r\n" + value +
         "\r\n";
}

ClientLink::ClientLink(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  timeval limit = timeval_of(kTimeout);
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  if (::connect(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0)
    fd_.reset();
}

void ClientLink::send(std::string_view text) const {
  while (!text.empty()) {
    ssize_t put = ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
    if (put <= 0) return;
    text.remove_prefix(static_cast<std::size_t>(put));
  }
}

std::size_t ClientLink::send_without_waiting(std::string_view text) const {
  ssize_t sent = ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

void ClientLink::discard_answers() const {
  char data[kChunkBytes];
  while (::recv(fd_.get(), data, sizeof data, MSG_DONTWAIT) > 0) {
  }
}

void ClientLink::reset() {
  linger at_once{1, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  fd_.reset();
}

std::string ClientLink::line() {
  std::size_t end;
  while ((end = buffer_.find("\r\n")) == buffer_.npos) {
    char data[4096];
    ssize_t got = ::recv(fd_.get(), data, sizeof data, 0);
    if (got <= 0) return {};
    buffer_.append(data, static_cast<std::size_t>(got));
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

SteadyClient::SteadyClient(std::uint16_t port) : thread_([this, port] { run(port); }) {}

void SteadyClient::stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

SteadyClient::Counts SteadyClient::counts() const {
  std::lock_guard hold(mutex_);
  return counts_;
}

void SteadyClient::run(std::uint16_t port) {
  ClientLink link(port);
  for (int number = 0; !ends_; ++number) {
    Micros sent = now();
    std::string command =
        read_command(next_id(), kDeadline / kMillisecond, "k" + std::to_string(number % 200));
    link.send(command);
    std::string line = link.line();
    bool served = line.starts_with("VA ") && !link.line().empty();
    {
      std::lock_guard hold(mutex_);
      if (served)
        ++counts_.served;
      else if (line.starts_with("SERVER_ERROR busy"))
        ++counts_.refused;
      else
        ++(line.empty() ? counts_.closed : counts_.failed);
      counts_.longest = std::max(counts_.longest, now() - sent);
    }
    if (line.empty()) link = ClientLink(port);
    sleep_for(std::max<Micros>(0, sent + 20 * kMillisecond - now()));
  }
}

Crowd::Crowd(std::uint16_t port, Options options) : options_(std::move(options)) {
  thread_ = std::thread([this, port] { run(port); });
}

Crowd::~Crowd() {
  ends_ = true;
  thread_.join();
}

void Crowd::run(std::uint16_t port) {
  struct Client {
    Fd fd;
    std::string input;
    std::size_t sent = 0;
    Allowance reads;
  };
  std::vector<Client> clients;
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  for (std::size_t k = 0; k < options_.connections && !ends_; ++k) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (options_.receive_buffer > 0)
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &options_.receive_buffer,
                   sizeof options_.receive_buffer);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0) continue;
    Client client{std::move(fd), options_.input(), 0, {}};
    client.reads.bytes_per_second = options_.read_bytes_per_second;
    clients.push_back(std::move(client));
  }
  std::vector<char> data(kChunkBytes);
  while (!ends_) {
    std::erase_if(clients, [&](Client& client) {
      if (client.sent < client.input.size()) {
        ssize_t put = ::send(client.fd.get(), client.input.data() + client.sent,
                             client.input.size() - client.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (put > 0) client.sent += static_cast<std::size_t>(put);
        if (put < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return true;
      }
      if (options_.read_bytes_per_second == 0) return false;
      std::size_t most = client.reads.left(data.size());
      if (most == 0) return false;
      ssize_t got = ::recv(client.fd.get(), data.data(), most, MSG_DONTWAIT);
      if (got == 0) return true;
      if (got > 0) client.reads.used += static_cast<std::size_t>(got), bytes_read_ += got;
      return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    });
    sleep_for(kPollInterval);
  }
}

void LeavingClients::stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

void LeavingClients::run(std::uint16_t port) {
  while (!ends_) {
    std::vector<std::string> ids;
    std::string input;
    for (int k = 0; k < kCommands; ++k) {
      ids.push_back(next_id());
      input += read_command(ids.back(), 580, "k" + std::to_string(k % 50));
    }
    ClientLink client(port);
    client.send_without_waiting(input);
    sleep_for(40 * kMillisecond);
    client.close();
    Micros at = now();
    for (const std::string& id : ids) closed_at_[id] = at;
    sleep_for(250 * kMillisecond);
  }
}

PipeliningClient::PipeliningClient(std::uint16_t port, std::string class_name)
    : class_name_(std::move(class_name)), thread_([this, port] { run(port); }) {}

void PipeliningClient::stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

void PipeliningClient::run(std::uint16_t port) {
  constexpr int kReadsAtOnce = 16, kDeadlineMs = 580;
  constexpr Micros kPause = 10 * kMillisecond;
  ClientLink link(port);
  std::string unsent;
  while (!ends_) {
    if (unsent.empty())
      for (int k = 0; k < kReadsAtOnce; ++k)
        unsent += read_command(next_id(), kDeadlineMs, "k" + std::to_string(k), class_name_);
    unsent.erase(0, link.send_without_waiting(unsent));
    link.discard_answers();
    sleep_for(kPause);
  }
}

void CopyingCaller::connect(std::uint16_t port) {
  std::lock_guard hold(mutex_);
  link_.emplace(port);
}

void CopyingCaller::on_command(const ReceivedCommand& command) {
  // The router reads a client that is refused more often later.
  constexpr Micros kCopyInterval = kMillisecond;
  std::lock_guard hold(mutex_);
  if (!begun_.insert(command.id).second) {
    ++begun_twice_;
    return;
  }
  if (!link_ || now() - last_copy_at_ < kCopyInterval) return;
  last_copy_at_ = now();
  link_->send(command.line + "\r\n");
  link_->discard_answers();
  ++copied_;
}

WritingClient::WritingClient(std::uint16_t port, std::string even_class, std::string odd_class,
                             Micros max_late)
    : classes_{std::move(even_class), std::move(odd_class)},
      max_late_(max_late),
      thread_([this, port] { run(port); }) {}

void WritingClient::stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

void WritingClient::run(std::uint16_t port) {
  ClientLink link(port);
  for (int k = 0; !ends_ && link.connected(); ++k) {
    std::string id = next_id();
    Micros sent_at = now();
    link.send(write_command(id, kDeadlineMs, "v", id, classes_[k % 2]));
    if (link.line().empty()) {
      unanswered_.insert(id);
      link = ClientLink(port);
      continue;
    }
    ++answered_;
    late_ += now() - sent_at > kDeadlineMs * kMillisecond + max_late_;
  }
}

}  // namespace arrowfork::rig
