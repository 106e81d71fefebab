#ifndef FULMARQUAY_CONTROL_CONTROLCOMMANDS_H
#define FULMARQUAY_CONTROL_CONTROLCOMMANDS_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/control/PartReports.h"
#include "fulmarquay/control/WorkerList.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Identifies a once-only call: the caller's account and idempotency key.
struct OnceKey
{
  AccountId m_account;
  std::string m_key;
  MSGPACK_DEFINE(m_account, m_key)
  auto operator<=>(const OnceKey&) const = default;
};

/// The state of a once-only record.
enum class OnceState : std::uint8_t
{
  Intent = 0,    ///< running: its entry may have sent the call
  Completed = 1, ///< the answer is stored
  Unknown = 2,   ///< the call may have run and is never sent again
};

/// The stored HTTP response of a once-only call.
struct OnceAnswer
{
  std::int32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
  MSGPACK_DEFINE(m_status, m_contentType, m_body)
  bool operator==(const OnceAnswer&) const = default;
};

/// Submits a configuration that was edited from the revision m_base; accepted
/// only while that revision is current.
struct SubmitCommand
{
  std::string m_submission; ///< identifier; a resend carries the same one
  std::string m_operator;
  Revision m_base;
  ConfigSections m_sections;
  MSGPACK_DEFINE(m_submission, m_operator, m_base, m_sections)
};

/// Requests the exclusive right to send a once-only call.
struct BeginOnceCommand
{
  OnceKey m_key;
  std::string m_digest; ///< of the request; detects reuse of the key
  ServiceId m_service;
  VmId m_entry;
  BootId m_boot;
  std::uint64_t m_attempt = 0; ///< unique in the boot; same in a resend
  std::int64_t m_wallUs = 0;   ///< leader's wall clock
  MSGPACK_DEFINE(m_key,
                 m_digest,
                 m_service,
                 m_entry,
                 m_boot,
                 m_attempt,
                 m_wallUs)
};

/// How a once-only call ended.
enum class OnceOutcome : std::uint8_t
{
  Answered = 0,
  NotRun = 1, ///< no byte was sent; the record is removed
  Unknown = 2,
};

/// Records the outcome of a once-only call.
struct FinishOnceCommand
{
  OnceKey m_key;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  std::uint8_t m_outcome = 0; ///< an OnceOutcome
  OnceAnswer m_answer;        ///< set for OnceOutcome::Answered
  std::int64_t m_wallUs = 0;  ///< leader's wall clock
  MSGPACK_DEFINE(m_key, m_boot, m_attempt, m_outcome, m_answer, m_wallUs)
};

/// Marks the running calls of a lost entry process as unknown, except those of
/// its live boot.
struct MarkEntryLostCommand
{
  VmId m_entry;
  BootId m_liveBoot; ///< 0: none
  MSGPACK_DEFINE(m_entry, m_liveBoot)
};

/// Removes ended records that were last touched before a time.
struct PruneOnceCommand
{
  std::int64_t m_beforeWallUs = 0; ///< wall clock
  MSGPACK_DEFINE(m_beforeWallUs)
};

/// Issues the next order number for an order to an engine. The number serves
/// as fencing number and is never issued twice.
struct IssueOrderCommand
{
  EngineId m_engine;
  std::string m_kind; ///< `load`
  std::string m_target;
  MSGPACK_DEFINE(m_engine, m_kind, m_target)
};

/// Puts a model's weight version in force. Proposed by a rollout once enough
/// engines have loaded it.
struct SwitchWeightsCommand
{
  std::string m_model;
  std::string m_weights;
  MSGPACK_DEFINE(m_model, m_weights)
};

/// Puts a route document in force unless that revision or a newer one already
/// is.
struct PublishRoutesCommand
{
  Revision m_revision;
  std::string m_source; ///< as the operator sent it
  MSGPACK_DEFINE(m_revision, m_source)
};

/// Names a weight version of a model unless that version or a newer one is
/// already named.
struct NameWeightsCommand
{
  std::string m_model;
  std::int64_t m_version = 0;
  MSGPACK_DEFINE(m_model, m_version)
};

/// Blocks prompts with a part that crashes workers, or releases them.
struct BlockPartCommand
{
  RequestPartId m_part;
  bool m_isBlocked = true;
  MSGPACK_DEFINE(m_part, m_isBlocked)
};

/// Adds a software version to those of a pool, or removes it.
struct ListSoftwareCommand
{
  PoolId m_pool;
  SoftwareVersion m_software;
  bool m_isListed = true;
  MSGPACK_DEFINE(m_pool, m_software, m_isListed)
};

/// Feature level of the first build that knows EvacuateCommand.
constexpr std::uint32_t kEvacuationFeatureLevel = 1;

/// Excludes the workers of a data centre from new requests, or includes them
/// again.
struct EvacuateCommand
{
  DataCentreId m_dataCentre;
  bool m_isEvacuated = true;
  MSGPACK_DEFINE(m_dataCentre, m_isEvacuated)
};

using ControlCommand = std::variant<SubmitCommand,
                                    BeginOnceCommand,
                                    FinishOnceCommand,
                                    MarkEntryLostCommand,
                                    PruneOnceCommand,
                                    IssueOrderCommand,
                                    SwitchWeightsCommand,
                                    PublishRoutesCommand,
                                    NameWeightsCommand,
                                    BlockPartCommand,
                                    ListSoftwareCommand,
                                    EvacuateCommand>;

/// The result of a SubmitCommand.
struct SubmitResult
{
  bool m_isAccepted = false;
  Revision m_revision; ///< accepted as; on refusal: the current one
  std::string m_conflictingOperator;   ///< on conflict: the last operator
  std::vector<std::string> m_changed;  ///< on conflict: sections changed since
  std::vector<std::string> m_problems; ///< invalid answers, one text each
  MSGPACK_DEFINE(m_isAccepted,
                 m_revision,
                 m_conflictingOperator,
                 m_changed,
                 m_problems)
  bool operator==(const SubmitResult&) const = default;
};

/// The decision on a BeginOnceCommand.
enum class OnceVerdict : std::uint8_t
{
  Run = 0,       ///< this attempt alone may send the call
  Running = 1,   ///< another attempt has that right and has not ended
  Completed = 2, ///< the call ran; its stored answer is returned
  Unknown = 3,   ///< the call may have run; it is not sent again
  Mismatch = 4,  ///< the key was used for another request
};

/// The result of a BeginOnceCommand.
struct BeginOnceResult
{
  std::uint8_t m_verdict = 0; ///< an OnceVerdict
  OnceAnswer m_answer;        ///< set for OnceVerdict::Completed
  MSGPACK_DEFINE(m_verdict, m_answer)

  OnceVerdict Verdict() const { return static_cast<OnceVerdict>(m_verdict); }
};

/// The result of the other commands.
struct ValueResult
{
  std::uint64_t m_value = 0; ///< order number, revision, or records changed
  MSGPACK_DEFINE(m_value)
};

using ControlResult = std::variant<SubmitResult, BeginOnceResult, ValueResult>;

} // namespace fulmarquay

#endif
