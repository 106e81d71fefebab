#include "fulmarquay/serve/WriteBack.h"

#include "fulmarquay/cache/Rendezvous.h"
#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarquay {

namespace {

constexpr Duration kExportTimeout(10'000'000);
constexpr Duration kLinkRetryDelay(100'000);
constexpr int kMaxLinkRetries = 50;
/// Assumed length of a block when the job gives no estimate.
constexpr std::int64_t kDefaultBlockBytes = 128LL << 10U;
/// Bounds the size of an export, so that its background slot of the link stays
/// short.
constexpr std::size_t kMaxBlocksPerExport = 4;

} // namespace

WriteBack::WriteBack(EntryContext& aContext,
                     const ConfigHolder& aConfig,
                     CacheFlow& aCache,
                     const EngineProtocol& aProtocol)
  : m_context(aContext)
  , m_config(aConfig)
  , m_cache(aCache)
  , m_protocol(aProtocol)
{
}

void
WriteBack::Start(WriteBackJob aJob)
{
  std::vector<VmId> stores;
  for (const auto& [id, store] : m_config.Current()->m_stores) {
    if (store.m_dataCentre == m_context.Self().m_dataCentre) {
      stores.emplace_back(id.Value());
    }
  }
  if (stores.empty()) {
    return;
  }
  if (aJob.m_blockBytes == 0) {
    aJob.m_blockBytes = kDefaultBlockBytes;
  }
  const BlockKey root = aJob.m_keys.front();
  const JobId id = m_context.NextId();
  Job& job = m_jobs[id];
  job.m_store = StoreId(RendezvousOwner(stores, root.Low()).Value());
  ReserveBlocks request;
  request.m_account = aJob.m_account;
  request.m_weights = aJob.m_weights;
  request.m_store = job.m_store;
  request.m_keys = aJob.m_missing;
  request.m_blockLength = aJob.m_blockBytes;
  job.m_spec = std::move(aJob);
  job.m_isInFlight = true;
  m_cache.Reserve(root, std::move(request), [this, id](const auto& aReply) {
    OnReserved(id, aReply);
  });
}

void
WriteBack::OnReserved(JobId aId, const ReserveReply& aReply)
{
  Job& job = m_jobs.at(aId);
  for (std::size_t i = 0; i < aReply.m_keys.size(); ++i) {
    job.m_granted.push_back(
      { aReply.m_keys[i], Generation(aReply.m_generations[i]) });
  }
  if (job.m_granted.empty()) {
    m_jobs.erase(aId);
    return;
  }
  ReserveLinkSlot(aId);
}

void
WriteBack::ReserveLinkSlot(JobId aId)
{
  Job& job = m_jobs.at(aId);
  job.m_isInFlight = true;
  job.m_blocksInExport =
    std::min(kMaxBlocksPerExport, job.m_granted.size() - job.m_next);
  LinkRequest request;
  request.m_store = job.m_store;
  request.m_class = static_cast<std::uint8_t>(LinkClass::Background);
  request.m_bytes =
    static_cast<std::int64_t>(job.m_blocksInExport) * job.m_spec.m_blockBytes;
  m_cache.ReserveLinkSlot(
    request, [this, aId](const LinkReply& aReply) { OnLink(aId, aReply); });
}

void
WriteBack::OnLink(JobId aId, const LinkReply& aReply)
{
  Job& job = m_jobs.at(aId);
  if (!aReply.m_isGranted) {
    job.m_isInFlight = false;
    job.m_retryAt = m_context.Now() + kLinkRetryDelay;
    if (++job.m_linkRetries > kMaxLinkRetries) {
      AbandonJob(aId);
    }
    return;
  }
  const Configuration& configuration = *m_config.Current();
  const auto store = configuration.m_stores.find(job.m_store);
  if (store == configuration.m_stores.end()) {
    AbandonJob(aId);
    return;
  }
  ExportRequest request;
  request.m_account = job.m_spec.m_account;
  request.m_weights = job.m_spec.m_weights;
  request.m_root = job.m_spec.m_keys.front();
  request.m_storeAddress = store->second.m_address.ToString();
  request.m_delay = Duration(aReply.m_delayUs);
  request.m_perSecond = aReply.m_bytesPerSecond;
  const auto first =
    job.m_granted.begin() + static_cast<std::ptrdiff_t>(job.m_next);
  request.m_blocks.assign(
    first, first + static_cast<std::ptrdiff_t>(job.m_blocksInExport));
  HttpCall call;
  call.m_peer = job.m_spec.m_engineAddress;
  call.m_request = m_protocol.Export(request);
  call.m_idleTimeout = kExportTimeout;
  job.m_status = 0;
  job.m_body.clear();
  job.m_call = m_context.Call(std::move(call), *this);
  m_byCall[job.m_call] = aId;
}

void
WriteBack::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_jobs.at(m_byCall.at(aCall)).m_status = aHead.m_status;
}

void
WriteBack::OnData(CallId aCall, const std::string& aData)
{
  m_jobs.at(m_byCall.at(aCall)).m_body += aData;
}

void
WriteBack::OnEnd(CallId aCall, CallResult aEnd, const std::string&)
{
  const auto found = m_byCall.find(aCall);
  const JobId id = found->second;
  m_byCall.erase(found);
  const Job& job = m_jobs.at(id);
  if (aEnd != CallResult::Complete || job.m_status != 200) {
    AbandonJob(id);
    return;
  }
  try {
    OnExported(id, m_protocol.ParseExport(job.m_body));
  } catch (const Error&) {
    AbandonJob(id);
  }
}

void
WriteBack::OnExported(JobId aId, const std::vector<ExportedBlock>& aBlocks)
{
  Job& job = m_jobs.at(aId);
  for (const ExportedBlock& block : aBlocks) {
    WriteResult result;
    result.m_key = block.m_key;
    result.m_store = job.m_store;
    result.m_generation = block.m_generation.Value();
    result.m_isComplete = block.m_isComplete;
    result.m_length = block.m_length;
    result.m_checksum = block.m_checksum;
    m_cache.FinishWrite(job.m_spec.m_keys.front(), result);
  }
  job.m_next += job.m_blocksInExport;
  job.m_linkRetries = 0;
  if (job.m_next >= job.m_granted.size()) {
    m_jobs.erase(aId);
    return;
  }
  ReserveLinkSlot(aId);
}

void
WriteBack::AbandonJob(JobId aId)
{
  const Job& job = m_jobs.at(aId);
  for (std::size_t i = job.m_next; i < job.m_granted.size(); ++i) {
    WriteResult result;
    result.m_key = job.m_granted[i].m_key;
    result.m_store = job.m_store;
    result.m_generation = job.m_granted[i].m_generation.Value();
    m_cache.FinishWrite(job.m_spec.m_keys.front(), result);
  }
  m_context.Counters().Count("write_backs_given_up_total");
  m_jobs.erase(aId);
}

void
WriteBack::OnTick()
{
  std::vector<JobId> due;
  for (const auto& [id, job] : m_jobs) {
    if (!job.m_isInFlight && m_context.Now() >= job.m_retryAt) {
      due.push_back(id);
    }
  }
  for (const JobId id : due) {
    ReserveLinkSlot(id);
  }
}

} // namespace fulmarquay
