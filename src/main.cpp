// arrowfork: one router, configured by the file that NODE_CONFIG names, until SIGTERM.
#include "app/serve.hpp"

int main() {
  return arrowfork::serve([] { return arrowfork::load_config(); });
}
