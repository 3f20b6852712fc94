#include "store/tool.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>

#include "store/journal.hpp"

namespace wheeldeal::store {
namespace {

// A folder is read whole whatever bound its router has.
constexpr Limits kAny{.disk_bytes = std::size_t{1} << 30};

int refuse(const std::string& folder, Error fault) {
  std::fprintf(stderr, "%s: %s\n", folder.c_str(), name_of(fault));
  return 2;
}

/// Keys may hold any bytes; what is not plain text is shown as \xHH.
std::string shown(std::string_view text) {
  std::string out;
  for (unsigned char c : text) {
    char code[8];
    bool plain = c >= 0x20 && c < 0x7f && c != '\\';
    std::snprintf(code, sizeof code, plain ? "%c" : "\\x%02x", c);
    out += code;
  }
  return out;
}

int verdict(const std::string& folder, const Journal::Contents& all) {
  std::size_t unverified = 0;
  for (const auto& [key, entry] : all.entries) unverified += entry.unverified;
  std::printf(
      "%s: %zu entries (%zu doubted), last change %llu, %zu files of %zu bytes, %zu places "
      "damaged, %zu bytes cut\n",
      folder.c_str(), all.entries.size(), unverified, static_cast<unsigned long long>(all.last),
      all.files, all.bytes, all.damaged_places, all.trailing_bytes);
  return all.damaged_places > 0 ? 1 : 0;
}

Error inspect(const std::string& folder, Journal::Contents& all) {
  // Looking makes no folder.
  if (!std::filesystem::is_directory(folder)) return Error::NotFound;
  return Journal(real_file_system(folder), kAny).inspect(all);
}

}  // namespace

int dump(const std::string& folder) {
  Journal::Contents all;
  if (Error f = inspect(folder, all); f != Error::None) return refuse(folder, f);
  for (const auto& [key, entry] : all.entries) {
    char until[32] = "never";
    auto seconds = static_cast<std::time_t>(entry.expires / 1'000'000);
    std::tm utc{};
    if (entry.expires > 0)
      std::strftime(until, sizeof until, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&seconds, &utc));
    std::printf("%llu %s %s%s %s\n", static_cast<unsigned long long>(entry.sequence),
                shown(key).c_str(), until, entry.unverified ? " doubted" : "",
                shown(entry.value).c_str());
  }
  return verdict(folder, all);
}

int check(const std::string& folder) {
  Journal::Contents all;
  if (Error f = inspect(folder, all); f != Error::None) return refuse(folder, f);
  return verdict(folder, all);
}

int compact(const std::string& folder) {
  if (!std::filesystem::is_directory(folder)) return refuse(folder, Error::NotFound);
  Journal journal(real_file_system(folder), kAny);
  Journal::Contents all;
  if (Error f = journal.open(all); f != Error::None) return refuse(folder, f);
  using namespace std::chrono;
  auto now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
  if (Error f = journal.compact(static_cast<std::uint64_t>(now)); f != Error::None)
    return refuse(folder, f);
  return check(folder);
}

}  // namespace wheeldeal::store
