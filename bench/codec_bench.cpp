// What the codecs cost: time and allocations a command, each protocol in each direction, and a
// memcpy of the same bytes as the floor.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <new>

#include "protocol/binary.hpp"
#include "protocol/meta.hpp"

namespace {
std::atomic<std::uint64_t> allocations{0};
}

void* operator new(std::size_t size) {
  ++allocations;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

using namespace arrowfork;

constexpr int kBatch = 64;

/// Reads a batch of `bytes` again and again; figures a command.
template <typename Take>
void read_batches(benchmark::State& state, const std::string& one, Take take) {
  std::string bytes;
  for (int k = 0; k < kBatch; ++k) bytes += one;
  std::uint64_t before = allocations;
  for (auto _ : state) {
    std::string_view in = bytes;
    int taken = 0;
    while (!in.empty()) taken += take(in);
    if (taken != kBatch) state.SkipWithError("not all were read");
  }
  auto commands = static_cast<double>(state.iterations() * kBatch);
  state.SetItemsProcessed(state.iterations() * kBatch);
  state.counters["allocs"] = static_cast<double>(allocations - before) / commands;
  state.counters["time_each"] =
      benchmark::Counter(commands, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["bytes"] = static_cast<double>(one.size());
}

std::string value_of(benchmark::State& state) {
  return std::string(static_cast<std::size_t>(state.range(0)), 'v');
}

void MetaGet(benchmark::State& state) {
  CommandReader reader;
  Command c;
  read_batches(state, "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,t=acme,d=480\r\n",
               [&](std::string_view& in) {
                 return reader.parse(in, c) == CommandReader::ParseResult::Command;
               });
}
BENCHMARK(MetaGet);

void BinaryGet(benchmark::State& state) {
  binary::CommandReader reader;
  binary::Command c;
  read_batches(state, binary::request({binary::Opcode::Get, 1, 0, 0, 0, "7f3a9c21e0b4d655", ""}),
               [&](std::string_view& in) {
                 return reader.parse(in, c) == binary::CommandReader::ParseResult::Command;
               });
}
BENCHMARK(BinaryGet);

void MetaSet(benchmark::State& state) {
  CommandReader reader;
  Command c;
  std::string value = value_of(state);
  read_batches(state,
               "ms 7f3a9c21e0b4d655 " + std::to_string(value.size()) +
                   " O9b1f03aa5c7e2d41 Pc=put,t=acme,d=480,k=5c0f6e1a2b3d4c59\r\n" + value + "\r\n",
               [&](std::string_view& in) {
                 return reader.parse(in, c) == CommandReader::ParseResult::Command;
               });
}
BENCHMARK(MetaSet)->Arg(64)->Arg(4096);

void BinarySet(benchmark::State& state) {
  binary::CommandReader reader;
  binary::Command c;
  read_batches(
      state,
      binary::request({binary::Opcode::Set, 1, 0, 0, 0, "7f3a9c21e0b4d655", value_of(state)}),
      [&](std::string_view& in) {
        return reader.parse(in, c) == binary::CommandReader::ParseResult::Command;
      });
}
BENCHMARK(BinarySet)->Arg(64)->Arg(4096);

void MetaAnswer(benchmark::State& state) {
  const std::vector<robinseam::ReportField> fields;
  AnswerReader reader(&fields);
  Answer a;
  std::string value = value_of(state);
  read_batches(state,
               "VA " + std::to_string(value.size()) + " O9b1f03aa5c7e2d41 h1\r\n" + value + "\r\n",
               [&](std::string_view& in) {
                 return reader.parse(in, a) == AnswerReader::ParseResult::Answer;
               });
}
BENCHMARK(MetaAnswer)->Arg(64)->Arg(4096);

void BinaryAnswer(benchmark::State& state) {
  binary::AnswerReader reader;
  binary::Answer a;
  read_batches(state,
               binary::response(binary::Opcode::GetK, 0, 1, value_of(state), "7f3a9c21e0b4d655", 5),
               [&](std::string_view& in) {
                 return reader.parse(in, a) == binary::AnswerReader::ParseResult::Answer;
               });
}
BENCHMARK(BinaryAnswer)->Arg(64)->Arg(4096);

void BinaryWrite(benchmark::State& state) {
  binary::Command c{binary::Opcode::Set, 1, 0, 0, 0, "7f3a9c21e0b4d655", value_of(state)};
  std::uint64_t before = allocations;
  for (auto _ : state) benchmark::DoNotOptimize(binary::request(c));
  state.counters["allocs"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}
BENCHMARK(BinaryWrite)->Arg(64)->Arg(4096);

void CopyFloor(benchmark::State& state) {
  std::string from(static_cast<std::size_t>(state.range(0)), 'v'), to = from;
  for (auto _ : state) {
    std::memcpy(to.data(), from.data(), from.size());
    benchmark::DoNotOptimize(to.data());
    benchmark::ClobberMemory();
  }
}
BENCHMARK(CopyFloor)->Arg(64)->Arg(4096);

}  // namespace

BENCHMARK_MAIN();
