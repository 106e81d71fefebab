#ifndef FULMARQUAY_TOOL_QUESTIONNAIRE_H
#define FULMARQUAY_TOOL_QUESTIONNAIRE_H

#include <iosfwd>
#include <string>

namespace fulmarquay {

/// Asks every question of the questionnaire and returns the answers file.
///
/// A wrong answer is asked again with what is allowed. Bearer keys are read
/// and only their hashes are written. Throws Error at the end of input.
std::string
AskQuestions(std::istream& aIn, std::ostream& aOut);

} // namespace fulmarquay

#endif
