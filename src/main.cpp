// arrowfork: one router. Reads what it is told, starts, and ends on SIGTERM.
#include "app/serve.hpp"

int main() {
  return arrowfork::serve([] { return arrowfork::load_config(); });
}
