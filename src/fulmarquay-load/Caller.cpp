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
  Running& running = m_running[call.m_call];
  running.m_started = MonotonicNow();
  running.m_handler = std::move(aHandler);
  m_client.Start(std::move(call));
}

void
Caller::OnHead(CallId aCall, const HttpResponse& aHead)
{
  m_running.at(aCall).m_exchange.m_response = aHead;
}

void
Caller::OnData(CallId aCall, std::string aData)
{
  Running& running = m_running.at(aCall);
  Exchange& exchange = running.m_exchange;
  if (exchange.m_response.m_body.empty()) {
    exchange.m_firstData = MonotonicNow() - running.m_started;
  }
  exchange.m_response.m_body += aData;
}

void
Caller::OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy)
{
  const auto place = m_running.find(aCall);
  Running running = std::move(place->second);
  m_running.erase(place);
  running.m_exchange.m_end = aEnd;
  running.m_exchange.m_why = aWhy;
  running.m_exchange.m_total = MonotonicNow() - running.m_started;
  running.m_handler(running.m_exchange);
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
