#ifndef FULMARQUAY_CONTROL_WORKERLIST_H
#define FULMARQUAY_CONTROL_WORKERLIST_H

#include "fulmarquay/route/RouteDocument.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// One worker VM's incarnation, by the platform's name for it.
using WorkerId = StrongId<struct WorkerTag, std::string>;

/// A worker as the VM list tells it.
struct WorkerInfo
{
  WorkerId m_id;
  PoolId m_pool;
  std::string m_address; ///< IP:PORT
  DataCentreId m_dataCentre;
  std::int64_t m_slots = 1;
  bool m_isLeaving = false;
  std::int64_t m_bornMs = 0; ///< tells incarnations under one id apart
  std::map<std::string, std::int64_t> m_weights; ///< version by model
  MSGPACK_DEFINE(m_id,
                 m_pool,
                 m_address,
                 m_dataCentre,
                 m_slots,
                 m_isLeaving,
                 m_bornMs,
                 m_weights)
  bool operator==(const WorkerInfo&) const = default;

  /// The version of a model's weights; -1 when it does not serve the model.
  std::int64_t VersionOf(const std::string& aModel) const
  {
    const auto place = m_weights.find(aModel);
    return place == m_weights.end() ? -1 : place->second;
  }
};

/// A page of the VM list.
struct WorkerPage
{
  std::vector<WorkerInfo> m_workers;
  std::string m_next;        ///< names the following page; empty on the last
  std::size_t m_skipped = 0; ///< entries that name no usable worker
};

/// The newest weight version of a model.
struct NamedWeights
{
  std::string m_model;
  std::int64_t m_version = 1;
  std::int64_t m_agoUs = 0; ///< since it was committed, when this was sent
  MSGPACK_DEFINE(m_model, m_version, m_agoUs)
};

/// All workers and named weights, as the leader pushes them to entries.
struct WorkerList
{
  std::uint64_t m_number = 0; ///< differs for every content and leader
  std::vector<WorkerInfo> m_workers;
  std::vector<NamedWeights> m_weights;
  MSGPACK_DEFINE(m_number, m_workers, m_weights)
};

} // namespace fulmarquay

#endif
