// Discovery as PROTOCOL has it: the list of cache servers over HTTP, whole or as changes since a
// version, with watches that wait.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// What it does instead of answering a call well. Watches that are out are left to their time.
enum class DiscoveryFault {
  None,
  Slow,    ///< answers a second late
  Silent,  ///< takes calls and answers none
  Down,    ///< answers 503, and ends the watches that are out so
  Spoilt,  ///< answers what is no list
  Half,    ///< answers half of the list
  Reset,   ///< ends the connection without an answer
};

class DiscoveryServer {
 public:
  struct Entry {
    std::string dial, kind = "std", site = "a";
    std::string health = "active";  ///< or "leaving", "left"
    std::int64_t born_ms = 0;       ///< Unix time; 0: long ago
  };
  /// Listens on a loopback port that the system chooses. Throws std::runtime_error where it can't.
  explicit DiscoveryServer(event_base* base);
  ~DiscoveryServer();

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Adds a cache server or changes it; watches are told at once.
  void put(const std::string& id, const Entry& entry);
  void set_fault(DiscoveryFault fault);
  std::uint64_t calls() const { return calls_; }
  /// The whole list in discovery's JSON.
  std::string whole() const;

 private:
  struct Listed {
    Entry entry;
    std::uint64_t changed = 0;  // the version that brought it
  };
  /// A call that is answered later: at a change, or when its time is over.
  struct Waiting {
    DiscoveryServer* server;
    evhttp_request* request;
    std::uint64_t index;
    bool watch;  // a change ends it
    EventPtr timer;
  };
  static void on_call(evhttp_request* request, void* self);
  static void on_wait_over(evutil_socket_t, short, void* waiting);
  void answer(evhttp_request* request, std::string json);
  std::string changes(std::uint64_t since) const;
  void wait(evhttp_request* request, std::uint64_t index, bool watch, Micros span);
  void end_watches();

  struct HttpFree {
    void operator()(evhttp* http) const { evhttp_free(http); }
  };
  event_base* base_;
  std::unique_ptr<evhttp, HttpFree> http_;
  std::uint16_t port_ = 0;
  std::uint64_t version_ = 1;
  DiscoveryFault fault_ = DiscoveryFault::None;
  std::uint64_t calls_ = 0;
  std::map<std::string, Listed> hosts_;
  std::list<Waiting> waiting_;
};

}  // namespace arrowfork::rig
