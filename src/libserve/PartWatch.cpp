#include "fulmarquay/serve/PartWatch.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

/// Prompts with a part may be rare, and leaders may change.
constexpr Duration kFailureMemory(60'000'000);
constexpr Duration kRepeatInterval(2'000'000);
/// Bounds a report to a few KB, while many workers crash too.
constexpr std::size_t kMaxFailures = 40;
/// The leader decides within this time after a query.
constexpr Duration kWatchTime(1'000'000);
constexpr Duration kSoundMemory(60'000'000);
constexpr Duration kExpiryInterval(5'000'000);
constexpr std::size_t kMaxSoundParts = 50'000;

} // namespace

RequestPartId
WholeRequestId(const RelayRequest& aRequest, const std::string& aAccount)
{
  // Each text hashes the previous ones, so that their borders count.
  std::uint64_t hash = Checksum64(aAccount);
  for (const std::string* text : { &aRequest.m_host,
                                   &aRequest.m_forwardRequest.m_method,
                                   &aRequest.m_forwardRequest.m_target,
                                   &aRequest.m_forwardRequest.m_body,
                                   &aRequest.m_model }) {
    hash = Checksum64(*text, hash);
  }
  for (const PromptPart& part : aRequest.m_parts) {
    hash = Checksum64(part.m_id, hash);
  }
  return RequestPartId(hash);
}

std::vector<RequestPartId>
PartIdsOf(const RelayRequest& aRequest, const std::string& aAccount)
{
  std::vector<RequestPartId> ids;
  for (std::size_t i = 0; i + 1 < aRequest.m_parts.size(); ++i) {
    ids.push_back(MakeRequestPartId(aRequest.m_parts[i].m_id));
  }
  ids.push_back(WholeRequestId(aRequest, aAccount));
  return ids;
}

void
PartWatch::Expire(TimePoint aNow)
{
  if (aNow < m_nextExpiry) {
    return;
  }
  m_nextExpiry = aNow + kExpiryInterval;
  std::erase_if(m_soundAt, [&](const auto& aEach) {
    return aNow >= aEach.second + kSoundMemory;
  });
  std::erase_if(m_watchedUntil,
                [&](const auto& aEach) { return aNow >= aEach.second; });
}

void
PartWatch::OnSound(TimePoint aNow, const std::vector<RequestPartId>& aParts)
{
  Expire(aNow);
  for (const RequestPartId part : aParts) {
    const auto watched = m_watchedUntil.find(part);
    const bool mustReport =
      (watched != m_watchedUntil.end() && aNow < watched->second) ||
      m_blocked.count(part) != 0;
    if (mustReport || m_soundAt.size() < kMaxSoundParts ||
        m_soundAt.count(part) != 0) {
      m_soundAt[part] = aNow;
    }
    if (mustReport) {
      m_unreportedSound.insert(part);
      // One event answers the query.
      m_watchedUntil.erase(part);
    }
  }
}

bool
PartWatch::MakeRoom(bool aHasHead)
{
  if (m_failures.size() < kMaxFailures) {
    return true;
  }
  // Those that were sent are needed only by another leader, and those with a
  // head tell more.
  const auto find = [&](bool aIsSent) {
    return std::find_if(
      m_failures.begin(), m_failures.end(), [&](const Failure& aEach) {
        return !aEach.m_start.m_hasHead && aEach.m_isSent == aIsSent;
      });
  };
  auto least = find(true);
  if (least == m_failures.end() && aHasHead) {
    least = find(false);
    least = least == m_failures.end() ? m_failures.begin() : least;
  }
  if (least == m_failures.end()) {
    return false;
  }
  m_failures.erase(least);
  return true;
}

void
PartWatch::OnFailedStart(TimePoint aNow,
                         const WorkerId& aWorker,
                         bool aHasHead,
                         const std::vector<RequestPartId>& aParts)
{
  if (!MakeRoom(aHasHead)) {
    return;
  }
  FailedStart start;
  start.m_worker = aWorker.Value();
  start.m_hasHead = aHasHead;
  start.m_request = aParts.back().Value();
  start.m_parts = aParts;
  m_failures.push_back({ aNow, std::move(start), false });
}

bool
PartWatch::HasFailed(TimePoint aNow,
                     const std::vector<RequestPartId>& aParts) const
{
  const RequestPartId request = aParts.back();
  const auto sound = m_soundAt.find(request);
  return std::any_of(
    m_failures.begin(), m_failures.end(), [&](const Failure& aEach) {
      return aEach.m_start.m_request == request.Value() &&
             aNow < aEach.m_at + kFailureMemory &&
             (sound == m_soundAt.end() || sound->second < aEach.m_at);
    });
}

void
PartWatch::OnNewLeader()
{
  for (Failure& failure : m_failures) {
    failure.m_isSent = false;
  }
}

void
PartWatch::OnQuery(TimePoint aNow, const std::vector<RequestPartId>& aParts)
{
  for (const RequestPartId part : aParts) {
    m_watchedUntil[part] = aNow + kWatchTime;
    if (m_soundAt.count(part) != 0) {
      m_unreportedSound.insert(part);
    }
  }
}

bool
PartWatch::SetBlocked(const std::vector<RequestPartId>& aParts)
{
  std::set<RequestPartId> blocked(aParts.begin(), aParts.end());
  const bool hasAdded = !std::includes(
    m_blocked.begin(), m_blocked.end(), blocked.begin(), blocked.end());
  m_blocked = std::move(blocked);
  return hasAdded;
}

bool
PartWatch::IsBlocked(const std::vector<RequestPartId>& aParts) const
{
  return !m_blocked.empty() &&
         std::any_of(aParts.begin(), aParts.end(), [&](RequestPartId aEach) {
           return m_blocked.count(aEach) != 0;
         });
}

std::optional<PartReport>
PartWatch::TakeReport(TimePoint aNow)
{
  while (!m_failures.empty() &&
         aNow >= m_failures.front().m_at + kFailureMemory) {
    m_failures.pop_front();
  }
  const bool isRepeatDue = aNow >= m_nextRepeat;
  PartReport report;
  for (Failure& failure : m_failures) {
    // Only answers that had begun are repeated: one or two for a crash.
    if (!failure.m_isSent || (isRepeatDue && failure.m_start.m_hasHead)) {
      failure.m_isSent = true;
      report.m_failures.push_back(failure.m_start);
      report.m_failures.back().m_ageUs = (aNow - failure.m_at).count();
    }
  }
  if (isRepeatDue) {
    m_nextRepeat = aNow + kRepeatInterval;
  }
  for (const RequestPartId part : std::exchange(m_unreportedSound, {})) {
    const auto sound = m_soundAt.find(part);
    if (sound != m_soundAt.end()) {
      report.m_sound.push_back({ part, (aNow - sound->second).count() });
    }
  }
  if (report.m_failures.empty() && report.m_sound.empty()) {
    return std::nullopt;
  }
  return report;
}

} // namespace fulmarquay
