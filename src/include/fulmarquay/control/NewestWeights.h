#ifndef FULMARQUAY_CONTROL_NEWESTWEIGHTS_H
#define FULMARQUAY_CONTROL_NEWESTWEIGHTS_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarquay {

/// The newest named weight version of a model.
struct NamedWeights
{
  std::string m_model;
  std::int64_t m_version = 1;
  MSGPACK_DEFINE(m_model, m_version)
};

/// A weight version that was superseded a short time ago.
struct SupersededWeights
{
  std::string m_model;
  std::int64_t m_version = 0;
  std::int64_t m_ageUs = 0; ///< at least as long as it has been superseded
  MSGPACK_DEFINE(m_model, m_version, m_ageUs)
};

/// What a leader knows about the named weight versions, for another process.
struct WeightsReport
{
  /// Whether the sender knows all versions that were named before the report.
  bool m_isComplete = false;
  std::uint64_t m_revision = 0; ///< NewestWeights::Revision of the sender
  /// The newest versions; empty if the receiver knows them already.
  std::vector<NamedWeights> m_newest;
  std::vector<SupersededWeights> m_superseded; ///< in the last seconds
  MSGPACK_DEFINE(m_isComplete, m_revision, m_newest, m_superseded)
};

/// What a process can prove about the named weight versions: the newest one of
/// each model, and how long older ones have been superseded at most.
///
/// When a version was named is a fact of the control group, which a process
/// does not know exactly. It keeps, for each version, the last time before
/// which certainly no newer one had been named. What it can't prove, such as
/// after a restart, counts as superseded long ago. Pure; not thread-safe.
class NewestWeights
{
public:
  /// Records a named version; returns whether it is newer than the known ones.
  bool OnNamed(const std::string& aModel, std::int64_t aVersion);

  /// The known versions are proved to be all that were named before a time.
  void OnConfirmed(TimePoint aAt);

  /// No version newer than `aVersion` had been named before a time.
  void OnNotSuperseded(const std::string& aModel,
                       std::int64_t aVersion,
                       TimePoint aAt);

  /// The newest version of a model; 0: none was named.
  std::int64_t NewestOf(const std::string& aModel) const;

  /// The longest time for which a version may have been superseded; 0 for the
  /// newest one, no value if it is unknown.
  std::optional<Duration> SupersededFor(TimePoint aNow,
                                        const std::string& aModel,
                                        std::int64_t aVersion) const;

  /// Versions superseded for less than a time.
  std::vector<SupersededWeights> SupersededWithin(TimePoint aNow,
                                                  Duration aTime) const;

  /// Makes a report for a process that knows the versions of a revision.
  WeightsReport MakeReport(TimePoint aNow, std::uint64_t aKnownRevision) const;
  /// Applies the report of a leader that held its lease. The report was made
  /// after `aAskedAt`, a time of this process.
  void OnReport(const WeightsReport& aReport, TimePoint aAskedAt);

  /// A number that grows with each named version and is equal in processes that
  /// know the same ones.
  std::uint64_t Revision() const { return m_revision; }

private:
  struct Model
  {
    std::int64_t m_newest = 0;
    /// By version, the last time before which no newer one had been named.
    std::map<std::int64_t, TimePoint> m_notSupersededBefore;
  };

  std::map<std::string, Model> m_models;
  TimePoint m_confirmedAt; ///< TimePoint(): never
  std::uint64_t m_revision = 0;
};

} // namespace fulmarquay

#endif
