#ifndef FULMARQUAY_CONTROL_CONTROLCOMMANDS_H
#define FULMARQUAY_CONTROL_CONTROLCOMMANDS_H

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// What names a once-only call: the caller's account and idempotency key.
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
  Intent = 0,    ///< its entry may have sent the call
  Completed = 1, ///< the answer is stored
  Unknown = 2,   ///< the call may have run; it is never sent again
};

/// The answer of a once-only call.
struct OnceAnswer
{
  std::int32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
  MSGPACK_DEFINE(m_status, m_contentType, m_body)
  bool operator==(const OnceAnswer&) const = default;
};

/// Proposes a configuration on top of the revision it was made from.
struct SubmitCommand
{
  std::string m_submission;
  std::string m_operator;
  Revision m_base;
  ConfigSections m_sections;
  MSGPACK_DEFINE(m_submission, m_operator, m_base, m_sections)
};

/// Asks for the one right to send a call.
struct BeginOnceCommand
{
  OnceKey m_key;
  std::string m_digest; ///< of the request, to refuse another under its key
  ServiceId m_service;
  VmId m_entry;
  BootId m_boot;
  std::uint64_t m_attempt = 0; ///< same for a repeat of this command
  std::int64_t m_wallUs = 0;
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
  NotRun = 1, ///< no byte was sent; the record goes
  Unknown = 2,
};

/// Records the end of a call.
struct FinishOnceCommand
{
  OnceKey m_key;
  BootId m_boot;
  std::uint64_t m_attempt = 0;
  std::uint8_t m_outcome = 0;
  OnceAnswer m_answer;
  std::int64_t m_wallUs = 0;
  MSGPACK_DEFINE(m_key, m_boot, m_attempt, m_outcome, m_answer, m_wallUs)
};

/// An entry's process is gone; calls it had under way become unknown, but
/// not those of the boot named as alive.
struct LoseEntryCommand
{
  VmId m_entry;
  BootId m_alive; ///< 0: none is alive
  MSGPACK_DEFINE(m_entry, m_alive)
};

/// Removes records that ended before a time.
struct PruneOnceCommand
{
  std::int64_t m_beforeWallUs = 0;
  MSGPACK_DEFINE(m_beforeWallUs)
};

/// Takes the next order number for an engine. The number is the engine's
/// fencing number and is never given out twice.
struct IssueOrderCommand
{
  EngineId m_engine;
  std::string m_kind; ///< `load`
  std::string m_target;
  MSGPACK_DEFINE(m_engine, m_kind, m_target)
};

/// Makes a weight version the one in force, once enough engines have it.
struct SwitchWeightsCommand
{
  std::string m_model;
  std::string m_weights;
  MSGPACK_DEFINE(m_model, m_weights)
};

/// Puts a route document in force unless it has that revision or a newer one.
struct PublishRoutesCommand
{
  Revision m_revision;
  std::string m_source; ///< as the operator sent it
  MSGPACK_DEFINE(m_revision, m_source)
};

/// Names a weight version of a model unless a newer one is named.
struct NameWeightsCommand
{
  std::string m_model;
  std::int64_t m_version = 0;
  MSGPACK_DEFINE(m_model, m_version)
};

using ControlCommand = std::variant<SubmitCommand,
                                    BeginOnceCommand,
                                    FinishOnceCommand,
                                    LoseEntryCommand,
                                    PruneOnceCommand,
                                    IssueOrderCommand,
                                    SwitchWeightsCommand,
                                    PublishRoutesCommand,
                                    NameWeightsCommand>;

/// The result of a SubmitCommand.
struct SubmitResult
{
  bool m_isAccepted = false;
  Revision m_revision;                 ///< accepted as, or now in force
  std::string m_winner;                ///< on refusal: who changed it
  std::vector<std::string> m_changed;  ///< on refusal: sections changed since
  std::vector<std::string> m_problems; ///< wrong answers, by name
  MSGPACK_DEFINE(m_isAccepted, m_revision, m_winner, m_changed, m_problems)
  bool operator==(const SubmitResult&) const = default;
};

/// What a BeginOnceCommand found.
enum class OnceVerdict : std::uint8_t
{
  Run = 0,       ///< this attempt alone may send the call
  Running = 1,   ///< another attempt has that right
  Completed = 2, ///< the stored answer comes with it
  Unknown = 3,
  Mismatch = 4, ///< the key was used for another request
};

/// The result of a BeginOnceCommand.
struct BeginOnceResult
{
  std::uint8_t m_verdict = 0;
  OnceAnswer m_answer;
  MSGPACK_DEFINE(m_verdict, m_answer)

  OnceVerdict Verdict() const { return static_cast<OnceVerdict>(m_verdict); }
};

/// The result of the other commands.
struct DoneResult
{
  std::uint64_t m_value = 0; ///< the order number, or records touched
  MSGPACK_DEFINE(m_value)
};

using ControlResult = std::variant<SubmitResult, BeginOnceResult, DoneResult>;

} // namespace fulmarquay

#endif
