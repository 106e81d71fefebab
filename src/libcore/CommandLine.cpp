#include "fulmarquay/core/CommandLine.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace fulmarquay {

namespace po = boost::program_options;

class CommandLine::Impl
{
public:
  po::variables_map m_values;
  std::vector<std::string> m_positionals;
  bool m_shouldExit = false;
  ExitCode m_exit = ExitCode::Ok;
};

namespace {

constexpr const char* kPositionals = "positionals";

void
PrintHelp(const CommandSpec& aSpec, const po::options_description& aOptions)
{
  std::cout
    << aSpec.m_program << ": " << aSpec.m_summary
    << "\n\nUsage: " << aSpec.m_program << " [OPTION ...] "
    << aSpec.m_positionals << "\n\n"
    << aOptions << "\n"
    << aSpec.m_details
    << "\nExit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid "
       "settings or answers,\n4 state disk lost.\n";
}

po::options_description
VisibleOptions(const CommandSpec& aSpec)
{
  po::options_description options("Options");
  options.add_options()("help,h", "print this help and exit")(
    "version", "print the version and exit");
  for (const CommandOption& option : aSpec.m_options) {
    const char* name = option.m_name.c_str();
    const char* help = option.m_help.c_str();
    if (!option.m_takesValue) {
      options.add_options()(name, help);
    } else if (option.m_default.empty()) {
      options.add_options()(name, po::value<std::string>(), help);
    } else {
      options.add_options()(
        name, po::value<std::string>()->default_value(option.m_default), help);
    }
  }
  return options;
}

} // namespace

CommandLine::CommandLine(int aArgc, char** aArgv, const CommandSpec& aSpec)
  : m_impl(std::make_unique<Impl>())
{
  const po::options_description visibleOptions = VisibleOptions(aSpec);
  po::options_description allOptions;
  allOptions.add(visibleOptions);
  allOptions.add_options()(
    kPositionals, po::value<std::vector<std::string>>(&m_impl->m_positionals));
  po::positional_options_description positional;
  positional.add(kPositionals, aSpec.m_positionals.empty() ? 0 : -1);
  try {
    po::store(po::command_line_parser(aArgc, aArgv)
                .options(allOptions)
                .positional(positional)
                .run(),
              m_impl->m_values);
    po::notify(m_impl->m_values);
  } catch (const po::error& e) {
    std::cerr << aSpec.m_program << ": " << e.what() << "; see --help\n";
    m_impl->m_shouldExit = true;
    m_impl->m_exit = ExitCode::Usage;
    return;
  }
  if (m_impl->m_values.count("help") != 0) {
    PrintHelp(aSpec, visibleOptions);
    m_impl->m_shouldExit = true;
  } else if (m_impl->m_values.count("version") != 0) {
    std::cout << aSpec.m_program << " " << FULMARQUAY_VERSION << "\n";
    m_impl->m_shouldExit = true;
  }
}

CommandLine::~CommandLine() = default;

bool
CommandLine::ShouldExit() const
{
  return m_impl->m_shouldExit;
}

int
CommandLine::ExitStatus() const
{
  return static_cast<int>(m_impl->m_exit);
}

bool
CommandLine::Has(const std::string& aName) const
{
  return m_impl->m_values.count(aName) != 0;
}

std::string
CommandLine::Value(const std::string& aName) const
{
  return Has(aName) ? m_impl->m_values[aName].as<std::string>() : "";
}

const std::vector<std::string>&
CommandLine::Positionals() const
{
  return m_impl->m_positionals;
}

} // namespace fulmarquay
