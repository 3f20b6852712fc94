// arrowfork: one router. Reads what it is told, starts, and ends on SIGTERM.
#include "app/serve.hpp"

int main() { return arrowfork::serve(arrowfork::load_config); }
