#ifndef FULMARQUAY_CONTROL_WORKERLIST_H
#define FULMARQUAY_CONTROL_WORKERLIST_H

#include "fulmarquay/control/NewestWeights.h"
#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/route/RouteDocument.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarquay {

/// The platform's id of a worker VM.
using WorkerId = StrongId<struct WorkerTag, std::string>;
/// The version of a worker's software, as the platform names it; unrelated to
/// the version of its weights. Only equality has a meaning.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;

/// A worker as described by the VM list.
struct WorkerInfo
{
  WorkerId m_id;
  PoolId m_pool;
  std::string m_address; ///< IP:PORT
  DataCentreId m_dataCentre;
  std::int64_t m_slots = 1;
  bool m_isLeaving = false;
  std::int64_t m_createdMs = 0; ///< distinguishes incarnations under one id
  std::map<std::string, std::int64_t> m_weights; ///< version by model
  SoftwareVersion m_software;
  /// It was slow after its start, or became slow again, when the list was read.
  bool m_isCold = false;
  MSGPACK_DEFINE(m_id,
                 m_pool,
                 m_address,
                 m_dataCentre,
                 m_slots,
                 m_isLeaving,
                 m_createdMs,
                 m_weights,
                 m_software,
                 m_isCold)
  bool operator==(const WorkerInfo&) const = default;

  /// The weight version of a model; -1 if the worker does not serve it.
  std::int64_t VersionOf(const std::string& aModel) const
  {
    const auto found = m_weights.find(aModel);
    return found == m_weights.end() ? -1 : found->second;
  }
};

/// Software versions of the workers of each pool.
using SoftwareByPool = std::map<PoolId, std::set<SoftwareVersion>>;

/// A page of the VM list.
struct WorkerPage
{
  std::vector<WorkerInfo> m_workers;
  std::string m_next;        ///< token of the next page; empty on the last
  std::size_t m_skipped = 0; ///< entries without a usable worker
};

/// All workers, named weights and blocked parts, as the leader pushes them to
/// entries.
struct WorkerList
{
  std::uint64_t m_number = 0; ///< unique for each content and leader
  std::vector<WorkerInfo> m_workers;
  std::vector<NamedWeights> m_weights;
  /// Prompts with one of these parts are refused, because it crashes workers.
  std::vector<RequestPartId> m_blockedParts;
  /// Versions on which streams that still last may have begun.
  SoftwareByPool m_software;
  /// Data centres whose workers get no new requests, by order of an operator.
  std::set<DataCentreId> m_evacuated;
  MSGPACK_DEFINE(m_number,
                 m_workers,
                 m_weights,
                 m_blockedParts,
                 m_software,
                 m_evacuated)
};

} // namespace fulmarquay

#endif
