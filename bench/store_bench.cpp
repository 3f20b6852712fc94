// Durable puts a second: the store beside bare fdatasync, a plain log with one sync a record, and
// itself without group commit, in one run and with the same payloads. And what a start takes.
//   store_bench FOLDER [--puts N] [--batch N] [--value BYTES]
#include <fcntl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "io/io.hpp"
#include "store/store.hpp"

namespace {

using namespace wheeldeal::store;
using arrowfork::Fd;

double seconds_of(const std::function<void()>& work) {
  auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

Fd fresh(const std::string& path) {
  return Fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
}

void must(Error error) {
  if (error == Error::None) return;
  std::fprintf(stderr, "store_bench: %s\n", name_of(error));
  std::exit(1);
}

void must(bool good) {
  if (!good) must(Error::Io);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("durable puts a second, as ratios to bare fdatasync");
  std::string folder;
  int puts = 2000, batch = 64;
  std::size_t size = 200;
  app.add_option("folder", folder, "on the disk that is measured")->required();
  app.add_option("--puts", puts, "of each kind")->check(CLI::Range(1, 10'000'000));
  app.add_option("--batch", batch, "puts that come while the disk is at work")
      ->check(CLI::Range(1, 100'000));
  app.add_option("--value", size, "bytes")->check(CLI::Range(1, 100'000));
  CLI11_PARSE(app, argc, argv);
  std::filesystem::create_directories(folder);
  const std::string value(size, 'v'), key = "key";
  auto report = [&, floor = 0.0](const char* name, double s, double count) mutable {
    double rate = count / s;
    if (floor == 0) floor = rate;
    std::printf("%-42s %10.0f a second  %8.2f of bare fdatasync\n", name, rate, rate / floor);
  };
  report("bare fdatasync, the same bytes", seconds_of([&] {
           Fd fd = fresh(folder + "/bare");
           for (int k = 0; k < puts; ++k) {
             must(::write(fd.get(), value.data(), size) == static_cast<ssize_t>(size));
             must(::fdatasync(fd.get()) == 0);
           }
         }),
         puts);
  report("a plain log, one sync a record", seconds_of([&] {
           Fd fd = fresh(folder + "/plain");
           for (int k = 0; k < puts; ++k) {
             std::string record;
             append(record,
                    {.sequence = static_cast<std::uint64_t>(k + 1), .key = key, .value = value});
             must(::write(fd.get(), record.data(), record.size()) ==
                  static_cast<ssize_t>(record.size()));
             must(::fdatasync(fd.get()) == 0);
           }
         }),
         puts);
  Limits limits{.segment_bytes = 8u << 20, .disk_bytes = 256u << 20, .memory_bytes = 64u << 20};
  for (int group : {1, batch}) {
    std::string at = folder + "/store" + std::to_string(group);
    std::filesystem::remove_all(at);
    Journal journal(real_file_system(at), limits);
    Journal::Contents opened;
    must(journal.open(opened));
    Store store(limits);
    store.load(std::move(opened));
    int many = puts * group;
    double s = seconds_of([&] {
      for (int k = 0; k < many; ++k) {
        Store::Sequence token = 0;
        must(store.put("key" + std::to_string(k % 1000), value, 0, token));
        if (k % group != group - 1) continue;
        Store::Batch b = store.batch();
        must(journal.commit(b.records, b.first, b.last));
        store.mark_durable(b.last);
        if (journal.wants_compaction()) must(journal.compact(0));
      }
    });
    report(group == 1 ? "the store, one put a commit" : "the store, puts a commit as --batch", s,
           many);
    double again = seconds_of([&] {
      Journal next(real_file_system(at), limits);
      Journal::Contents found;
      must(next.inspect(found));
      std::printf("%42s %10zu bytes read, %zu entries\n", "", found.bytes, found.entries.size());
    });
    std::printf("%42s %10.1f ms to read them at a start\n", "", again * 1e3);
  }
  return 0;
}
