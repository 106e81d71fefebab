#ifndef FULMARQUAY_DAEMON_ANSWERSERVER_H
#define FULMARQUAY_DAEMON_ANSWERSERVER_H

#include "fulmarquay/wire/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// An HTTP listener whose answers are known at once: readiness, metrics.
/// Runs on the context's thread.
class AnswerServer : private HttpHandler
{
public:
  using Answer = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens. Throws Error when the port can't be had.
  AnswerServer(boost::asio::io_context& aContext,
               const Endpoint& aEndpoint,
               Answer aAnswer);

private:
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller) override;

  Answer m_answer;
  HttpServer m_server;
};

/// Serves a text at the first of some listeners, such as metrics; null when
/// there is none. Throws Error when its port can't be had.
std::unique_ptr<AnswerServer>
ServeText(boost::asio::io_context& aContext,
          const std::vector<Endpoint>& aListeners,
          std::function<std::string()> aRender);

} // namespace fulmarquay

#endif
