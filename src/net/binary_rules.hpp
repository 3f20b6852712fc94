// What the binary protocol has no field for and the configuration's `binary` object says instead.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

/// Whether `text` is of the form of `pattern`, in which `*` stands for any bytes.
bool matches_pattern(std::string_view pattern, std::string_view text);

struct BinaryRules {
  bool clients = false;  ///< the listener takes binary clients too
  std::string read_class, write_class;
  robinseam::Micros read_deadline = 0, write_deadline = 0;
  std::vector<std::pair<std::string, std::string>> tenants;  ///< key prefix, tenant
  std::string default_tenant;                                ///< of keys with none of the prefixes
  bool cas_is_idempotency_key = false;                       ///< of clients' writes
  bool cas_is_server_key = false;  ///< and of those sent to binary servers

  /// Servers that speak the binary protocol: those of which kind and id both fit.
  struct ServerRule {
    std::string kind, id;  ///< patterns; empty fits all
    bool operator==(const ServerRule&) const = default;
  };
  std::vector<ServerRule> servers;

  /// The tenant of a key: of the longest prefix that it begins with.
  const std::string& tenant_of(std::string_view key) const;
  bool server_is_binary(const robinseam::Server& server) const;
  /// Anything here is switched on.
  bool any() const { return clients || !servers.empty(); }
};

}  // namespace arrowfork
