#ifndef FULMARQUAY_SERVE_WEIGHTSADMISSION_H
#define FULMARQUAY_SERVE_WEIGHTSADMISSION_H

#include "fulmarquay/control/NewestWeights.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// How outdated a worker's weights are for a new request.
enum class WeightsAge
{
  Newest,
  JustSuperseded, ///< worth about as much to the caller
  Superseded,     ///< worth less to the caller
  Expired,        ///< no request may begin on them
  Unknown,        ///< the worker itself has to check that they are the newest
};

/// Decides whether a request may begin on the weight version of a worker now.
///
/// A version expires some time after the first newer version was named.
/// Requests go on using it until then, while workers load newer ones. A version
/// of which this process can't prove when it was superseded counts as expired.
/// Pure; not thread-safe.
class WeightsAdmission
{
public:
  /// `aMaxAge`: how long after it was superseded a version expires.
  explicit WeightsAdmission(Duration aMaxAge);

  /// Applies the named versions of a worker list; returns whether one was
  /// unknown.
  bool OnNamed(const std::vector<NamedWeights>& aNamed);

  /// Applies the leader's reply to a heartbeat that was sent at a time.
  void OnReport(const WeightsReport& aReport, TimePoint aHeartbeatSentAt);

  /// The age of a worker's version; negative: not known.
  WeightsAge AgeOf(TimePoint aNow,
                   const std::string& aModel,
                   std::int64_t aVersion) const;

  /// The version that a worker has to have to run a request, given its known
  /// one: the newest one if that is not known. -1: none was named.
  std::int64_t RequiredVersion(const std::string& aModel,
                               std::int64_t aKnownVersion) const;

  /// How long a version may have been superseded, in ms; empty: unknown.
  std::string FormatAge(TimePoint aNow,
                        const std::string& aModel,
                        std::int64_t aVersion) const;

  /// Whether requests that were sent before a version expired may still wait at
  /// their workers.
  bool HasRecentlyExpired(TimePoint aNow) const;

  /// The newest version of a model; 0: none was named.
  std::int64_t NewestOf(const std::string& aModel) const
  {
    return m_newest.NewestOf(aModel);
  }

  std::uint64_t Revision() const { return m_newest.Revision(); }

private:
  Duration m_maxAge;
  NewestWeights m_newest;
};

} // namespace fulmarquay

#endif
