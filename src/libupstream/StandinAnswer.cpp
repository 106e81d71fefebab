#include "fulmarquay/upstream/StandinAnswer.h"

#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

std::string
StandinTokenText(const std::string& aPrompt, std::uint32_t aIndex)
{
  constexpr std::size_t kTokenDigits = 6;
  return HexOf(Checksum64(aPrompt, aIndex)).substr(0, kTokenDigits) + " ";
}

std::string
StandinAnswer(const std::string& aPrompt, std::uint32_t aTokens)
{
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += StandinTokenText(aPrompt, i);
  }
  return text;
}

} // namespace fulmarquay
