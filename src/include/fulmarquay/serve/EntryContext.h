#ifndef FULMARQUAY_SERVE_ENTRYCONTEXT_H
#define FULMARQUAY_SERVE_ENTRYCONTEXT_H

#include "fulmarquay/core/Metrics.h"
#include "fulmarquay/serve/EntryEvents.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// Receives the answer of a call that a part of the reducer started.
class CallSink
{
public:
  virtual ~CallSink() = default;
  virtual void OnHead(CallId aCall, const HttpResponse& aHead) = 0;
  virtual void OnData(CallId aCall, const std::string& aData) = 0;
  virtual void OnEnd(CallId aCall,
                     CallResult aEnd,
                     const std::string& aReason) = 0;
};

/// The identity of an entry process.
struct EntryIdentity
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  BootId m_boot;
  std::string m_address; ///< IP:PORT of its framed listener
  /// IP:PORT of its listener for passed requests; empty: it has none.
  std::string m_relayAddress{};
};

/// The refusal of a request, as reported to the caller and in metrics.
struct Refusal
{
  int m_status = 503;
  std::string m_outcome = "not_run"; ///< `not_run` or `unknown`
  std::string m_step;
  std::string m_reason;
  Duration m_retryAfter{}; ///< 0: a retry can't succeed
};

/// State shared by all parts of the entry's reducer: time, identity, effects,
/// metrics, calls. Not thread-safe.
class EntryContext
{
public:
  EntryContext(EntryIdentity aIdentity, std::uint64_t aSeed);

  /// Starts an event: sets the time and discards earlier effects.
  void Begin(TimePoint aNow);
  EntryEffects TakeEffects();

  TimePoint Now() const { return m_now; }
  const EntryIdentity& Self() const { return m_self; }
  Metrics& Counters() { return m_metrics; }
  const Metrics& Counters() const { return m_metrics; }

  template<typename Effect>
  void Emit(Effect aEffect)
  {
    m_effects.emplace_back(std::move(aEffect));
  }

  void Log(LogEvent aEvent,
           std::vector<std::pair<std::string, std::string>> aFields = {});

  /// The next ID, unique within this process.
  std::uint64_t NextId() { return m_nextId++; }

  /// A random number from the seeded generator.
  std::uint64_t Random();

  /// Starts a call whose answer goes to the sink, which must outlive the call.
  CallId Call(HttpCall aCall, CallSink& aSink);
  /// Cancels a call; its sink receives no further events.
  void Cancel(CallId aCall);

  /// The sink of a running call; null for an ended one.
  CallSink* SinkOf(CallId aCall) const;
  void ForgetCall(CallId aCall) { m_sinks.erase(aCall); }

  /// Sends a refusal to a caller and counts it.
  void Refuse(CallerId aCaller, const Refusal& aRefusal);

private:
  EntryIdentity m_self;
  TimePoint m_now;
  EntryEffects m_effects;
  Metrics m_metrics;
  std::uint64_t m_nextId = 1;
  std::uint64_t m_randomState;
  std::map<CallId, CallSink*> m_sinks;
};

} // namespace fulmarquay

#endif
