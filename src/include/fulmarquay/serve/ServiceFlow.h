#ifndef FULMARQUAY_SERVE_SERVICEFLOW_H
#define FULMARQUAY_SERVE_SERVICEFLOW_H

#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/serve/ControlSession.h"

#include <map>
#include <string>

namespace fulmarquay {

/// Relays calls to the configured services. A once-only call is sent at most
/// once: only after the control group has recorded its intent, and never again
/// after an attempt that may have run. Part of the entry's reducer; not
/// thread-safe.
class ServiceFlow : public CallSink
{
public:
  ServiceFlow(EntryContext& aContext, ControlSession& aControl);

  /// Starts an authenticated request for a path below /v1/services/SERVICE/.
  void Start(CallerId aCaller,
             const AccountId& aAccount,
             const ServiceConfig& aService,
             const std::string& aPath,
             HttpRequest aRequest);

  /// The caller has disconnected. Its call continues without a recipient.
  void OnCallerDisconnected(CallerId aCaller);
  /// Reports an attempt that this process has no record of as not run.
  void OnProbe(const OnceProbe& aProbe);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

  /// Number of calls in flight, including those whose outcome is not yet
  /// recorded.
  std::size_t Running() const { return m_runs.size(); }

private:
  using RunId = std::uint64_t;

  struct Run
  {
    CallerId m_caller;
    bool m_isCallerWaiting = true; ///< connected and not yet answered
    ServiceConfig m_service;
    HttpRequest m_request;
    std::string m_path;
    bool m_isOnce = false;
    OnceKey m_key;
    CallId m_call;
    std::size_t m_addressIndex = 0; ///< modulo the number of addresses
    int m_attempts = 0;
    bool m_isSending = false; ///< a byte may have been sent
    bool m_mayHaveRun = false;
    HttpResponse m_answer;
  };

  void BeginOnce(RunId aId);
  void OnBeginResult(RunId aId, const std::optional<BeginOnceResult>& aResult);
  void Send(RunId aId);
  void FinishOnce(RunId aId, OnceOutcome aOutcome);
  void EndPlainCall(RunId aId, CallResult aEnd, const std::string& aReason);
  void EndOnceCall(RunId aId, CallResult aEnd, const std::string& aReason);
  void Answer(Run& aRun, HttpResponse aResponse);
  void Refuse(Run& aRun, const Refusal& aRefusal);
  static HttpResponse StoredResponse(const OnceAnswer& aAnswer);

  EntryContext& m_context;
  ControlSession& m_control;
  RetryBudget m_retries;
  std::map<RunId, Run> m_runs;
  std::map<CallId, RunId> m_byCall;
};

} // namespace fulmarquay

#endif
