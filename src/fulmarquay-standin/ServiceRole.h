#ifndef FULMARQUAY_STANDIN_SERVICEROLE_H
#define FULMARQUAY_STANDIN_SERVICEROLE_H

#include "StandinRole.h"

#include <vector>

namespace fulmarquay {

class Settings;

/// Emulates a service upstream. Every call but GET counts as executed and is
/// listed by `GET /journal`, so that tests can count executions.
///
/// Faults:
/// - `delay_ms=N` delays each answer by N ms instead of the setting `delay`;
/// - `drop=1` executes calls and closes the connection without an answer.
class ServiceRole : public StandinRole
{
public:
  ServiceRole(boost::asio::io_context& aContext,
              const std::string& aSection,
              const Settings& aSettings);

protected:
  void HandleRequest(CallerId aCaller, const HttpRequest& aRequest) override;

private:
  struct ExecutedCall
  {
    std::string m_path;
    std::string m_key;
  };

  Duration m_delay{};
  std::vector<ExecutedCall> m_journal;
};

} // namespace fulmarquay

#endif
