#include "fulmarquay/serve/StorePace.h"

#include "fulmarquay/core/Digest.h"

#include <algorithm>
#include <limits>

namespace fulmarquay {

namespace {

/// Weight of a new time in the moving averages: some ten requests count.
constexpr double kWeight = 0.1;
/// A store is slow when its first events come later than this many times the
/// usual ones, and this much more: the usual spread is below both.
constexpr double kSlowFactor = 2;
constexpr double kSlowMicroseconds = 80'000;
/// A slow store's share shrinks by the factor, at most once in the interval,
/// in which the requests of the smaller share show; each request in time
/// gives a step back. The least share keeps the times coming in.
constexpr double kShrink = 0.6;
constexpr Duration kShrinkInterval(150'000);
constexpr double kGrow = 0.01;
constexpr double kLeastShare = 0.05;
/// Averages that got nothing new for this long say nothing.
constexpr Duration kPaceLife(3'000'000);
constexpr std::uint64_t kDrawRange = 1'000;

} // namespace

void
StorePace::Note(Pace& aPace, TimePoint aNow, double aMicroseconds)
{
  const bool isOld = aNow >= aPace.m_seen + kPaceLife;
  aPace.m_microseconds =
    isOld
      ? aMicroseconds
      : aPace.m_microseconds + kWeight * (aMicroseconds - aPace.m_microseconds);
  aPace.m_seen = aNow;
}

double
StorePace::Usual(TimePoint aNow, const std::string& aStore) const
{
  double usual = std::numeric_limits<double>::max();
  for (const auto& [store, pace] : m_paces) {
    const bool isFresh = aNow < pace.m_seen + kPaceLife;
    if (store != aStore && isFresh) {
      usual = std::min(usual, pace.m_microseconds);
    }
  }
  return usual;
}

void
StorePace::OnFirstEvent(TimePoint aNow,
                        Duration aTime,
                        const std::set<std::string>& aStores)
{
  const auto time = static_cast<double>(aTime.count());
  if (aStores.empty()) {
    Note(m_paces[""], aNow, time);
    return;
  }
  for (const std::string& store : aStores) {
    Pace& pace = m_paces[store];
    Note(pace, aNow, time);
    const double usual = Usual(aNow, store);
    const bool isKnown = usual < std::numeric_limits<double>::max();
    const bool isSlow = isKnown && pace.m_microseconds > usual * kSlowFactor &&
                        pace.m_microseconds > usual + kSlowMicroseconds;
    if (!isSlow) {
      pace.m_share = std::min(1.0, pace.m_share + kGrow);
    } else if (aNow >= pace.m_shrunk + kShrinkInterval) {
      pace.m_share = std::max(kLeastShare, pace.m_share * kShrink);
      pace.m_shrunk = aNow;
    }
  }
}

double
StorePace::ShareOf(const std::string& aStore) const
{
  const auto place = m_paces.find(aStore);
  return place == m_paces.end() ? 1 : place->second.m_share;
}

bool
StorePace::MayFetch(TimePoint aNow,
                    const std::string& aStore,
                    std::uint64_t aPart)
{
  const auto place = m_paces.find(aStore);
  if (place == m_paces.end() || place->second.m_share >= 1) {
    return true;
  }
  if (aNow >= place->second.m_seen + kPaceLife) {
    place->second.m_share = std::max(place->second.m_share, kShrink);
  }
  const std::uint64_t draw = Checksum64(aStore, aPart + ++m_draws) % kDrawRange;
  return static_cast<double>(draw) <
         place->second.m_share * static_cast<double>(kDrawRange);
}

} // namespace fulmarquay
