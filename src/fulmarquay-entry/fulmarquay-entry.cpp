#include <utility>

#include "fulmarquay/daemon/EntryServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Program.h"

using namespace fulmarquay;

int
main(int aArgc, char** aArgv)
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-entry";
  spec.m_summary =
    "accepts client requests and routes them to engines and services";
  spec.m_details = "Examples:\n"
                   "  fulmarquay-entry --settings entry.ini\n"
                   "  fulmarquay-entry --check-settings entry.ini\n";
  return RunDaemon(
    aArgc,
    aArgv,
    std::move(spec),
    EntrySettings(),
    [](const Settings& aSettings, const CommandLine& aLine) {
      StartLog("fulmarquay-entry", aSettings.Text("entry", "log_format"));
      EntryServer::Builder(aSettings, aLine.Value("settings")).Build()->Run();
    });
}
