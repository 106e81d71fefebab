#ifndef FULMARQUAY_UPSTREAM_STANDINANSWER_H
#define FULMARQUAY_UPSTREAM_STANDINANSWER_H

#include <cstdint>
#include <string>

namespace fulmarquay {

/// Text of one token that a stand-in engine generates. It depends only on the
/// rendered prompt and the index, so that the load tool can check that each
/// caller got the answer to its own prompt.
std::string
StandinTokenText(const std::string& aPrompt, std::uint32_t aIndex);

/// Text of a whole answer of a stand-in engine.
std::string
StandinAnswer(const std::string& aPrompt, std::uint32_t aTokens);

} // namespace fulmarquay

#endif
