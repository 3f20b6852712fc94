// What the router is told at its start: environment and configuration file.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "../drill/settings.hpp"
#include "../membership/host_list.hpp"
#include "binary_rules.hpp"

namespace arrowfork {

/// Descriptors that a router needs at least.
constexpr std::size_t kMinDescriptors = 64;

/// A configuration that can't be used; what() names the setting.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads discovery's JSON. Throws ConfigError on anything that is not a list.
HostList parse_host_list(const std::string& json);
/// The same of an answer of discovery: an entry that can't be used is left out and told in `fault`.
HostList parse_discovery_answer(const std::string& json);
/// The same form of a list.
std::string host_list_to_json(const HostList& list);

/// The object `ext_proc`: an external processor for other proxies (wheeldeal alone). Header names
/// that are empty are the usual ones.
struct ExtProcSettings {
  std::string listen;  ///< address
  std::string key_header, class_header, tenant_header, deadline_header, id_header,
      idempotency_header;
  std::string read_class, write_class, default_tenant;
  std::size_t max_connections = 64;  ///< beyond, new ones are closed
  std::size_t max_streams = 10'000;  ///< calls open at once, over all connections
  std::size_t max_streams_per_connection = 1'000;
  std::size_t header_bytes = 16u << 10;   ///< of one call
  std::size_t resets_per_s = 200;         ///< of calls by one connection, before it is sent away
  std::size_t pings_per_s = 20;           ///< of one connection, before it is sent away
  std::size_t message_bytes = 64u << 10;  ///< of one message
  std::size_t stream_window = 128u << 10, connection_window = 1u << 20;  ///< bytes sent ahead
  std::size_t out_bytes = 1u << 20;  ///< answers that wait for a slow reader
  robinseam::Micros idle_timeout =
      300'000'000;  ///< a connection without a call for this long is let go
  robinseam::Micros stall_timeout =
      2'000'000;  ///< a peer that takes nothing for so long is given up
  robinseam::Micros handshake_timeout = 5'000'000;  ///< until a new connection has spoken HTTP/2
  /// A connection with calls open that says nothing for so long is asked for a sign of life, and
  /// given up where none comes in time: its machine has vanished.
  robinseam::Micros keepalive_interval = 10'000'000, keepalive_timeout = 5'000'000;
  bool operator==(const ExtProcSettings&) const = default;
};

/// The object `store`: state that outlives the process (wheeldeal alone).
struct StoreSettings {
  std::string directory;  ///< this router's own
  std::size_t disk_bytes = 16u << 20, memory_bytes = 8u << 20;
  /// A kept list up to this age is taken as one that the process was handed; up to the second one
  /// discovery is asked about it at once; beyond it is dropped.
  robinseam::Micros max_trusted_list_age = 10'000'000, max_list_age = 600'000'000;
  bool operator==(const StoreSettings&) const = default;
};

struct Config {
  std::string name, listen, discovery;
  std::string control;    ///< address for operators' calls; empty: none
  std::string state_dir;  ///< what outlives the process is kept there; empty: nothing does
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;
  HostList initial_list;
  bool initial_list_unverified =
      false;  ///< it is likely to have changed: discovery is asked at once
  robinseam::Settings settings;
  robinseam::drill::ConnectionSettings connection_settings;
  robinseam::Micros log_interval = 5'000'000;  ///< between two lines of figures
  BinaryRules binary;  ///< of the object `binary`; without it nothing binary is spoken
  std::optional<ExtProcSettings> ext_proc;
  std::optional<StoreSettings> store;
};

/// Reads the file that NODE_CONFIG names. The other NODE_ variables say what it leaves out: they
/// are those of the first start, while the file may have been replaced since. Throws ConfigError.
Config load_config();
/// The same of the file at `path`.
Config load_config(const std::string& path);
/// The file's text alone.
Config parse_config(const std::string& json);

}  // namespace arrowfork
