#include "router_under_test.hpp"

#include <fstream>
#include <sstream>

namespace arrowfork::process_test {

bool wait_until(const std::function<bool()>& condition) {
  for (Micros end = now() + test::kTestTimeoutMs * kMillisecond; now() < end;
       sleep_for(5 * kMillisecond))
    if (condition()) return true;
  ADD_FAILURE() << "condition not met in time";
  return false;
}

std::string RouterOptions::text() const {
  std::ostringstream out;
  out << R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" << discovery
      << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << memory_mb
      << R"(,"sockets":)" << sockets << R"(},"known":)" << test::list_json(1, true, hosts);
  if (!state_dir.empty()) out << R"(,"control":"127.0.0.1:0","state_dir":")" << state_dir << '"';
  if (binary_clients)
    out << R"(,"binary":{"clients":true,"read_class":"price-lookup","write_class":"sale-record"})";
  out << R"(,"settings":{"Az":"a","Balancers":2,"Tenants":[{"Name":"acme","Portion":1.0}],
    "Classes":[{"Name":"price-lookup","ObjectiveUs":150000,"DeadlineUs":)"
      << read_deadline << R"(,"Effect":"repeatable","Worth":3.0},
    {"Name":"sale-record","ObjectiveUs":)"
      << keyed_objective << R"(,"DeadlineUs":)" << keyed_deadline
      << R"(,"Effect":"by_key","Group":"all","KeyTtlUs":)" << key_ttl << R"(,"Worth":2.0},
    {"Name":"stock-read","ObjectiveUs":150000,"DeadlineUs":)"
      << read_deadline << R"(,"Effect":"once","Worth":2.0}],
    "FailureDomains":["a"],"MachineTypes":["std"],"Domain":{"Mode":"through","OriginKind":-1},
    "Limits":{"MaxAttempts":)"
      << max_attempts << R"(,"MaxRetryAfterUs":1000000,"MayCancel":true,"SecondCopies":false,
    "StreamsPerConn":)"
      << streams_per_connection << R"(,"KeepaliveUs":15000000,"DialTimeoutUs":)" << dial_timeout
      << R"(,"MaxOpen":10000},"MembershipMode":"subscribe","Report":{"Fields":[],"How":"off"},
    "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.3,"ColdUs":8000000,
    "DrainGraceUs":500000,"OverloadFactor":4.0,"TipAfterUs":1500000},"TickUs":2000,"Weights":"off"}})";
  return out.str();
}

RouterUnderTest::RouterUnderTest(const RouterOptions& options) {
  std::filesystem::path config = directory_.path() / "config.json";
  std::ofstream(config) << options.text();
  process_ = std::make_unique<rig::RouterProcess>(ARROWFORK_PROGRAM, config,
                                                  directory_.path() / "log", true);
  wait_until([this] { return process_->port() != 0 || process_->has_exited(); });
}

long RouterUnderTest::status_kib(std::string_view name) const {
  std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name)) return std::stol(line.substr(name.size()));
  return 0;
}

}  // namespace arrowfork::process_test
