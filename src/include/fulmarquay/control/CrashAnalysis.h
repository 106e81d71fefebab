#ifndef FULMARQUAY_CONTROL_CRASHANALYSIS_H
#define FULMARQUAY_CONTROL_CRASHANALYSIS_H

#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/core/Units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

/// Finds the requests, and the parts of prompts, that crash workers, from the
/// reports of all entries.
///
/// A crash ends all calls of a worker. Suspected are the prompt that it had
/// just begun to answer, or, if no entry saw such a call, all requests without
/// an event or answer; of each the whole request and the shared parts of its
/// prompt. One of these is found when several workers crashed with it, a part
/// under different prompts, and none has sent an event or answer with it since.
/// Before that, the entries are asked whether one has. Pure; not thread-safe.
class CrashAnalysis
{
public:
  void OnReport(TimePoint aNow, const PartReport& aReport);

  /// Parts that the entries are to be asked about because of new crashes; none
  /// while the answers to an earlier query are awaited.
  std::vector<RequestPartId> TakeQuery(TimePoint aNow,
                                       const std::set<RequestPartId>& aBlocked);

  /// Parts that were found, once the entries had time to answer. Crashes under
  /// a blocked part point to no other one.
  std::vector<RequestPartId> TakeFound(TimePoint aNow,
                                       const std::set<RequestPartId>& aBlocked);

  /// When a worker last sent an event with a part; nullopt: not known.
  std::optional<TimePoint> SoundAt(RequestPartId aPart) const;

  /// Finds this part after a single further crash.
  void SetOnProbation(RequestPartId aPart) { m_onProbation.insert(aPart); }

private:
  struct Crash
  {
    TimePoint m_at;
    std::string m_worker;
    bool m_hasHead = false; ///< the worker had begun to answer the requests
    /// Parts of the requests that it may have crashed under, by request.
    std::map<std::uint64_t, std::vector<RequestPartId>> m_starts;
  };

  /// What speaks against a part.
  struct Suspicion
  {
    int m_crashes = 0;
    int m_explained = 0; ///< crashes that a blocked request was part of
    std::set<std::uint64_t> m_requests; ///< under which workers crashed

    bool IsWholeRequest(RequestPartId aPart) const
    {
      return m_requests.count(aPart.Value()) != 0;
    }
  };
  using Suspects = std::map<RequestPartId, Suspicion>;

  Crash& FindOrAdd(const std::string& aWorker, TimePoint aAt);
  void Expire(TimePoint aNow);
  Suspects SuspectsOf(const Crash& aCrash,
                      const std::set<RequestPartId>& aBlocked) const;
  /// The evidence of all crashes together.
  Suspects Evaluate(const std::set<RequestPartId>& aBlocked) const;
  /// The parts with the most evidence, if it is sufficient.
  std::vector<RequestPartId> FindWorst(
    const std::set<RequestPartId>& aBlocked) const;
  bool IsSufficient(RequestPartId aPart, const Suspicion& aEvidence) const;
  /// Whether many workers crashed at about the same time.
  bool IsCoincident(const Crash& aCrash) const;

  std::deque<Crash> m_crashes; ///< in order of arrival
  std::map<RequestPartId, TimePoint> m_soundAt;
  std::set<RequestPartId> m_onProbation;
  bool m_hasNewCrash = false;           ///< since the last query
  std::optional<TimePoint> m_answersBy; ///< time of the next decision
};

} // namespace fulmarquay

#endif
