#ifndef FULMARQUAY_SERVE_SERVICEFLOW_H
#define FULMARQUAY_SERVE_SERVICEFLOW_H

#include "fulmarquay/route/RetryBudget.h"
#include "fulmarquay/serve/ControlSession.h"

#include <map>
#include <string>

namespace fulmarquay {

/// Relays calls to plain services; calls that may not be repeated run at most
/// once, by the control group's record.
class ServiceFlow : public CallSink
{
public:
  ServiceFlow(EntryContext& aContext, ControlSession& aControl);

  /// A caller's request below /v1/services/, already authenticated.
  void Start(CallerId aCaller,
             const AccountId& aAccount,
             const ServiceConfig& aService,
             const std::string& aPath,
             HttpRequest aRequest);

  void OnGone(CallerId aCaller);
  void OnProbe(const OnceProbe& aProbe);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, const std::string& aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

  /// Calls that have not ended, outcomes not yet recorded included.
  std::size_t Running() const { return m_runs.size(); }

private:
  using RunId = std::uint64_t;

  struct Run
  {
    CallerId m_caller;
    bool m_isCallerThere = true;
    ServiceConfig m_service;
    HttpRequest m_request;
    std::string m_path;
    bool m_isOnce = false;
    OnceKey m_key;
    CallId m_call;
    std::size_t m_address = 0;
    int m_attempts = 0;
    bool m_isSending = false; ///< the call may have left this process
    HttpResponse m_answer;
  };

  void BeginOnce(RunId aId);
  void OnVerdict(RunId aId, const std::optional<BeginOnceResult>& aResult);
  void Send(RunId aId);
  void FinishOnce(RunId aId, OnceOutcome aOutcome);
  void EndPlain(RunId aId, CallEnd aEnd, const std::string& aWhy);
  void EndOnce(RunId aId, CallEnd aEnd, const std::string& aWhy);
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
