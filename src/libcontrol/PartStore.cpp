#include "fulmarquay/control/PartStore.h"

#include <charconv>

namespace fulmarquay {

namespace {

constexpr char kMark = 'w';

} // namespace

std::string
MakeCacheScope(std::int64_t aWeights, const std::string& aAccount)
{
  std::string scope = kMark + std::to_string(aWeights);
  if (!aAccount.empty()) {
    scope += "." + aAccount;
  }
  return scope;
}

std::int64_t
WeightsOfScope(const std::string& aScope)
{
  if (aScope.empty() || aScope.front() != kMark) {
    return -1;
  }
  std::int64_t weights = -1;
  const char* end = aScope.data() + aScope.size();
  const auto result = std::from_chars(aScope.data() + 1, end, weights);
  const bool isWhole = result.ptr == end || *result.ptr == '.';
  return result.ec == std::errc() && isWhole ? weights : -1;
}

} // namespace fulmarquay
