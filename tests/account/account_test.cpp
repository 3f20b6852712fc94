// Log summary: parsing, sums over routers and restarts, reaction times, bounds and outputs.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "account/log_summary.hpp"
#include "account/report.hpp"
#include "account/run.hpp"

namespace wheeldeal::account {
namespace {

std::string figures_line(double time, double uptime, const std::string& more) {
  return "arrowfork: figures time_ms=" + std::to_string(static_cast<long long>(time * 1000)) +
         " uptime_ms=" + std::to_string(static_cast<long long>(uptime * 1000)) + " " + more;
}

double value_at(const LogSummary::Row& row, std::string_view name) {
  for (std::size_t k = 0; k < columns().size(); ++k)
    if (columns()[k].name == name) return row.values[k];
  ADD_FAILURE() << "no column " << name;
  return -1;
}

double total(const LogSummary& summary, std::string_view name) {
  double sum = 0;
  for (const auto& row : summary.rows()) sum += value_at(row, name) * summary.row_seconds();
  return sum;
}

TEST(AccountLines, TellsMalformedLinesFromOtherLines) {
  using Kind = LogLine::Kind;
  const std::pair<const char*, Kind> cases[] = {
      {"arrowfork: figures a=1 b=2.5 worst=s-1:3", Kind::Figures},
      {"12.3 [n4] arrowfork: figures a=1\r", Kind::Figures},
      {"arrowfork: figures a=1 b", Kind::Malformed},
      {"arrowfork: at s-1 1/2/3/4/5/0.50 s-2 0/0/0/0/1/1", Kind::Attempts},
      {"arrowfork: at s-1 1/2/3/4/5", Kind::Malformed},
      {"arrowfork: at s-1 1/2/3/4/5/0.5 s-2", Kind::Malformed},
      {"arrowfork: at s-1 1/-2/3/4/5/0.5", Kind::Malformed},
      {"arrowfork: at s-1 1/2/3/4/x/0.5", Kind::Malformed},
      {"arrowfork: states s-1=down a=b=up", Kind::States},
      {"arrowfork: states s-1=gone", Kind::Malformed},
      {"arrowfork: n1 listens on 127.0.0.1:1", Kind::Other},
      {"something else", Kind::Other},
      {"", Kind::Other}};
  LogLine line;
  for (const auto& [text, kind] : cases) {
    parse_log_line(text, line);
    EXPECT_EQ(line.kind, kind) << text;
  }
  parse_log_line("arrowfork: states s-1=down a=b=up", line);
  ASSERT_EQ(line.states.size(), 2u);
  EXPECT_TRUE(line.states[0].down);
  EXPECT_EQ(line.states[1].id, "a=b");
}

TEST(LogSummary, SumsCountersOverRoutersRestartsAndUnevenIntervals) {
  LogSummary summary;
  summary.set_router("n0");
  summary.add_line(figures_line(100, 2, "requests=20 server_connections=4"));  // 10/s from 98 on
  summary.add_line(figures_line(101, 3, "requests=50 server_connections=8"));
  summary.add_line(
      figures_line(103, 0.5, "requests=7 server_connections=2"));  // a new process at 102.5
  summary.set_router("n1");
  summary.add_line(figures_line(101.5, 1.5, "requests=15 server_connections=6"));
  summary.add_line(
      figures_line(101, 1, "requests=10"));  // the uptime goes back, so this is a new process
  auto rows = summary.rows();
  ASSERT_EQ(rows.size(), 5u);
  const double requests[] = {10, 10, 40, 5, 7};  // at 98, 99, 100, 101, 102
  for (std::size_t k = 0; k < rows.size(); ++k) {
    EXPECT_DOUBLE_EQ(rows[k].starts_at, 98 + static_cast<double>(k));
    if (k == 3) continue;  // n1's second line is a second process, with 10 more from 100 to 101
    EXPECT_NEAR(value_at(rows[k], "requests"), requests[k] + (k == 2 ? 10 : 0), 1e-9) << k;
  }
  EXPECT_NEAR(total(summary, "requests"), 20 + 30 + 7 + 15 + 10, 1e-9);
  EXPECT_NEAR(value_at(rows[0], "server_connections"), 4, 1e-9);
  EXPECT_EQ(summary.router_count(), 2u);
}

TEST(LogSummary, MalformedLinesAreCountedAndIgnored) {
  LogSummary summary;
  summary.add_line("arrowfork: at s-1 1/0/0/0/1/1");  // before any line with a time
  summary.add_line("arrowfork: figures requests=5");  // no time
  summary.add_line(figures_line(-5, 1, "requests=5"));
  summary.add_line("arrowfork: figures time_ms=nan uptime_ms=1");
  summary.add_line(figures_line(10, 1, "requests=inf"));
  summary.add_line("arrowfork: at s-1 1/2");
  EXPECT_EQ(summary.malformed_lines(), 4u);
  EXPECT_EQ(total(summary, "requests"), 0);
  EXPECT_TRUE(summary.servers().empty());
}

TEST(LogSummary, ReportsReactionTimesOfRouters) {
  LogSummary summary;
  // s-1 fails at 20 and the routers react at 21, 22 and 24; it returns at 30, with reactions at 31,
  // 33 and 33.
  const double down[] = {21, 24, 22}, up[] = {31, 33, 33};
  for (int r = 0; r < 3; ++r) {
    summary.set_router("n" + std::to_string(r));
    for (int t = 15; t < 40; ++t) {
      summary.add_line(figures_line(t, t, "requests=0"));
      if (t == 21) summary.add_line("arrowfork: at s-1 0/0/0/0/2/0.8 s-2 9/1/0/0/0/1");
      if (t == down[r]) summary.add_line("arrowfork: states s-1=down");
      if (t == up[r]) summary.add_line("arrowfork: states s-1=up");
    }
  }
  auto episodes = summary.episodes();
  ASSERT_EQ(episodes.size(), 2u);
  EXPECT_TRUE(episodes[0].down);
  EXPECT_FALSE(episodes[0].onset_known);
  EXPECT_DOUBLE_EQ(episodes[0].onset, 20);  // the line at 21 covers the time since 20
  EXPECT_DOUBLE_EQ(episodes[0].first, 1);
  EXPECT_DOUBLE_EQ(episodes[0].median, 2);
  EXPECT_DOUBLE_EQ(episodes[0].last, 4);
  EXPECT_EQ(episodes[0].routers, 3u);
  EXPECT_DOUBLE_EQ(episodes[1].onset, 31);  // no other line shows a return
  summary.add_known_event(19.5, "s-1", true);
  summary.add_known_event(30, "s-1", false);
  episodes = summary.episodes();
  ASSERT_EQ(episodes.size(), 2u);
  EXPECT_TRUE(episodes[0].onset_known && episodes[1].onset_known);
  EXPECT_DOUBLE_EQ(episodes[0].first, 1.5);
  EXPECT_DOUBLE_EQ(episodes[1].first, 1);
  EXPECT_DOUBLE_EQ(episodes[1].last, 3);
  auto servers = summary.servers();
  ASSERT_EQ(servers.size(), 2u);
  EXPECT_EQ(servers[0].server, "s-1");
  EXPECT_EQ(servers[0].unreachable, 6);
}

TEST(LogSummary, StaysBoundedWithCorrectSums) {
  LogSummary summary;
  summary.set_router("n0");
  const int kSeconds = 3 * static_cast<int>(LogSummary::kMaxRows);
  for (int t = 1; t <= kSeconds; ++t) {
    summary.add_line(figures_line(t, t, "requests=" + std::to_string(10 * t)));
    summary.add_line("arrowfork: at s" + std::to_string(t) + " 1/1/0/0/0/1");
  }
  EXPECT_LE(summary.rows().size(), LogSummary::kMaxRows);
  EXPECT_EQ(summary.row_seconds(), 4);
  EXPECT_NEAR(total(summary, "requests"), 10.0 * kSeconds, 1e-6);
  EXPECT_EQ(summary.servers().size(), LogSummary::kMaxServers);
  EXPECT_EQ(summary.dropped(), kSeconds - LogSummary::kMaxServers);
}

TEST(AccountRun, ReadsDirectoryWritesAllOutputsAndReportsErrors) {
  namespace fs = std::filesystem;
  fs::path directory = fs::path(testing::TempDir()) / "account_test";
  fs::remove_all(directory);
  fs::create_directories(directory);
  {
    std::ofstream n0(directory / "n0.log"), other(directory / "notes.txt");
    n0 << figures_line(2, 2, "requests=8 attempts_ok=6") << "\r\n"
       << "arrowfork: at <s>,1 6/2/0/0/0/0.4\narrowfork: states <s>,1=down\n"
       << figures_line(3, 3, "requests=9").substr(0, 30);  // killed while it wrote
    other << figures_line(2, 2, "requests=1000") << "\n";
    std::ofstream(directory / "events.csv") << "seconds,server,what\n1,<s>,1,down\n";
    std::ofstream(directory / "bad.csv") << "1,s-1,gone\n";
  }
  auto text = [&](const char* name) {
    std::stringstream all;
    all << std::ifstream(directory / name).rdbuf();
    return all.str();
  };
  Options options;
  options.paths = {directory.string()};
  options.events = (directory / "events.csv").string();
  options.csv = (directory / "all.csv").string();
  options.servers_csv = (directory / "servers.csv").string();
  options.html = (directory / "page.html").string();
  testing::internal::CaptureStdout();
  EXPECT_EQ(run(options), 0);
  std::string table = testing::internal::GetCapturedStdout();
  EXPECT_NE(table.find("1 routers, 4 lines"), std::string::npos) << table;
  EXPECT_NE(table.find("<s>,1 down 1.0 1.0 1.0, 1 routers, as told"), std::string::npos) << table;
  std::string csv = text("all.csv");
  EXPECT_EQ(csv.substr(0, 29), "seconds,requests,attempts_ok,");
  EXPECT_NE(csv.find("\n1.000,4,3,"), std::string::npos) << csv;
  EXPECT_NE(text("servers.csv").find("0.000,\"<s>,1\",6,2,0,0,0\n"), std::string::npos);
  std::string page = text("page.html");
  EXPECT_NE(page.find("&lt;s&gt;,1"), std::string::npos);
  EXPECT_EQ(page.find("<s>"), std::string::npos);
  for (const char* outside : {"http", "src=", "<script", "url("})
    EXPECT_EQ(page.find(outside), std::string::npos) << outside;
  for (auto break_option :
       {+[](Options&o, const fs::path&f) { o.events = (f / "bad.csv").string(); },
        +[](Options&o, const fs::path&f) { o.csv = (f / "no" / "x").string(); },
        +[](Options&o, const fs::path&f) { o.paths = {(f / "gone").string()}; }}) {
    Options bad = options;
    break_option(bad, directory);
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    EXPECT_EQ(run(bad), 1);
    testing::internal::GetCapturedStdout();
    EXPECT_EQ(testing::internal::GetCapturedStderr().substr(0, 18), "wheeldeal account:");
  }
}

}  // namespace
}  // namespace wheeldeal::account
