// The router's configuration, read from the environment and a JSON file.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "../drill/settings.hpp"
#include "../membership/host_list.hpp"
#include "binary_rules.hpp"

namespace arrowfork {

/// Smallest number of file descriptors that a router can work with.
constexpr std::size_t kMinDescriptors = 64;

/// An invalid configuration; what() names the setting.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses a host list in discovery's JSON form. Throws ConfigError if any part of it is invalid.
HostList parse_host_list(const std::string& json);
/// Parses an answer of discovery. Invalid entries are left out; the error of the first one is
/// stored in `entry_error`. Throws ConfigError if the list itself is invalid.
HostList parse_discovery_answer(const std::string& json);
/// Formats a host list in the form that parse_host_list reads.
std::string host_list_to_json(const HostList& list);

/// The object `ext_proc`: an external processor for other proxies (wheeldeal only). An empty header
/// name stands for the default one.
struct ExtProcSettings {
  std::string listen;  ///< address to listen on
  std::string key_header, class_header, tenant_header, deadline_header, id_header,
      idempotency_header;
  std::string read_class, write_class, default_tenant;
  std::size_t max_connections = 64;  ///< further connections are closed
  std::size_t max_streams = 10'000;  ///< concurrent calls over all connections
  std::size_t max_streams_per_connection = 1'000;
  std::size_t header_bytes = 16u << 10;   ///< per call
  std::size_t resets_per_s = 200;         ///< stream resets by a connection before it is closed
  std::size_t pings_per_s = 20;           ///< pings by a connection before it is closed
  std::size_t message_bytes = 64u << 10;  ///< per message
  std::size_t stream_window = 128u << 10,
              connection_window = 1u << 20;         ///< bytes
  std::size_t out_bytes = 1u << 20;                 ///< answers buffered for a slow reader
  robinseam::Micros idle_timeout = 300'000'000;     ///< for a connection without calls
  robinseam::Micros stall_timeout = 2'000'000;      ///< for a peer that reads nothing
  robinseam::Micros handshake_timeout = 5'000'000;  ///< for a new connection to speak HTTP/2
  /// A connection with open calls that is silent for `keepalive_interval` is sent a ping, and
  /// closed if no answer comes within `keepalive_timeout`: its machine has vanished.
  robinseam::Micros keepalive_interval = 10'000'000, keepalive_timeout = 5'000'000;
  bool operator==(const ExtProcSettings&) const = default;
};

/// The object `store`: state that survives a restart (wheeldeal only).
struct StoreSettings {
  std::string directory;  ///< used by this router alone
  std::size_t disk_bytes = 16u << 20, memory_bytes = 8u << 20;
  /// A persisted list up to the first age is trusted like one in the configuration. Up to the
  /// second age it is used, but discovery is polled at once; an older list is dropped.
  robinseam::Micros max_trusted_list_age = 10'000'000, max_list_age = 600'000'000;
  bool operator==(const StoreSettings&) const = default;
};

/// All that one router is configured with.
struct Config {
  std::string name, listen, discovery;
  std::string control;    ///< address for operators' calls; empty: none served
  std::string state_dir;  ///< for state that survives a restart; empty: none is kept
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;  ///< file descriptors that the router may use
  HostList initial_list;
  bool initial_list_unverified = false;  ///< likely out of date: discovery is polled at once
  robinseam::Settings settings;
  robinseam::drill::ConnectionSettings connection_settings;
  robinseam::Micros log_interval = 5'000'000;  ///< between two log lines of statistics
  BinaryRules binary;  ///< object `binary`; without it the binary protocol is off
  std::optional<ExtProcSettings> ext_proc;
  std::optional<StoreSettings> store;
};

/// Reads the file that NODE_CONFIG names. The other NODE_ variables fill in only what the file
/// leaves out: they date from the start of the process, while the file may have been replaced
/// since. Throws ConfigError.
Config load_config();
/// Reads the file at `path`, with the same variables.
Config load_config(const std::string& path);
/// Parses the text of a configuration file, without the environment.
Config parse_config(const std::string& json);

}  // namespace arrowfork
