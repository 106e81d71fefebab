#ifndef FULMARQUAY_CORE_PROGRAM_H
#define FULMARQUAY_CORE_PROGRAM_H

#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/Settings.h"

#include <functional>

namespace fulmarquay {

class SettingsSpec;

/// Implements a daemon's main function: parses the command line, which includes
/// `--settings` and `--check-settings`, validates the settings, calls `aRun`,
/// reports errors and returns the exit code.
///
/// `aRun` is called with the validated settings before any port is opened. An
/// exception that it throws is reported and determines the exit code.
int
RunDaemon(int aArgc,
          char** aArgv,
          CommandSpec aSpec,
          const SettingsSpec& aSettings,
          const std::function<void(const Settings&, const CommandLine&)>& aRun);

} // namespace fulmarquay

#endif
