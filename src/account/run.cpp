#include "run.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>

#include "report.hpp"

namespace wheeldeal::account {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kReadBytes = 1 << 20;
constexpr std::size_t kMaxLineBytes = 4 << 20;  // longer lines are skipped

/// Calls `each` for every line of the file, including a last line without line end, which a router
/// killed while writing leaves. Skips lines over kMaxLineBytes. Throws std::runtime_error.
void read_lines(const fs::path& path, const std::function<void(std::string_view)>& each) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error(path.string() + ": " + std::strerror(errno));
  std::string partial_line, chunk(kReadBytes, '\0');
  bool skipping = false;
  while (file.read(chunk.data(), kReadBytes) || file.gcount() > 0) {
    std::string_view in(chunk.data(), static_cast<std::size_t>(file.gcount()));
    for (std::size_t end; (end = in.find('\n')) != in.npos; in.remove_prefix(end + 1)) {
      std::string_view line = in.substr(0, end);
      if (!partial_line.empty()) line = partial_line.append(line);
      if (!std::exchange(skipping, false)) each(line);
      partial_line.clear();
    }
    if (!skipping) partial_line.append(in);
    if (partial_line.size() > kMaxLineBytes) partial_line.clear(), skipping = true;
  }
  if (file.bad()) throw std::runtime_error(path.string() + ": " + std::strerror(errno));
  if (!partial_line.empty()) each(partial_line);
}

std::vector<fs::path> find_logs(const std::vector<std::string>& paths) {
  std::vector<fs::path> logs;
  for (const std::string& path : paths) {
    if (!fs::is_directory(path)) {
      logs.emplace_back(path);
      continue;
    }
    for (const auto& entry : fs::directory_iterator(path))
      if (entry.is_regular_file() && entry.path().extension() == ".log")
        logs.push_back(entry.path());
  }
  std::sort(logs.begin(), logs.end());
  if (logs.empty()) throw std::runtime_error("no *.log file found");
  return logs;
}

void read_events(const std::string& path, LogSummary& summary) {
  std::size_t number = 0;
  read_lines(path, [&](std::string_view line) {
    ++number;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty() || line.front() == '#' || (number == 1 && line.starts_with("seconds"))) return;
    std::size_t first = line.find(','), last = line.rfind(',');
    double at = 0;
    bool good = first != line.npos && last > first;
    if (good) {
      auto [end, error] = std::from_chars(line.data(), line.data() + first, at);
      good = error == std::errc() && end == line.data() + first;
    }
    std::string_view what = good ? line.substr(last + 1) : "";
    if (what != "down" && what != "up")
      throw std::runtime_error(path + ", line " + std::to_string(number) +
                               ": not 'seconds,server,down' or 'seconds,server,up'");
    summary.add_known_event(at, std::string(line.substr(first + 1, last - first - 1)),
                            what == "down");
  });
}

void write_file(const std::string& path, const std::function<void(std::ostream&)>& write) {
  if (path.empty()) return;
  std::ofstream file(path, std::ios::binary);
  if (file) write(file);
  file.close();
  if (!file) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace

int run(const Options& options) try {
  LogSummary summary;
  for (const fs::path& log : find_logs(options.paths)) {
    summary.set_router(log.string());
    read_lines(log, [&](std::string_view line) { summary.add_line(line); });
  }
  if (!options.events.empty()) read_events(options.events, summary);
  write_table(summary, std::cout, options.rows);
  write_file(options.csv, [&](std::ostream& out) { write_csv(summary, out); });
  write_file(options.servers_csv, [&](std::ostream& out) { write_servers_csv(summary, out); });
  write_file(options.html, [&](std::ostream& out) { write_html(summary, out); });
  return std::cout.flush() ? 0 : 1;
} catch (const std::exception& e) {
  std::cerr << "wheeldeal account: " << e.what() << '\n';
  return 1;
}

}  // namespace wheeldeal::account
