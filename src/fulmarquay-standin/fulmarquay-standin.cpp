#include <utility>

#include "EngineRole.h"
#include "Relay.h"
#include "ServiceRole.h"
#include "StoreRole.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/Program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <vector>

using namespace fulmarquay;

namespace {

/// All stand-ins of one settings file, on one io_context thread.
class Standin
{
public:
  explicit Standin(const Settings& aSettings)
    : m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_partitionSignals(m_context, SIGUSR1, SIGUSR2)
  {
    for (const std::string& name : aSettings.Names("engine")) {
      m_roles.push_back(
        std::make_unique<EngineRole>(m_context, "engine." + name, aSettings));
    }
    for (const std::string& name : aSettings.Names("store")) {
      m_roles.push_back(
        std::make_unique<StoreRole>(m_context, "store." + name, aSettings));
    }
    for (const std::string& name : aSettings.Names("service")) {
      m_roles.push_back(
        std::make_unique<ServiceRole>(m_context, "service." + name, aSettings));
    }
    for (const std::string& name : aSettings.Names("relay")) {
      const std::string section = "relay." + name;
      m_relays.push_back(
        std::make_unique<Relay>(m_context,
                                aSettings.Address(section, "listen"),
                                aSettings.Address(section, "target")));
    }
  }

  void Run()
  {
    WriteLog(LogEvent::ProcessStarted);
    m_stopSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (!aError) {
          m_context.stop();
        }
      });
    AwaitPartitionSignal();
    m_context.run();
  }

private:
  void AwaitPartitionSignal()
  {
    m_partitionSignals.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (aError) {
          return;
        }
        for (const auto& relay : m_relays) {
          relay->SetPartitioned(aSignal == SIGUSR1);
        }
        AwaitPartitionSignal();
      });
  }

  boost::asio::io_context m_context;
  boost::asio::signal_set m_stopSignals;
  boost::asio::signal_set m_partitionSignals;
  std::vector<std::unique_ptr<StandinRole>> m_roles;
  std::vector<std::unique_ptr<Relay>> m_relays;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-standin";
  spec.m_summary =
    "emulated engines, stores, services and links for tests and demos";
  spec.m_details = "Examples:\n"
                   "  fulmarquay-standin --settings standin.ini\n";
  return RunDaemon(aArgc,
                   aArgv,
                   std::move(spec),
                   StandinSettings(),
                   [](const Settings& aSettings, const CommandLine&) {
                     StartLog("fulmarquay-standin",
                              aSettings.Text("standin", "log_format"));
                     Standin standin(aSettings);
                     standin.Run();
                   });
}
