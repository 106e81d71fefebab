#include <utility>

#include "ServiceRole.h"

#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <nlohmann/json.hpp>

namespace fulmarquay {

using Json = nlohmann::json;

ServiceRole::ServiceRole(boost::asio::io_context& aContext,
                         const std::string& aSection,
                         const Settings& aSettings)
  : StandinRole(aContext, aSettings.Address(aSection, "listen"))
  , m_delay(aSettings.Time(aSection, "delay"))
{
}

void
ServiceRole::HandleRequest(CallerId aCaller, const HttpRequest& aRequest)
{
  if (aRequest.m_target == "/journal") {
    Json journal = Json::array();
    for (const ExecutedCall& call : m_journal) {
      journal.push_back({ { "path", call.m_path }, { "key", call.m_key } });
    }
    Respond(aCaller, 200, journal.dump());
    return;
  }
  ExecutedCall call;
  call.m_path = aRequest.m_target;
  call.m_key = FindHeader(aRequest.m_headers, "Idempotency-Key");
  if (aRequest.m_method != "GET") {
    m_journal.push_back(call);
  }
  const Json answer = { { "path", call.m_path },
                        { "key", call.m_key },
                        { "receipt", m_journal.size() },
                        { "body_digest", HexOf(Checksum64(aRequest.m_body)) } };
  const std::string delayFault = FaultValue("delay_ms");
  const Duration delay =
    delayFault.empty() ? m_delay : Duration(std::stoll(delayFault) * 1000);
  if (FaultValue("drop") == "1") {
    Server().StreamEnd(aCaller, false);
    return;
  }
  if (delay == Duration(0)) {
    Respond(aCaller, 200, answer.dump());
    return;
  }
  RunAfter(delay, [this, aCaller, text = answer.dump()] {
    Respond(aCaller, 200, text);
  });
}

} // namespace fulmarquay
