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

/// The outcome of one HTTP exchange as a caller sees it.
struct Exchange
{
  HttpResponse m_response;
  CallEnd m_end = CallEnd::NotSent;
  std::string m_why;
  Duration m_firstData{}; ///< from the start to the first byte of the body
  Duration m_total{};
};

/// Makes HTTP exchanges from one thread; each ends in its handler.
class Caller : public HttpCallHandler
{
public:
  using Handler = std::function<void(const Exchange&)>;

  explicit Caller(boost::asio::io_context& aContext);

  void Start(const Endpoint& aPeer, HttpRequest aRequest, Handler aHandler);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

private:
  struct Running
  {
    Exchange m_exchange;
    TimePoint m_started;
    Handler m_handler;
  };

  HttpClient m_client;
  std::map<CallId, Running> m_running;
  std::uint64_t m_nextCall = 1;
};

/// One exchange, waited for.
Exchange
CallOnce(const Endpoint& aPeer, HttpRequest aRequest);

/// The headers of a request with a bearer key and a JSON body.
std::vector<HttpHeader>
CallerHeaders(const std::string& aKey);

} // namespace fulmarquay

#endif
