#include <utility>

#include "fulmarquay/daemon/SyncHttpServer.h"

#include "fulmarquay/core/Metrics.h"
#include "fulmarquay/wire/InputBudget.h"

namespace fulmarquay {

SyncHttpServer::SyncHttpServer(boost::asio::io_context& aContext,
                               const Endpoint& aEndpoint,
                               Handler aHandler,
                               const HttpServerLimits& aLimits)
  : m_handler(std::move(aHandler))
  , m_server(aContext, *this, aLimits)
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
               std::function<std::string()> aRender,
               const HttpServerLimits& aLimits)
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
    },
    aLimits);
}

HttpServerLimits
MonitoringLimits(const Settings& aSettings, const std::string& aSection)
{
  HttpServerLimits limits;
  limits.m_maxFramingBytes =
    static_cast<std::size_t>(aSettings.Size(aSection, "framing_limit").Count());
  return limits;
}

std::string
RenderInputMetrics(boost::asio::io_context& aContext)
{
  const auto input = InputBudget::Of(aContext);
  Metrics metrics;
  metrics.Gauge("input_bytes", static_cast<double>(input->Bytes()));
  metrics.Gauge("ended_inputs", static_cast<double>(input->Ended()));
  return metrics.Render();
}

} // namespace fulmarquay
