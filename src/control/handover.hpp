// Handover from a running process to a new one: first the listening socket, then each client
// connection between two requests. Uses a unix socket that keeps message boundaries (unix(7),
// SOCK_SEQPACKET, SCM_RIGHTS); the first letter of a message is its type.
#pragma once

#include <functional>
#include <string>

#include "io/io.hpp"

namespace arrowfork {

/// A client's connection, between two of its requests.
struct HandedOverClient {
  Fd fd;
  /// The predecessor has not looked yet whether its client has ended its sending side. With its
  /// first commands a client may do so and still read; later that can't be told from a close.
  bool is_new = false;
};

/// Both ends of a handover: a process is first the successor of a running one, then the predecessor
/// of the next. However a process ends, the other one sees its socket close and goes on alone.
class Handover {
 public:
  class Handler {
   public:
    /// Asked of the predecessor: its listening socket (-1: none) and its list of servers.
    virtual int listening_socket() = 0;
    virtual std::string server_list() = 0;
    /// Called on the predecessor: a successor has its listening socket, and is to get the ids of
    /// its requests by send_request_ids(), now and from now on.
    virtual void on_successor_connected() = 0;
    /// Called on both: ids of requests that the other process has accepted. The successor is called
    /// first, and sends its own from then on.
    virtual void on_request_ids(const std::string& ids) = 0;
    /// Called on the predecessor: the successor accepts clients from now on; or it has ended before
    /// this process did.
    virtual void on_successor_ready() = 0;
    virtual void on_successor_lost() = 0;
    /// Called on the successor: a client connection was handed over; how many descriptors the
    /// predecessor still holds; the predecessor has ended.
    virtual void on_client_handed_over(HandedOverClient&& client) = 0;
    virtual void on_predecessor_descriptors(std::size_t descriptors) = 0;
    virtual void on_predecessor_gone() = 0;

   protected:
    ~Handler() = default;
  };

  Handover(event_base* base, std::string path, Handler& handler);
  ~Handover();

  /// Received from the running process at the path.
  struct Inherited {
    Fd listener;
    std::string list;
  };
  /// Asks a running process for its listener; empty if there is none, or if it does not answer
  /// within a second. Blocks for that time, so call it before anything is served.
  Inherited request_listener();
  /// Listens for a successor at the path, from now on or once the predecessor has ended.
  void listen_for_successor();
  /// Tells the predecessor that this process accepts clients from now on.
  void announce_accepting();
  bool has_predecessor() const { return static_cast<bool>(predecessor_); }
  bool has_successor() const { return successor_accepts_ && successor_; }

  enum class HandOverResult { Sent, RetryLater, NotSent };
  /// Sends a client's connection to the successor.
  HandOverResult hand_over_client(int client, bool is_new);
  /// Whether there is another process of an upgrade that knows what to do with request ids.
  bool takes_request_ids() const { return request_ids_peer() >= 0; }
  /// Sends the other process ids of requests, kMaxRequestIdBytes at most; false if its buffer is
  /// full, so that they have to be sent again.
  [[nodiscard]] bool send_request_ids(const std::string& ids);
  static constexpr std::size_t kMaxRequestIdBytes = 32u << 10;
  /// Handles what the predecessor has sent so far.
  void read_predecessor();
  /// Handles what the other process of an upgrade has sent so far.
  void read_messages() {
    read_predecessor();
    read_successor();
  }
  /// Tells the successor how many descriptors this process holds.
  void report_held_descriptors(std::size_t descriptors);

 private:
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_successor_event(evutil_socket_t, short, void* self);
  static void on_predecessor_event(evutil_socket_t, short, void* self);
  void bind();
  void read_successor();
  /// False for a message that a successor does not send, or if it could not be answered.
  [[nodiscard]] bool handle_successor_message(const std::string& text);
  [[nodiscard]] bool send_listener();
  void drop_successor();
  int request_ids_peer() const;

  event_base* base_;
  std::string path_;
  Handler& handler_;
  Fd listening_, successor_, predecessor_;
  EventPtr accept_event_, successor_event_, predecessor_event_;
  bool bound_ = false;              // the socket at the path is this process's
  bool successor_accepts_ = false;  // the successor has announced that it accepts clients
  bool successor_has_listener_ = false;
  bool predecessor_takes_ids_ = false;  // earlier versions take none, and send none
};

}  // namespace arrowfork
