#ifndef FULMARQUAY_CORE_PROGRAM_H
#define FULMARQUAY_CORE_PROGRAM_H

#include "fulmarquay/core/CommandLine.h"
#include "fulmarquay/core/Settings.h"

#include <functional>

namespace fulmarquay {

class SettingsSpec;

/// The frame of a daemon's main function: command line with `--settings` and
/// `--check-settings`, checked settings, error report, exit code.
///
/// `aRun` gets the checked settings before any port is opened; what it throws
/// is reported and becomes the exit code.
int
RunDaemon(int aCount,
          char** aWords,
          CommandSpec aSpec,
          const SettingsSpec& aSettings,
          const std::function<void(const Settings&, const CommandLine&)>& aRun);

} // namespace fulmarquay

#endif
