#ifndef FULMARQUAY_CONTROL_PROGRAMSETTINGS_H
#define FULMARQUAY_CONTROL_PROGRAMSETTINGS_H

#include <string>

namespace fulmarquay {

class SettingsSpec;

/// The settings table of fulmarquay-control.
const SettingsSpec&
ControlSettings();

/// The settings table of fulmarquay-entry.
const SettingsSpec&
EntrySettings();

/// The settings table of fulmarquay-standin.
const SettingsSpec&
StandinSettings();

/// docs/SETTINGS.md: every settings table and the questionnaire's.
std::string
RenderSettingsPage();

} // namespace fulmarquay

#endif
