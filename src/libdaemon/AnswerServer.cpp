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
AnswerServer::OnGone(CallerId)
{
  // Every answer was given within OnRequest.
}

} // namespace fulmarquay
