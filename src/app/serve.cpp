#include "serve.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

#include "config_reloader.hpp"

namespace arrowfork {
namespace {

// Larger buffers get pages of their own, which go back to the system when they are freed. In the
// heap the gaps that they leave would count against the memory limit.
constexpr int kOwnPagesBytes = 32 << 10;

int report_error(const std::string& what) {
  std::fprintf(stderr, "arrowfork: %s\n", what.c_str());
  return 1;
}

/// Lowers limits.sockets to the descriptor limit of the process if that is smaller. Otherwise idle
/// clients could take the last descriptor, and none would be left to reconnect to discovery.
Config apply_descriptor_limit(Config config) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= config.sockets) return config;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, config.sockets);
  if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= config.sockets) return config;
  if (limit.rlim_cur < kMinDescriptors)
    throw ConfigError("limits.sockets: the process limit of " + std::to_string(limit.rlim_cur) +
                      " descriptors is below the minimum of " + std::to_string(kMinDescriptors));
  report_error("limits.sockets: " + std::to_string(limit.rlim_cur) + " for " +
               std::to_string(config.sockets) + ": the process may have no more");
  config.sockets = static_cast<std::size_t>(limit.rlim_cur);
  return config;
}

}  // namespace

int serve(const std::function<Config()>& load, const FrontendFactory& make_frontend) {
  ::mallopt(M_MMAP_THRESHOLD, kOwnPagesBytes);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the reloader exists
  try {
    Config config = apply_descriptor_limit(load());
    if (!parse_address(config.discovery))
      return report_error("discovery: not an address: '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(options.get()));
    if (!base) return report_error("cannot create an event base");
    Clock clock;
    Router router(base.get(), config, clock);
    std::string error;
    if (!router.listen(error)) return report_error("listen " + config.listen + ": " + error);
    std::unique_ptr<Frontend> frontend =
        make_frontend ? make_frontend(base.get(), clock, router, config) : nullptr;
    if (frontend) router.add_frontend(*frontend);
    if (config.ext_proc && !make_frontend)
      report_error("ext_proc: not supported by this program, setting ignored");
    if (config.store && !make_frontend)
      report_error("store: not supported by this program, setting ignored");
    auto on_signal = [](evutil_socket_t, short, void* r) { static_cast<Router*>(r)->stop(); };
    EventPtr term(evsignal_new(base.get(), SIGTERM, on_signal, &router));
    EventPtr interrupt(evsignal_new(base.get(), SIGINT, on_signal, &router));
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    // An invalid file leaves the current configuration in place.
    ConfigReloader reloader(
        base.get(), clock, [&] { router.reload(apply_descriptor_limit(load())); },
        [&](const std::string& reason) {
          router.record_failed_reload();
          report_error("reload: old configuration kept: " + reason);
        },
        {});
    auto on_reload = [](evutil_socket_t, short, void* r) {
      static_cast<ConfigReloader*>(r)->on_sighup();
    };
    EventPtr hangup(evsignal_new(base.get(), SIGHUP, on_reload, &reloader));
    event_add(hangup.get(), nullptr);
    // Logs the actual port: the system chooses one if the configured port is 0.
    std::string host = config.listen.substr(0, config.listen.rfind(':'));
    std::fprintf(stderr, "arrowfork: %s listens on %s:%u\n", config.name.c_str(), host.c_str(),
                 static_cast<unsigned>(router.port()));
    router.run();
    return 0;
  } catch (const std::exception& e) {
    return report_error(e.what());
  }
}

}  // namespace arrowfork
