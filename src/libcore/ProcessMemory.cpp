#include "fulmarquay/core/ProcessMemory.h"

#include <fstream>
#include <string>

namespace fulmarquay {

Bytes
ResidentMemory()
{
  constexpr std::string_view kResidentPrefix = "VmRSS:";
  constexpr std::int64_t kBytesPerKib = 1024;
  std::ifstream in("/proc/self/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(kResidentPrefix)) {
      return Bytes(std::stoll(line.substr(kResidentPrefix.size())) *
                   kBytesPerKib);
    }
  }
  return Bytes(0);
}

} // namespace fulmarquay
