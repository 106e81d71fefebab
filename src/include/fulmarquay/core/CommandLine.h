#ifndef FULMARQUAY_CORE_COMMANDLINE_H
#define FULMARQUAY_CORE_COMMANDLINE_H

#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// Exit codes of every program.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,   ///< it could not do what was asked
  Usage = 2,    ///< wrong command line
  Settings = 3, ///< wrong settings or answers
  DiskLost = 4, ///< the state disk failed or is damaged
};

/// One option of a program.
struct CommandOption
{
  std::string m_name;
  std::string m_help;
  bool m_takesValue = true;
  std::string m_default;
};

/// What a program's command line may hold.
struct CommandSpec
{
  std::string m_program;
  std::string m_summary;
  std::vector<CommandOption> m_options;
  std::string m_positionals; ///< in the usage line, e.g. `COMMAND [ARG ...]`
  std::string m_details;     ///< after the options: commands, examples
  std::string m_settings;    ///< a daemon's settings file when none is named
};

/// A parsed command line. `--help`, `--version` are part of every program.
class CommandLine
{
public:
  /// Parses; prints help, version or the error and sets ShouldExit then.
  CommandLine(int aCount, char** aWords, const CommandSpec& aSpec);
  ~CommandLine();

  bool ShouldExit() const;
  int ExitStatus() const;

  bool Has(const std::string& aName) const;
  std::string Value(const std::string& aName) const;
  const std::vector<std::string>& Positionals() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarquay

#endif
