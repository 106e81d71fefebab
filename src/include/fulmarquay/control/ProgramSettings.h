#ifndef FULMARQUAY_CONTROL_PROGRAMSETTINGS_H
#define FULMARQUAY_CONTROL_PROGRAMSETTINGS_H

#include <string>

namespace fulmarquay {

class SettingsSpec;

/// Settings table of fulmarquay-control.
const SettingsSpec&
ControlSettings();

/// The settings table of fulmarquay-entry.
const SettingsSpec&
EntrySettings();

/// The settings table of fulmarquay-standin.
const SettingsSpec&
StandinSettings();

/// Renders docs/SETTINGS.md: all settings tables and the questionnaire's.
std::string
RenderSettingsPage();

} // namespace fulmarquay

#endif
