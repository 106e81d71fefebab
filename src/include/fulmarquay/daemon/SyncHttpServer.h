#ifndef FULMARQUAY_DAEMON_SYNCHTTPSERVER_H
#define FULMARQUAY_DAEMON_SYNCHTTPSERVER_H

#include "fulmarquay/core/Settings.h"
#include "fulmarquay/wire/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// An HTTP server whose handler returns the response synchronously, for
/// readiness probes and metrics. Runs on the context's thread.
class SyncHttpServer : private HttpHandler
{
public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Starts listening. Throws Error when the port can't be opened.
  SyncHttpServer(boost::asio::io_context& aContext,
                 const Endpoint& aEndpoint,
                 Handler aHandler,
                 const HttpServerLimits& aLimits);

private:
  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller, DisconnectReason) override;

  Handler m_handler;
  HttpServer m_server;
};

/// Serves the text that `aRender` returns, such as metrics, at the first of
/// `aListeners`. Returns null when the list is empty. Throws Error when the
/// port can't be opened.
std::unique_ptr<SyncHttpServer>
ServePlainText(boost::asio::io_context& aContext,
               const std::vector<Endpoint>& aListeners,
               std::function<std::string()> aRender,
               const HttpServerLimits& aLimits);

/// The limits of such a server, from a section with the common settings.
HttpServerLimits
MonitoringLimits(const Settings& aSettings, const std::string& aSection);

/// The metrics of what HTTP connections of a context hold outside bodies.
std::string
RenderInputMetrics(boost::asio::io_context& aContext);

} // namespace fulmarquay

#endif
