#include "fulmarquay/control/CrashAnalysis.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Two crashes may coincide with a part by chance, for example when one request
/// is sent again. A part of a prompt must crash workers under different ones.
constexpr int kMinCrashes = 3;
constexpr std::size_t kMinRequests = 2;
/// If several shared parts have the same evidence, one more crash may separate
/// them. Whole requests don't wait for it: blocking one affects no other.
constexpr int kMinCrashesIfTied = 4;
/// From here on entries are asked about a part.
constexpr int kMinCrashesForQuery = 2;
/// Time for the answers of entries and for running prompts to get an event.
constexpr Duration kAnswerTime(200'000);
/// Entries observe one crash within this time; a restart takes longer.
constexpr Duration kSameCrashTime(1'000'000);
/// Prompts with a part may be rare.
constexpr Duration kCrashMemory(600'000'000);
/// These bound the work of an evaluation.
constexpr std::size_t kMaxCrashes = 500;
constexpr std::size_t kMaxStartsPerCrash = 40;
constexpr std::size_t kMaxQueriedParts = 64;
/// If more workers end within this time, for example with their VMs or a link,
/// the prompts that had not begun say nothing about the cause.
constexpr Duration kCoincidenceTime(200'000);
constexpr int kMaxCoincidentCrashes = 3;

} // namespace

CrashAnalysis::Crash&
CrashAnalysis::FindOrAdd(const std::string& aWorker, TimePoint aAt)
{
  const auto known =
    std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aEach) {
      return aEach.m_worker == aWorker && aAt < aEach.m_at + kSameCrashTime &&
             aEach.m_at < aAt + kSameCrashTime;
    });
  if (known != m_crashes.end()) {
    return *known;
  }
  m_crashes.push_back({ aAt, aWorker, false, {} });
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.pop_front();
  }
  return m_crashes.back();
}

void
CrashAnalysis::OnReport(TimePoint aNow, const PartReport& aReport)
{
  Expire(aNow);
  for (const SoundPart& sound : aReport.m_sound) {
    TimePoint& known = m_soundAt[sound.m_part];
    known = std::max(known, aNow - Duration(sound.m_ageUs));
  }
  for (const FailedStart& failure : aReport.m_failures) {
    Crash& crash =
      FindOrAdd(failure.m_worker, aNow - Duration(failure.m_ageUs));
    if (failure.m_hasHead && !crash.m_hasHead) {
      crash.m_hasHead = true;
      crash.m_starts.clear();
    }
    const bool isSuspect = failure.m_hasHead == crash.m_hasHead &&
                           crash.m_starts.size() < kMaxStartsPerCrash;
    if (isSuspect &&
        crash.m_starts.try_emplace(failure.m_request, failure.m_parts).second) {
      m_hasNewCrash = true;
    }
  }
}

void
CrashAnalysis::Expire(TimePoint aNow)
{
  std::erase_if(m_crashes, [&](const Crash& aEach) {
    return aNow >= aEach.m_at + kCrashMemory;
  });
  std::erase_if(m_soundAt, [&](const auto& aEach) {
    return aNow >= aEach.second + kCrashMemory;
  });
}

CrashAnalysis::Suspects
CrashAnalysis::SuspectsOf(const Crash& aCrash,
                          const std::set<RequestPartId>& aBlocked) const
{
  const auto isBlocked = [&](RequestPartId aPart) {
    return aBlocked.count(aPart) != 0;
  };
  const auto& starts = aCrash.m_starts;
  const bool isExplained =
    std::any_of(starts.begin(), starts.end(), [&](const auto& aEach) {
      return isBlocked(RequestPartId(aEach.first));
    });
  const bool ignoresPrompts = !aCrash.m_hasHead && IsCoincident(aCrash);
  Suspects suspects;
  for (const auto& [request, parts] : starts) {
    for (const RequestPartId part : parts) {
      const bool isWhole = part.Value() == request;
      if (!isWhole && isBlocked(part)) {
        return {};
      }
      // A blocked request explains the crash, but a part of its prompt may be
      // the cause that other prompts have too.
      const bool isSuspect =
        isWhole ? !isBlocked(part)
                : !ignoresPrompts &&
                    (!isExplained || isBlocked(RequestPartId(request)));
      const auto sound = m_soundAt.find(part);
      const bool isSound =
        sound != m_soundAt.end() && sound->second >= aCrash.m_at;
      if (isSuspect && !isSound) {
        Suspicion& suspicion = suspects[part];
        suspicion.m_requests.insert(request);
        (isWhole && isExplained ? suspicion.m_explained : suspicion.m_crashes) =
          1;
      }
    }
  }
  return suspects;
}

CrashAnalysis::Suspects
CrashAnalysis::Evaluate(const std::set<RequestPartId>& aBlocked) const
{
  Suspects evidence;
  for (const Crash& crash : m_crashes) {
    for (const auto& [part, suspicion] : SuspectsOf(crash, aBlocked)) {
      Suspicion& against = evidence[part];
      against.m_crashes += suspicion.m_crashes;
      against.m_explained += suspicion.m_explained;
      against.m_requests.insert(suspicion.m_requests.begin(),
                                suspicion.m_requests.end());
    }
  }
  for (auto& [part, against] : evidence) {
    // Several requests may crash workers at a time: one that a worker crashed
    // under without a blocked one is suspected of the other crashes too.
    if (against.m_crashes > 0) {
      against.m_crashes += against.m_explained;
    }
  }
  return evidence;
}

bool
CrashAnalysis::IsCoincident(const Crash& aCrash) const
{
  return std::count_if(
           m_crashes.begin(), m_crashes.end(), [&](const Crash& aEach) {
             return aCrash.m_at < aEach.m_at + kCoincidenceTime &&
                    aEach.m_at < aCrash.m_at + kCoincidenceTime;
           }) > kMaxCoincidentCrashes;
}

std::vector<RequestPartId>
CrashAnalysis::TakeQuery(TimePoint aNow,
                         const std::set<RequestPartId>& aBlocked)
{
  if (!m_hasNewCrash || m_answersBy) {
    return {};
  }
  m_hasNewCrash = false;
  std::vector<std::pair<int, RequestPartId>> suspected; // by crashes
  for (const auto& [part, against] : Evaluate(aBlocked)) {
    if (against.m_crashes >= kMinCrashesForQuery ||
        m_onProbation.count(part) != 0) {
      suspected.emplace_back(against.m_crashes, part);
    }
  }
  if (suspected.empty()) {
    return {};
  }
  m_answersBy = aNow + kAnswerTime;
  std::sort(suspected.rbegin(), suspected.rend());
  suspected.resize(std::min(suspected.size(), kMaxQueriedParts));
  std::vector<RequestPartId> parts;
  parts.reserve(suspected.size());
  for (const auto& [crashes, part] : suspected) {
    parts.push_back(part);
  }
  return parts;
}

bool
CrashAnalysis::IsSufficient(RequestPartId aPart,
                            const Suspicion& aEvidence) const
{
  const bool isWhole = aEvidence.IsWholeRequest(aPart);
  return m_onProbation.count(aPart) != 0 ||
         (aEvidence.m_crashes >= kMinCrashes &&
          (isWhole || aEvidence.m_requests.size() >= kMinRequests));
}

std::vector<RequestPartId>
CrashAnalysis::TakeFound(TimePoint aNow,
                         const std::set<RequestPartId>& aBlocked)
{
  std::vector<RequestPartId> found;
  if (!m_answersBy || aNow < *m_answersBy) {
    return found;
  }
  m_answersBy.reset();
  std::set<RequestPartId> blocked = aBlocked;
  for (;;) {
    const std::vector<RequestPartId> next = FindWorst(blocked);
    if (next.empty()) {
      return found;
    }
    for (const RequestPartId part : next) {
      m_onProbation.erase(part);
      blocked.insert(part);
      found.push_back(part);
    }
  }
}

std::vector<RequestPartId>
CrashAnalysis::FindWorst(const std::set<RequestPartId>& aBlocked) const
{
  std::vector<RequestPartId> worst;
  int mostCrashes = 0;
  bool hasSharedPart = false;
  for (const auto& [part, against] : Evaluate(aBlocked)) {
    if (!IsSufficient(part, against) || against.m_crashes < mostCrashes) {
      continue;
    }
    if (against.m_crashes > mostCrashes) {
      mostCrashes = against.m_crashes;
      worst.clear();
      hasSharedPart = false;
    }
    worst.push_back(part);
    hasSharedPart = hasSharedPart || !against.IsWholeRequest(part);
  }
  // Of those with equal evidence, the ones that were answered before the
  // crashes are less likely to be the cause.
  const auto firstAnswered =
    std::stable_partition(worst.begin(), worst.end(), [&](RequestPartId aEach) {
      return m_soundAt.count(aEach) == 0;
    });
  if (firstAnswered != worst.begin()) {
    worst.erase(firstAnswered, worst.end());
  }
  const bool isTied =
    hasSharedPart && worst.size() > 1 && mostCrashes < kMinCrashesIfTied;
  return isTied ? std::vector<RequestPartId>() : worst;
}

std::optional<TimePoint>
CrashAnalysis::SoundAt(RequestPartId aPart) const
{
  const auto found = m_soundAt.find(aPart);
  return found == m_soundAt.end() ? std::nullopt
                                  : std::optional<TimePoint>(found->second);
}

} // namespace fulmarquay
