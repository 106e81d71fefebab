#include "fulmarquay/control/PartStore.h"

#include <charconv>

namespace fulmarquay {

namespace {

constexpr char kScopePrefix = 'w';
constexpr char kModelSeparator = ':';
/// No hex digit, with which the key of AllowedRegions begins.
constexpr char kIsolationPrefix = '-';

} // namespace

std::string
MakeCacheScope(std::int64_t aWeights,
               const std::string& aModel,
               const CacheGroup& aGroup)
{
  // The dot makes builds without models in their scopes read the version.
  std::string scope = kScopePrefix + std::to_string(aWeights) + ".";
  if (aGroup.m_account.empty() && !aGroup.m_isolationKey.empty()) {
    // Before the model, where no account can name it.
    scope += kIsolationPrefix + aGroup.m_isolationKey;
  }
  // The length keeps "a.b" for account "c" apart from "a" for account "b.c".
  scope +=
    kModelSeparator + std::to_string(aModel.size()) + kModelSeparator + aModel;
  if (!aGroup.m_account.empty()) {
    scope += "." + aGroup.m_account;
  }
  return scope;
}

std::int64_t
WeightsOfScope(const std::string& aScope)
{
  if (aScope.empty() || aScope.front() != kScopePrefix) {
    return -1;
  }
  std::int64_t weights = -1;
  const char* end = aScope.data() + aScope.size();
  const auto result = std::from_chars(aScope.data() + 1, end, weights);
  const bool isComplete = result.ptr == end || *result.ptr == '.';
  return result.ec == std::errc() && isComplete ? weights : -1;
}

} // namespace fulmarquay
