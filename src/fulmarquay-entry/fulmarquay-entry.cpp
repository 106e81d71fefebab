#include <utility>

#include "fulmarquay/daemon/EntryServer.h"

#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Program.h"

using namespace fulmarquay;

int
main(int aCount, char** aWords)
{
  CommandSpec spec;
  spec.m_program = "fulmarquay-entry";
  spec.m_summary =
    "takes callers' requests, routes them to engines and services";
  spec.m_details = "Examples:\n"
                   "  fulmarquay-entry --settings entry.ini\n"
                   "  fulmarquay-entry --check-settings entry.ini\n";
  return RunDaemon(
    aCount,
    aWords,
    std::move(spec),
    EntrySettings(),
    [](const Settings& aSettings, const CommandLine& aLine) {
      StartLog("fulmarquay-entry", aSettings.Text("entry", "log_format"));
      EntryServer::Builder(aSettings, aLine.Value("settings")).Build()->Run();
    });
}
