// The configuration's `binary` object: settings for what the binary protocol has no field for.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

/// Whether `text` matches `pattern`, in which `*` stands for any number of any bytes.
bool matches_pattern(std::string_view pattern, std::string_view text);

/// Which peers use the binary protocol, and the class, deadline and tenant of binary commands.
struct BinaryRules {
  bool clients = false;  ///< the listener accepts binary clients as well
  std::string read_class, write_class;
  robinseam::Micros read_deadline = 0, write_deadline = 0;
  std::vector<std::pair<std::string, std::string>> tenants;  ///< key prefix, tenant
  std::string default_tenant;                                ///< of keys that match no prefix
  bool cas_is_idempotency_key = false;                       ///< of writes from clients
  bool cas_is_server_key = false;                            ///< of writes to binary servers

  /// A server uses the binary protocol if its kind and its id both match the same entry.
  struct ServerRule {
    std::string kind, id;  ///< patterns; an empty one matches everything
    bool operator==(const ServerRule&) const = default;
  };
  std::vector<ServerRule> servers;

  /// The tenant of the longest prefix that matches the key.
  const std::string& tenant_of(std::string_view key) const;
  bool server_is_binary(const robinseam::Server& server) const;
  /// Whether the binary protocol is used at all, by clients or servers.
  bool any() const { return clients || !servers.empty(); }
};

}  // namespace arrowfork
