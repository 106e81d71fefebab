#include <utility>

#include "fulmarquay/core/SettingsSpec.h"
#include "fulmarquay/daemon/SettingsReload.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

// Last: its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

SettingsSpec
Spec()
{
  SettingsSpec::Builder builder("test");
  builder.Section("s").Required("n", SettingKind::Integer, "a number");
  return builder.Build();
}

void
Write(const std::string& aFile, const std::string& aText)
{
  std::ofstream(aFile) << aText;
}

} // namespace

Test(settings_reload, a_changed_file_is_taken_and_a_wrong_one_is_not)
{
  char path[] = "/tmp/fulmarquay-reload-XXXXXX";
  const std::string folder = ::mkdtemp(path);
  const std::string file = folder + "/f.ini";
  const SettingsSpec spec = Spec();
  boost::asio::io_context context;
  std::vector<std::int64_t> seen;
  const SettingsReload reload(
    context, file, spec, [&](const Settings& aSettings) {
      seen.push_back(aSettings.Integer("s", "n"));
    });
  for (const char* text : { "[s]\nn = 1\n", "[s]\nm = 2\n", "[s]\nn = 3\n" }) {
    Write(file, text);
    std::raise(SIGHUP);
    // The signal arrives as one handler, and its taker is the next.
    context.run_one();
    context.poll();
  }
  cr_assert(seen == (std::vector<std::int64_t>{ 1, 3 }));
  std::filesystem::remove_all(folder);
}
