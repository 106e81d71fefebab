#ifndef FULMARQUAY_LOAD_CALLER_H
#define FULMARQUAY_LOAD_CALLER_H

#include "fulmarquay/core/Endpoint.h"
#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmarquay {

/// Outcome of one HTTP exchange, as seen by the client.
struct Exchange
{
  HttpResponse m_response; ///< status 0: none was received
  CallResult m_result = CallResult::NotSent;
  std::string m_reason;   ///< why the exchange failed
  Duration m_firstData{}; ///< from the start to the first bytes of the body
  Duration m_total{};
};

/// Runs HTTP exchanges on the thread of an io_context. Each handler is called
/// once, after its exchange has ended.
class Caller : public HttpCallHandler
{
public:
  using Handler = std::function<void(const Exchange&)>;

  explicit Caller(boost::asio::io_context& aContext);

  void Start(const Endpoint& aPeer, HttpRequest aRequest, Handler aHandler);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

private:
  struct PendingExchange
  {
    Exchange m_exchange;
    TimePoint m_startedAt;
    Handler m_handler;
  };

  HttpClient m_client;
  std::map<CallId, PendingExchange> m_pending;
  std::uint64_t m_nextCall = 1;
};

/// Runs one exchange and blocks until it has ended.
Exchange
CallOnce(const Endpoint& aPeer, HttpRequest aRequest);

/// The headers of a request with a bearer key and a JSON body.
std::vector<HttpHeader>
CallerHeaders(const std::string& aKey);

} // namespace fulmarquay

#endif
