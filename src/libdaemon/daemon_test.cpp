#include <utility>

#include "fulmarquay/core/SettingsSpec.h"
#include "fulmarquay/daemon/SettingsReload.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

SettingsSpec
MakeSpec()
{
  SettingsSpec::Builder builder("test");
  builder.Section("s").Required("n", SettingKind::Integer, "a number");
  return builder.Build();
}

void
WriteFile(const std::string& aFile, const std::string& aText)
{
  std::ofstream(aFile) << aText;
}

} // namespace

Test(settings_reload, valid_file_is_applied_and_invalid_file_is_ignored)
{
  char path[] = "/tmp/fulmarquay-reload-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  const std::string file = folder + "/f.ini";
  const SettingsSpec spec = MakeSpec();
  boost::asio::io_context context;
  std::vector<std::int64_t> applied;
  const SettingsReload reload(
    context, file, spec, [&](const Settings& aSettings) {
      applied.push_back(aSettings.Integer("s", "n"));
    });
  for (const char* text : { "[s]\nn = 1\n", "[s]\nm = 2\n", "[s]\nn = 3\n" }) {
    WriteFile(file, text);
    std::raise(SIGHUP);
    // The first handler delivers the signal; the next one reloads the file.
    context.run_one();
    context.poll();
  }
  cr_assert(applied == (std::vector<std::int64_t>{ 1, 3 }));
  std::filesystem::remove_all(folder);
}
