#include "store/tool.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>

#include "store/journal.hpp"

namespace wheeldeal::store {
namespace {

// A directory is read in full whatever the limits of its router are.
constexpr Limits kReadLimits{.disk_bytes = std::size_t{1} << 30};

int report_error(const std::string& directory, Error error) {
  std::fprintf(stderr, "%s: %s\n", directory.c_str(), name_of(error));
  return 2;
}

/// Keys may contain any bytes; those that are not printable ASCII become \xHH.
std::string escape(std::string_view text) {
  std::string out;
  for (unsigned char c : text) {
    char code[8];
    bool plain = c >= 0x20 && c < 0x7f && c != '\\';
    std::snprintf(code, sizeof code, plain ? "%c" : "\\x%02x", c);
    out += code;
  }
  return out;
}

int print_summary(const std::string& directory, const Journal::Contents& all) {
  std::size_t unverified = 0;
  for (const auto& [key, entry] : all.entries) unverified += entry.unverified;
  std::printf(
      "%s: %zu entries (%zu doubted), last change %llu, %zu files of %zu bytes, %zu damaged "
      "places, %zu trailing bytes ignored\n",
      directory.c_str(), all.entries.size(), unverified, static_cast<unsigned long long>(all.last),
      all.files, all.bytes, all.damaged_places, all.trailing_bytes);
  return all.damaged_places > 0 ? 1 : 0;
}

Error inspect(const std::string& directory, Journal::Contents& all) {
  // Reading must not create the directory.
  if (!std::filesystem::is_directory(directory)) return Error::NotFound;
  return Journal(real_file_system(directory), kReadLimits).inspect(all);
}

}  // namespace

int dump(const std::string& directory) {
  Journal::Contents all;
  if (Error f = inspect(directory, all); f != Error::None) return report_error(directory, f);
  for (const auto& [key, entry] : all.entries) {
    char until[32] = "never";
    auto seconds = static_cast<std::time_t>(entry.expires / 1'000'000);
    std::tm utc{};
    if (entry.expires > 0)
      std::strftime(until, sizeof until, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&seconds, &utc));
    std::printf("%llu %s %s%s %s\n", static_cast<unsigned long long>(entry.sequence),
                escape(key).c_str(), until, entry.unverified ? " doubted" : "",
                escape(entry.value).c_str());
  }
  return print_summary(directory, all);
}

int check(const std::string& directory) {
  Journal::Contents all;
  if (Error f = inspect(directory, all); f != Error::None) return report_error(directory, f);
  return print_summary(directory, all);
}

int compact(const std::string& directory) {
  if (!std::filesystem::is_directory(directory)) return report_error(directory, Error::NotFound);
  Journal journal(real_file_system(directory), kReadLimits);
  Journal::Contents all;
  if (Error f = journal.open(all); f != Error::None) return report_error(directory, f);
  using namespace std::chrono;
  auto now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
  if (Error f = journal.compact(static_cast<std::uint64_t>(now)); f != Error::None)
    return report_error(directory, f);
  return check(directory);
}

}  // namespace wheeldeal::store
