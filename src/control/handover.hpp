// A new process takes over from a running one: the listening socket first, then each client
// connection between two requests. Over a unix socket of whole messages (unix(7), SOCK_SEQPACKET,
// SCM_RIGHTS); each begins with a letter.
#pragma once

#include <functional>
#include <string>

#include "io/io.hpp"

namespace arrowfork {

/// Either end of a handover; a process is first the successor of another, then waits for its own.
/// A process that ends, however it ends, ends its part: the other one sees that and goes on alone.
class Handover {
 public:
  class Handler {
   public:
    /// Asked of the running process: what it listens on (-1: nothing), and its list of servers.
    virtual int listening_socket() = 0;
    virtual std::string server_list() = 0;
    /// The successor accepts clients from now on; lost before the planned end: it does no more.
    virtual void on_successor_ready() = 0;
    virtual void on_successor_lost() = 0;
    /// Told to the successor: a client's connection, how many descriptors the predecessor still
    /// holds, and that it has ended.
    virtual void on_client_handed_over(Fd&& client) = 0;
    virtual void on_predecessor_descriptors(std::size_t descriptors) = 0;
    virtual void on_predecessor_gone() = 0;

   protected:
    ~Handler() = default;
  };

  Handover(event_base* base, std::string path, Handler& handler);
  ~Handover();

  /// What a running process at the path has given.
  struct Inherited {
    Fd listener;
    std::string list;
  };
  /// Asks a running process for its listener; nothing where there is none, or where it does not
  /// answer within a second. Waits for that: call it before anything is served.
  Inherited request_listener();
  /// Waits for a successor at the path, at once or as soon as the predecessor has ended.
  void listen_for_successor();
  /// As a successor: clients are accepted here from now on.
  void announce_accepting();
  bool has_predecessor() const { return static_cast<bool>(predecessor_); }
  bool has_successor() const { return taken_ && successor_; }

  enum class HandOverResult { Sent, RetryLater, NotSent };
  /// Passes a client's connection on.
  HandOverResult hand_over_client(int client);
  /// Tells the successor how many descriptors are held here.
  void report_held_descriptors(std::size_t descriptors);

 private:
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_successor_event(evutil_socket_t, short, void* self);
  static void on_predecessor_event(evutil_socket_t, short, void* self);
  void bind();
  void lose_successor();

  event_base* base_;
  std::string path_;
  Handler& handler_;
  Fd waiting_, successor_, predecessor_;
  EventPtr accept_event_, successor_event_, predecessor_event_;
  bool bound_ = false;  // the path is ours
  bool taken_ = false;  // the successor has said that it accepts
};

}  // namespace arrowfork
