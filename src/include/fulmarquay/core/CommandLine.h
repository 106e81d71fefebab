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
  Failed = 1,   ///< the requested operation failed
  Usage = 2,    ///< invalid command line
  Settings = 3, ///< invalid settings or answers
  DiskLost = 4, ///< the state disk failed or is corrupted
};

/// One option of a program.
struct CommandOption
{
  std::string m_name;
  std::string m_help;
  bool m_takesValue = true;
  std::string m_default;
};

/// The options, arguments and help texts of a program's command line.
struct CommandSpec
{
  std::string m_program;
  std::string m_summary;
  std::vector<CommandOption> m_options;
  std::string m_positionals; ///< for the usage line, e.g. `COMMAND [ARG ...]`
  std::string m_details;  ///< help text after the options: commands, examples
  std::string m_settings; ///< a daemon's default settings file; empty: none
};

/// A parsed command line. Every program has the options `--help` and
/// `--version`.
class CommandLine
{
public:
  /// Parses the arguments. When help or the version is requested or an argument
  /// is invalid, prints the text and makes ShouldExit return true.
  CommandLine(int aArgc, char** aArgv, const CommandSpec& aSpec);
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
