#include <utility>

#include "StandinRole.h"

namespace fulmarquay {

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const std::size_t query = aTarget.find('?');
  if (query == std::string::npos) {
    return "";
  }
  std::string rest = aTarget.substr(query + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
  return "";
}

StandinRole::StandinRole(boost::asio::io_context& aContext,
                         const Endpoint& aListen)
  : m_context(aContext)
  , m_server(aContext,
             *this,
             HttpServerLimits{ 16U << 10U,
                               64U << 20U,
                               Duration(600'000'000),
                               8192,
                               1U << 30U })
{
  m_server.Listen(aListen);
}

void
StandinRole::OnRequest(CallerId aCaller, HttpRequest aRequest)
{
  if (aRequest.m_target.starts_with("/fault?")) {
    const std::string pair = aRequest.m_target.substr(7);
    const std::size_t equals = pair.find('=');
    const std::string name = pair.substr(0, equals);
    const std::string value =
      equals == std::string::npos ? "" : pair.substr(equals + 1);
    m_faults[name] = value;
    OnFaultSet(name, value);
    Respond(aCaller, 200, "{}");
    return;
  }
  HandleRequest(aCaller, aRequest);
}

void
StandinRole::OnCallerDisconnected(CallerId aCaller, DisconnectReason)
{
  m_disconnected[aCaller] = true;
}

void
StandinRole::OnFaultSet(const std::string&, const std::string&)
{
}

std::string
StandinRole::FaultValue(const std::string& aName) const
{
  const auto found = m_faults.find(aName);
  return found == m_faults.end() ? "" : found->second;
}

void
StandinRole::Respond(CallerId aCaller, int aStatus, std::string aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers = { { "Content-Type", "application/json" } };
  response.m_body = std::move(aBody);
  m_server.Respond(aCaller, response);
}

void
StandinRole::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
  timer->expires_after(aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](const boost::system::error_code& aError) {
      if (!aError) {
        task();
      }
    });
}

} // namespace fulmarquay
