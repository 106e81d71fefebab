#include <utility>

#include "fulmarquay/daemon/AnswerServer.h"

namespace fulmarquay {

AnswerServer::AnswerServer(boost::asio::io_context& aContext,
                           const Endpoint& aEndpoint,
                           Answer aAnswer)
  : m_answer(std::move(aAnswer))
  , m_server(aContext, *this, HttpServerLimits())
{
  m_server.Listen(aEndpoint);
}

void
AnswerServer::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  m_server.Respond(aCaller, m_answer(aRequest));
}

void
AnswerServer::OnCallerDisconnected(CallerId)
{
  // Every answer was given within OnRequest.
}

std::unique_ptr<AnswerServer>
ServeText(boost::asio::io_context& aContext,
          const std::vector<Endpoint>& aListeners,
          std::function<std::string()> aRender)
{
  if (aListeners.empty()) {
    return nullptr;
  }
  return std::make_unique<AnswerServer>(
    aContext,
    aListeners.front(),
    [render = std::move(aRender)](const HttpRequest&) {
      HttpResponse response;
      response.m_headers = { { "Content-Type", "text/plain" } };
      response.m_body = render();
      return response;
    });
}

} // namespace fulmarquay
