#include <utility>

#include "fulmarquay/daemon/ControlServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/LogEvent.h"
#include "fulmarquay/core/Program.h"

using namespace fulmarquay;

int
main(int aCount, char** aWords)
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-control";
  spec.m_summary = "a replica of the control group, with its state disk";
  spec.m_options = { { "bootstrap",
                       "format the data folder for a new group and exit; once "
                       "for each replica, never for a replaced disk",
                       false,
                       "" } };
  spec.m_details = "Examples:\n"
                   "  fulmarquay-control --settings control.ini --bootstrap\n"
                   "  fulmarquay-control --settings control.ini\n";
  return RunDaemon(
    aCount,
    aWords,
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
