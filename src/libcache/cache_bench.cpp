// Measures directory lookups, restore plans and prefix keys at several sizes.
// Prints one JSON line per measurement.
#include "fulmarquay/cache/BlockDirectory.h"
#include "fulmarquay/cache/RestorePlanner.h"
#include "fulmarquay/core/Clock.h"
#include "fulmarquay/core/ProcessMemory.h"

#include <cstdio>
#include <random>
#include <string>

using namespace fulmarquay;

namespace {

template<typename Step>
double
NanosecondsPerStep(int aSteps, const Step& aStep)
{
  const TimePoint start = MonotonicNow();
  for (int i = 0; i < aSteps; ++i) {
    aStep(i);
  }
  const Duration time = MonotonicNow() - start;
  return static_cast<double>(time.count()) * 1000 / aSteps;
}

void
MeasureDirectory(std::size_t aBlocks)
{
  constexpr std::size_t kChainBlocks = 4;
  DirectoryLimits limits;
  limits.m_blocks = aBlocks * 2;
  const std::int64_t before = ResidentMemory().Count();
  BlockDirectory directory(limits, 1);
  directory.SetCapacity(StoreId("s1"), Bytes(INT64_MAX / 2));
  std::mt19937_64 random(1);
  std::vector<BlockKey> keys;
  const TimePoint now = MonotonicNow();
  for (std::size_t i = 0; i < aBlocks; ++i) {
    keys.emplace_back(random(), random());
    const auto grant = directory.Reserve(
      now, AccountId("village"), "w1", keys.back(), StoreId("s1"), Bytes(1));
    directory.Seal(keys.back(),
                   { StoreId("s1"), grant->m_generation, 131072, 7 });
    directory.SetEngineHint(EngineId("g1"), keys.back(), true);
  }
  const auto used = static_cast<long>(ResidentMemory().Count() - before);
  const double lookup = NanosecondsPerStep(100'000, [&](int) {
    const std::size_t first = random() % (aBlocks - kChainBlocks);
    const std::vector<BlockKey> chain(
      keys.begin() + static_cast<std::ptrdiff_t>(first),
      keys.begin() + static_cast<std::ptrdiff_t>(first + kChainBlocks));
    directory.Unpin(
      directory.Lookup(now, AccountId("village"), "w1", chain).m_pin);
  });
  std::printf("{\"bench\":\"directory\",\"blocks\":%zu,\"bytes_per_block\":%ld,"
              "\"lookup_of_4_ns\":%.0f}\n",
              aBlocks,
              used / static_cast<long>(aBlocks),
              lookup);
}

void
MeasurePlanner(std::size_t aEngines, std::size_t aPieces)
{
  RestoreInput input;
  input.m_pieceTokens = Tokens(2048);
  input.m_promptTokens =
    Tokens(2048 * static_cast<std::int64_t>(aPieces) + 200);
  input.m_copyBytes.assign(aPieces, 131072);
  input.m_link.m_bytesPerSecond = 64 << 20;
  for (std::size_t i = 0; i < aEngines; ++i) {
    EngineCandidate engine;
    engine.m_queueDelay = Duration(static_cast<std::int64_t>(i) * 1000);
    engine.m_prefillPerSecond = 20'000;
    input.m_engines.push_back(engine);
  }
  const CostPolicy policy;
  double costSum = 0;
  const double nanos = NanosecondsPerStep(
    20'000, [&](int) { costSum += policy.Choose(input).m_cost; });
  std::printf("{\"bench\":\"plan\",\"candidates\":%zu,\"pieces\":%zu,"
              "\"ns\":%.0f,\"sum\":%.0f}\n",
              aEngines,
              aPieces,
              nanos,
              costSum);
}

void
MeasurePrefixKeys(std::size_t aTokens)
{
  const std::string prompt(aTokens * kBytesPerToken, 'x');
  std::size_t count = 0;
  const double nanos = NanosecondsPerStep(2'000, [&](int) {
    count +=
      PrefixKeys({ AccountId("village"), "w1", "" }, prompt, 8192).size();
  });
  std::printf("{\"bench\":\"prefix_keys\",\"tokens\":%zu,\"ns\":%.0f,"
              "\"keys\":%zu}\n",
              aTokens,
              nanos,
              count / 2000);
}

} // namespace

int
main()
{
  for (const std::size_t blocks : { 10'000U, 100'000U, 1'000'000U }) {
    MeasureDirectory(blocks);
  }
  for (const std::size_t engines : { 3U, 10U, 100U, 600U }) {
    MeasurePlanner(engines, 8);
  }
  for (const std::size_t tokens : { 2048U, 8192U, 32768U }) {
    MeasurePrefixKeys(tokens);
  }
  return 0;
}
