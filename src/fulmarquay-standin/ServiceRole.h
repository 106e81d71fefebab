#ifndef FULMARQUAY_STANDIN_SERVICEROLE_H
#define FULMARQUAY_STANDIN_SERVICEROLE_H

#include "StandinRole.h"

#include <vector>

namespace fulmarquay {

class Settings;

/// An emulated plain service. It journals each call that it ran;
/// `GET /journal` lists them, so that a test can count them.
///
/// Faults: `delay_ms=N` answers later; `drop=1` runs calls and closes without
/// an answer.
class ServiceRole : public StandinRole
{
public:
  ServiceRole(boost::asio::io_context& aContext,
              const std::string& aSection,
              const Settings& aSettings);

protected:
  void Serve(CallerId aCaller, const HttpRequest& aRequest) override;

private:
  struct Ran
  {
    std::string m_path;
    std::string m_key;
  };

  Duration m_delay{};
  std::vector<Ran> m_journal;
};

} // namespace fulmarquay

#endif
