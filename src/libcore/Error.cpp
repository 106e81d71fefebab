#include "fulmarquay/core/Error.h"

#include <utility>

namespace fulmarquay {

namespace {

std::string
Describe(const std::string& aStep,
         const std::string& aPeer,
         const std::string& aReason)
{
  if (aPeer.empty()) {
    return aStep + ": " + aReason;
  }
  return aStep + " (" + aPeer + "): " + aReason;
}

} // namespace

Error::Error(std::string aStep, std::string aPeer, const std::string& aReason)
  : std::runtime_error(Describe(aStep, aPeer, aReason))
  , m_step(std::move(aStep))
  , m_peer(std::move(aPeer))
  , m_reason(aReason)
{
}

} // namespace fulmarquay
