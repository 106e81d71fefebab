#include <utility>

#include "fulmarquay/daemon/SyncHttpServer.h"

namespace fulmarquay {

SyncHttpServer::SyncHttpServer(boost::asio::io_context& aContext,
                               const Endpoint& aEndpoint,
                               Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_server(aContext, *this, HttpServerLimits())
{
  m_server.Listen(aEndpoint);
}

void
SyncHttpServer::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  m_server.Respond(aCaller, m_handler(aRequest));
}

void
SyncHttpServer::OnCallerDisconnected(CallerId, DisconnectReason)
{
  // OnRequest has already responded; no state is kept for a caller.
}

std::unique_ptr<SyncHttpServer>
ServePlainText(boost::asio::io_context& aContext,
               const std::vector<Endpoint>& aListeners,
               std::function<std::string()> aRender)
{
  if (aListeners.empty()) {
    return nullptr;
  }
  return std::make_unique<SyncHttpServer>(
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
