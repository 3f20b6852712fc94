#include "serve.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

#include "config_reloader.hpp"

namespace arrowfork {
namespace {

int complain(const std::string& what) {
  std::fprintf(stderr, "arrowfork: %s\n", what.c_str());
  return 1;
}

/// The process's own limit of descriptors may be lower than the configuration's. Shared out by the
/// larger one, idle clients would fill the table to the last descriptor, and the call that finds
/// discovery again would get none.
Config within_limits(Config config) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= config.sockets) return config;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, config.sockets);
  if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= config.sockets) return config;
  if (limit.rlim_cur < kMinDescriptors)
    throw ConfigError("limits.sockets: the process may have " + std::to_string(limit.rlim_cur) +
                      " descriptors, under " + std::to_string(kMinDescriptors));
  complain("limits.sockets: " + std::to_string(limit.rlim_cur) + " for " +
           std::to_string(config.sockets) + ": the process may have no more");
  config.sockets = static_cast<std::size_t>(limit.rlim_cur);
  return config;
}

}  // namespace

int serve(const std::function<Config()>& load, const FrontendFactory& attach) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until there is something to reload
  try {
    Config config = within_limits(load());
    if (!parse_address(config.discovery))
      return complain("discovery: no address: '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(options.get()));
    if (!base) return complain("no event base");
    Clock clock;
    Router router(base.get(), config, clock);
    std::string error;
    if (!router.listen(error)) return complain("listen " + config.listen + ": " + error);
    std::unique_ptr<Frontend> front = attach ? attach(base.get(), clock, router, config) : nullptr;
    if (front) router.add_frontend(*front);
    if (config.ext_proc && !attach) complain("ext_proc: this program does not serve it");
    if (config.store && !attach) complain("store: this program keeps nothing");
    auto on_signal = [](evutil_socket_t, short, void* r) { static_cast<Router*>(r)->stop(); };
    EventPtr term(evsignal_new(base.get(), SIGTERM, on_signal, &router));
    EventPtr interrupt(evsignal_new(base.get(), SIGINT, on_signal, &router));
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    // A file that can't be used leaves everything as it is.
    ConfigReloader reloader(
        base.get(), clock, [&] { router.reload(within_limits(load())); },
        [&](const std::string& reason) {
          router.record_failed_reload();
          complain("reload: old configuration kept: " + reason);
        },
        {});
    auto on_reload = [](evutil_socket_t, short, void* r) {
      static_cast<ConfigReloader*>(r)->hang_up();
    };
    EventPtr hangup(evsignal_new(base.get(), SIGHUP, on_reload, &reloader));
    event_add(hangup.get(), nullptr);
    // The address as it came to be: the system chooses a port where 0 was asked for.
    std::string host = config.listen.substr(0, config.listen.rfind(':'));
    std::fprintf(stderr, "arrowfork: %s listens on %s:%u\n", config.name.c_str(), host.c_str(),
                 static_cast<unsigned>(router.port()));
    router.run();
    return 0;
  } catch (const std::exception& e) {
    return complain(e.what());
  }
}

}  // namespace arrowfork
