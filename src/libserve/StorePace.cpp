#include "fulmarquay/serve/StorePace.h"

#include <algorithm>
#include <vector>

namespace fulmarquay {

namespace {

/// A first event is late when it comes this many times later than the best
/// quarter of the recent ones, and this much more.
constexpr double kLateFactor = 3;
constexpr double kLateMicroseconds = 150'000;
constexpr std::size_t kBestPart = 4;
/// Weight of a new event in the share of late ones: some four events count.
constexpr double kWeight = 0.25;
/// The same for requests that did not fetch from a store; there are more.
constexpr double kOthersWeight = 0.1;
/// Where so many times fewer of those are late, it is the store's doing.
constexpr double kMostAboveOthers = 2;
// The trusted speed shrinks while most events are late, and grows back while
// few are. The least speed keeps events coming in.
constexpr double kMostLate = 0.5;
constexpr double kFewLate = 0.3;
constexpr double kShrink = 0.7;
constexpr double kGrow = 1.25;
constexpr double kLeastSpeed = 0.15;
/// Waiting longer than this costs more than reading the part.
constexpr double kMostBacklogUs = 1'000'000;

} // namespace

double
StorePace::Usual() const
{
  std::vector<std::int64_t> recent(
    m_recent.begin(), m_recent.begin() + static_cast<std::ptrdiff_t>(m_count));
  const std::size_t place = recent.size() / kBestPart;
  std::nth_element(recent.begin(),
                   recent.begin() + static_cast<std::ptrdiff_t>(place),
                   recent.end());
  return static_cast<double>(recent[place]);
}

void
StorePace::OnFirstEvent(Duration aTime, const std::set<std::string>& aStores)
{
  m_recent[m_next] = aTime.count();
  m_next = (m_next + 1) % kRecent;
  m_count = std::min(kRecent, m_count + 1);
  const double usual = Usual();
  const auto time = static_cast<double>(aTime.count());
  const bool isLate =
    time > usual * kLateFactor && time > usual + kLateMicroseconds;
  const double event = isLate ? 1 : 0;
  for (auto& [store, pace] : m_paces) {
    if (aStores.count(store) == 0) {
      pace.m_othersLateness += kOthersWeight * (event - pace.m_othersLateness);
    }
  }
  for (const std::string& store : aStores) {
    Pace& pace = m_paces[store];
    pace.m_lateness += kWeight * (event - pace.m_lateness);
    const double most =
      std::max(kMostLate, kMostAboveOthers * pace.m_othersLateness);
    if (pace.m_lateness > most) {
      pace.m_speed = std::max(kLeastSpeed, pace.m_speed * kShrink);
    } else if (pace.m_lateness < std::max(kFewLate, pace.m_othersLateness)) {
      pace.m_speed = std::min(1.0, pace.m_speed * kGrow);
    }
  }
}

bool
StorePace::Take(TimePoint aNow,
                const std::string& aStore,
                Duration aTime,
                std::uint32_t aEntries)
{
  Pace& pace = m_paces[aStore];
  const auto passed = static_cast<double>((aNow - pace.m_counted).count());
  pace.m_backlogUs = std::max(0.0, pace.m_backlogUs - passed);
  pace.m_counted = aNow;
  const double cost =
    static_cast<double>(aTime.count()) * aEntries / pace.m_speed;
  // A transfer that is long by itself may start on an idle link.
  const bool isFree =
    pace.m_backlogUs + std::min(cost, kMostBacklogUs) <= kMostBacklogUs;
  if (isFree) {
    pace.m_backlogUs += cost;
  }
  return isFree;
}

double
StorePace::SpeedOf(const std::string& aStore) const
{
  const auto place = m_paces.find(aStore);
  return place == m_paces.end() ? 1 : place->second.m_speed;
}

} // namespace fulmarquay
