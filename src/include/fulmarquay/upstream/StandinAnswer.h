#ifndef FULMARQUAY_UPSTREAM_STANDINANSWER_H
#define FULMARQUAY_UPSTREAM_STANDINANSWER_H

#include <cstdint>
#include <string>

namespace fulmarquay {

/// The text of one token of the stand-in engines' answers. It depends on the
/// rendered prompt and the index only, so that the load tool can tell a
/// caller's own answer from any other.
std::string
StandinTokenText(const std::string& aPrompt, std::uint32_t aIndex);

/// A whole answer of a stand-in engine.
std::string
StandinAnswer(const std::string& aPrompt, std::uint32_t aTokens);

} // namespace fulmarquay

#endif
