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

int refuse(const std::string& folder, Fault fault) {
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

int verdict(const std::string& folder, const Journal::Opened& all) {
  std::size_t doubted = 0;
  for (const auto& [key, entry] : all.entries) doubted += entry.doubted;
  std::printf(
      "%s: %zu entries (%zu doubted), last change %llu, %zu files of %zu bytes, %zu places "
      "damaged, %zu bytes cut\n",
      folder.c_str(), all.entries.size(), doubted, static_cast<unsigned long long>(all.last),
      all.files, all.bytes, all.damaged, all.cut);
  return all.damaged > 0 ? 1 : 0;
}

Fault look(const std::string& folder, Journal::Opened& all) {
  // Looking makes no folder.
  if (!std::filesystem::is_directory(folder)) return Fault::Missing;
  return Journal(real_folder(folder), kAny).look(all);
}

}  // namespace

int dump(const std::string& folder) {
  Journal::Opened all;
  if (Fault f = look(folder, all); f != Fault::None) return refuse(folder, f);
  for (const auto& [key, entry] : all.entries) {
    char until[32] = "never";
    auto seconds = static_cast<std::time_t>(entry.expires / 1'000'000);
    std::tm utc{};
    if (entry.expires > 0)
      std::strftime(until, sizeof until, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&seconds, &utc));
    std::printf("%llu %s %s%s %s\n", static_cast<unsigned long long>(entry.sequence),
                shown(key).c_str(), until, entry.doubted ? " doubted" : "",
                shown(entry.value).c_str());
  }
  return verdict(folder, all);
}

int check(const std::string& folder) {
  Journal::Opened all;
  if (Fault f = look(folder, all); f != Fault::None) return refuse(folder, f);
  return verdict(folder, all);
}

int compact(const std::string& folder) {
  if (!std::filesystem::is_directory(folder)) return refuse(folder, Fault::Missing);
  Journal journal(real_folder(folder), kAny);
  Journal::Opened all;
  if (Fault f = journal.open(all); f != Fault::None) return refuse(folder, f);
  using namespace std::chrono;
  auto now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
  if (Fault f = journal.compact(static_cast<std::uint64_t>(now)); f != Fault::None)
    return refuse(folder, f);
  return check(folder);
}

}  // namespace wheeldeal::store
