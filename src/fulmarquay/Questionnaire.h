#ifndef FULMARQUAY_TOOL_QUESTIONNAIRE_H
#define FULMARQUAY_TOOL_QUESTIONNAIRE_H

#include <iosfwd>
#include <string>

namespace fulmarquay {

/// Prompts for every setting of the questionnaire and returns the text of the
/// answers file.
///
/// After an invalid value the allowed values are printed and the prompt is
/// repeated. Of bearer keys only the hash is written. Throws Error at the end
/// of input.
std::string
ReadAnswers(std::istream& aIn, std::ostream& aOut);

} // namespace fulmarquay

#endif
