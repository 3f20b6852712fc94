// arrowfork: one router. Reads what it is told, starts, and ends on SIGTERM.
#include <csignal>
#include <cstdio>

#include "net/router.hpp"

namespace {

int complain(const std::string& what) {
  std::fprintf(stderr, "arrowfork: %s\n", what.c_str());
  return 1;
}

}  // namespace

int main() {
  using namespace arrowfork;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Config config = load_config();
    if (!parse_address(config.discovery))
      return complain("discovery: no address: '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(options.get()));
    if (!base) return complain("no event base");
    Router router(base.get(), config);
    std::string error;
    if (!router.listen(error)) return complain("listen " + config.listen + ": " + error);
    auto on_signal = [](evutil_socket_t, short, void* r) { static_cast<Router*>(r)->stop(); };
    EventPtr term(evsignal_new(base.get(), SIGTERM, on_signal, &router));
    EventPtr interrupt(evsignal_new(base.get(), SIGINT, on_signal, &router));
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    std::fprintf(stderr, "arrowfork: %s listens on %s\n", config.name.c_str(),
                 config.listen.c_str());
    router.run();
    return 0;
  } catch (const ConfigError& e) {
    return complain(e.what());
  }
}
