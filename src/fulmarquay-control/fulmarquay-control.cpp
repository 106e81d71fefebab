#include <utility>

#include "fulmarquay/daemon/ControlServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/Program.h"

using namespace fulmarquay;

int
main(int aArgc, char** aArgv)
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-control";
  spec.m_summary = "a replica of the control group, with its state disk";
  spec.m_options = { { "bootstrap",
                       "format the data folder for a new control group and "
                       "exit; once per replica, never for a replaced disk",
                       false,
                       "" } };
  spec.m_details = "Examples:\n"
                   "  fulmarquay-control --settings control.ini --bootstrap\n"
                   "  fulmarquay-control --settings control.ini\n";
  return RunDaemon(
    aArgc,
    aArgv,
    std::move(spec),
    ControlSettings(),
    [](const Settings& aSettings, const CommandLine& aLine) {
      StartLog("fulmarquay-control", aSettings.Text("control", "log_format"));
      if (aLine.Has("bootstrap")) {
        Bootstrap(aSettings);
        return;
      }
      ControlServer::Builder(aSettings, aLine.Value("settings")).Build()->Run();
    });
}
