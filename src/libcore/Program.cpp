#include "fulmarquay/core/Program.h"

#include "fulmarquay/core/LogEvent.h"

#include <csignal>
#include <iostream>

namespace fulmarquay {

int
RunDaemon(int aArgc,
          char** aArgv,
          CommandSpec aSpec,
          const SettingsSpec& aSettings,
          const std::function<void(const Settings&, const CommandLine&)>& aRun)
{
  aSpec.m_options.push_back(
    { "settings", "the settings file", true, aSpec.m_settings });
  aSpec.m_options.push_back(
    { "check-settings", "check a settings file and exit", true, "" });
  const CommandLine line(aArgc, aArgv, aSpec);
  if (line.ShouldExit()) {
    return line.ExitStatus();
  }
  const bool isCheck = line.Has("check-settings");
  const std::string file = line.Value(isCheck ? "check-settings" : "settings");
  if (file.empty()) {
    std::cerr << aSpec.m_program << ": --settings FILE is needed; see --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
  // A log that can't be written fails a write, which drops lines: its reader
  // has ended, or its file may not grow.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  // The default action ends the process; a later handler replaces this one.
  std::signal(SIGHUP, SIG_IGN);
  try {
    const Settings settings = Settings::Load(file, aSettings);
    if (isCheck) {
      std::cout << file << ": good\n";
      return static_cast<int>(ExitCode::Ok);
    }
    aRun(settings, line);
    CloseLog();
    return static_cast<int>(ExitCode::Ok);
  } catch (const SettingsError& e) {
    for (const std::string& problem : e.Problems()) {
      std::cerr << problem << "\n";
    }
    return static_cast<int>(ExitCode::Settings);
  } catch (const Error& e) {
    WriteLog(
      LogEvent::ProcessFailed,
      { { "step", e.Step() }, { "peer", e.Peer() }, { "reason", e.Reason() } });
  } catch (const std::exception& e) {
    WriteLog(LogEvent::ProcessFailed, { { "reason", e.what() } });
  }
  CloseLog();
  return static_cast<int>(ExitCode::Failed);
}

} // namespace fulmarquay
