#include <utility>

#include "Caller.h"

#include "fulmarquay/core/Clock.h"

namespace fulmarquay {

Caller::Caller(boost::asio::io_context& aContext)
  : m_client(aContext, *this)
{
}

void
Caller::Start(const Endpoint& aPeer, HttpRequest aRequest, Handler aHandler)
{
  HttpCall call;
  call.m_call = CallId(m_nextCall++);
  call.m_peer = aPeer;
  call.m_request = std::move(aRequest);
  PendingExchange& pending = m_pending[call.m_call];
  pending.m_exchange.m_response.m_status = 0;
  pending.m_startedAt = MonotonicNow();
  pending.m_handler = std::move(aHandler);
  m_client.Start(std::move(call));
}

void
Caller::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_pending.at(aCall).m_exchange.m_response = aHead;
}

void
Caller::OnData(CallId aCall, std::string aData)
{
  PendingExchange& pending = m_pending.at(aCall);
  Exchange& exchange = pending.m_exchange;
  if (exchange.m_response.m_body.empty()) {
    exchange.m_firstData = MonotonicNow() - pending.m_startedAt;
  }
  exchange.m_response.m_body += aData;
}

void
Caller::OnEnd(CallId aCall, CallResult aEnd, const std::string& aReason)
{
  const auto found = m_pending.find(aCall);
  PendingExchange pending = std::move(found->second);
  m_pending.erase(found);
  pending.m_exchange.m_result = aEnd;
  pending.m_exchange.m_reason = aReason;
  pending.m_exchange.m_total = MonotonicNow() - pending.m_startedAt;
  pending.m_handler(pending.m_exchange);
}

Exchange
CallOnce(const Endpoint& aPeer, HttpRequest aRequest)
{
  boost::asio::io_context context;
  Caller caller(context);
  Exchange result;
  caller.Start(aPeer, std::move(aRequest), [&](const Exchange& aExchange) {
    result = aExchange;
    context.stop();
  });
  context.run();
  return result;
}

std::vector<HttpHeader>
CallerHeaders(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey },
           { "Content-Type", "application/json" } };
}

} // namespace fulmarquay
