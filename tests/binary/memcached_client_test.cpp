// The binary client of libmemcached reads and writes through the router, with cache servers of
// both protocols behind it.
#include <libmemcached/memcached.h>

#include <atomic>
#include <thread>

#include "../loopback.hpp"
#include "rig/cache_server.hpp"

namespace arrowfork::test {
namespace {

/// Cache servers of the rig on their own event loop and thread.
class RigServers {
 public:
  RigServers(int meta, int binary) {
    std::promise<void> up;
    thread_ = std::thread([this, meta, binary, &up] {
      EventBasePtr base(event_base_new());
      Clock clock;
      rig::Origin origin;
      std::vector<std::unique_ptr<rig::CacheServer>> servers;
      for (int k = 0; k < meta + binary; ++k) {
        rig::CacheServer::Options options;
        options.meta = k < meta;
        options.binary = k >= meta;
        options.service_time = 0;
        servers.push_back(std::make_unique<rig::CacheServer>(base.get(), clock, origin, options));
        hosts.push_back(
            host_json((k < meta ? "m-" : "b-") + std::to_string(k), servers.back()->address()));
      }
      up.set_value();
      while (!end_) {
        timeval step{0, 10'000};
        event_base_loopexit(base.get(), &step);
        event_base_dispatch(base.get());
      }
      for (auto& one : servers) {
        (one->counts().meta_connections ? meta_served : binary_served) += one->counts().commands;
        unreadable += one->counts().malformed_commands;
      }
    });
    up.get_future().wait();
  }
  ~RigServers() { end(); }
  void end() {
    end_ = true;
    if (thread_.joinable()) thread_.join();
  }
  std::vector<std::string> hosts;
  std::uint64_t meta_served = 0, binary_served = 0, unreadable = 0;  // valid after end()

 private:
  std::atomic<bool> end_{false};
  std::thread thread_;
};

class Libmemcached : public testing::Test {
 protected:
  Libmemcached() : servers_(2, 2) {
    config_.hosts = servers_.hosts;
    // With retries a stalled server thread costs attempts that time out after a few milliseconds,
    // and the router rejects requests as busy once its retry budget is spent.
    config_.max_attempts = 1;
    config_.binary = R"({"servers":[{"id":"b-*"}]})";
    router_ = std::make_unique<RunningRouter>(config_);
    memc_ = memcached_create(nullptr);
    memcached_behavior_set(memc_, MEMCACHED_BEHAVIOR_BINARY_PROTOCOL, 1);
    memcached_behavior_set(memc_, MEMCACHED_BEHAVIOR_TCP_NODELAY, 1);
    memcached_server_add(memc_, "127.0.0.1", router_->port());
  }
  ~Libmemcached() override { memcached_free(memc_); }

  memcached_return_t set(const std::string& key, const std::string& value, std::uint32_t flags) {
    return memcached_set(memc_, key.data(), key.size(), value.data(), value.size(), 0, flags);
  }
  std::string get(const std::string& key, std::uint32_t& flags, memcached_return_t& result) {
    std::size_t size = 0;
    char* value = memcached_get(memc_, key.data(), key.size(), &size, &flags, &result);
    std::string text(value ? value : "", value ? size : 0);
    std::free(value);
    return text;
  }

  RigServers servers_;
  ConfigText config_;
  std::unique_ptr<RunningRouter> router_;
  memcached_st* memc_;
};

TEST_F(Libmemcached, ReadsReturnWrittenValuesOverServersOfBothProtocols) {
  for (std::uint32_t k = 0; k < 60; ++k) {
    std::string key = "key" + std::to_string(k);
    std::string value(k * 997, static_cast<char>(k));
    ASSERT_EQ(set(key, value, k * 1001), MEMCACHED_SUCCESS) << memcached_last_error_message(memc_);
    std::uint32_t flags = 0;
    memcached_return_t result;
    ASSERT_EQ(get(key, flags, result), value) << key;
    EXPECT_EQ(result, MEMCACHED_SUCCESS);
    EXPECT_EQ(flags, k * 1001);
  }
  servers_.end();
  EXPECT_GT(servers_.meta_served, 0u);
  EXPECT_GT(servers_.binary_served, 0u);
  EXPECT_EQ(servers_.unreadable, 0u);
}

TEST_F(Libmemcached, MultiGetWithQuietCommandsReturnsAllKeys) {
  std::vector<std::string> keys;
  std::vector<const char*> names;
  std::vector<std::size_t> sizes;
  for (int k = 0; k < 200; ++k) keys.push_back("many" + std::to_string(k));
  for (const std::string& key : keys) names.push_back(key.data()), sizes.push_back(key.size());
  ASSERT_EQ(memcached_mget(memc_, names.data(), sizes.data(), keys.size()), MEMCACHED_SUCCESS);
  memcached_return_t result;
  std::size_t count = 0;
  while (memcached_result_st* one = memcached_fetch_result(memc_, nullptr, &result)) {
    std::string key(memcached_result_key_value(one), memcached_result_key_length(one));
    EXPECT_EQ(std::string(memcached_result_value(one), memcached_result_length(one)),
              "price of " + key);
    ++count;
    memcached_result_free(one);
  }
  EXPECT_EQ(count, keys.size());
}

TEST_F(Libmemcached, VersionAndStatsAreAnsweredAndDeleteIsRejected) {
  ASSERT_EQ(set("a", "b", 0), MEMCACHED_SUCCESS);
  memcached_return_t result;
  memcached_stat_st* stats = memcached_stat(memc_, nullptr, &result);
  EXPECT_NE(stats, nullptr);
  memcached_stat_free(memc_, stats);
  EXPECT_NE(memcached_delete(memc_, "a", 1, 0), MEMCACHED_SUCCESS);
  std::uint32_t flags = 0;
  EXPECT_EQ(get("a", flags, result), "b");  // the connection still works, and nothing was deleted
}

}  // namespace
}  // namespace arrowfork::test
