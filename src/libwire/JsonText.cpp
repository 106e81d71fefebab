#include "fulmarquay/wire/JsonText.h"

#include "fulmarquay/core/Error.h"

#include <algorithm>
#include <string>

namespace fulmarquay {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

bool
IsOpening(char aByte)
{
  return aByte == '[' || aByte == '{';
}

bool
IsClosing(char aByte)
{
  return aByte == ']' || aByte == '}';
}

/// Finds the bounds of values by their quotes, brackets and commas only.
class JsonScanner
{
public:
  JsonScanner(const char* aStep, std::string_view aText)
    : m_step(aStep)
    , m_text(aText)
  {
  }

  bool IsAtEnd()
  {
    SkipSpace();
    return m_position == m_text.size();
  }

  void Expect(char aByte)
  {
    if (!TakeIf(aByte)) {
      Fail();
    }
  }

  bool TakeIf(char aByte)
  {
    if (IsAtEnd() || m_text[m_position] != aByte) {
      return false;
    }
    ++m_position;
    return true;
  }

  void ExpectEnd()
  {
    if (!IsAtEnd()) {
      Fail();
    }
  }

  /// Takes a string and returns what is between its quotes.
  std::string_view TakeString()
  {
    Expect('"');
    const std::size_t start = m_position;
    while (m_position < m_text.size() && m_text[m_position] != '"') {
      m_position += m_text[m_position] == '\\' ? 2 : 1;
    }
    if (m_position >= m_text.size()) {
      Fail();
    }
    return m_text.substr(start, m_position++ - start);
  }

  /// Takes everything up to the comma or bracket that ends a value.
  std::string_view TakeValue()
  {
    SkipSpace();
    const std::size_t start = m_position;
    std::size_t depth = 0;
    while (m_position < m_text.size()) {
      const char byte = m_text[m_position];
      if (byte == '"') {
        TakeString();
        continue;
      }
      if (depth == 0 && (byte == ',' || IsClosing(byte))) {
        return m_text.substr(start, m_position - start);
      }
      depth += IsOpening(byte) ? 1 : 0;
      depth -= IsClosing(byte) ? 1 : 0;
      ++m_position;
    }
    Fail();
  }

private:
  void SkipSpace()
  {
    m_position =
      std::min(m_text.find_first_not_of(kSpace, m_position), m_text.size());
  }

  [[noreturn]] void Fail() const
  {
    throw Error(
      m_step, "", "malformed JSON at byte " + std::to_string(m_position));
  }

  const char* m_step;
  std::string_view m_text;
  std::size_t m_position = 0;
};

} // namespace

void
CheckJsonDepth(const char* aStep, std::string_view aText)
{
  std::size_t depth = 0;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char byte = aText[i];
    if (byte == '"') {
      for (++i; i < aText.size() && aText[i] != '"'; ++i) {
        i += aText[i] == '\\' ? 1 : 0;
      }
    } else if (IsOpening(byte) && ++depth > kMaxJsonDepth) {
      throw Error(aStep, "", "the JSON is nested too deeply");
    } else if (IsClosing(byte) && depth > 0) {
      --depth;
    }
  }
}

void
ForEachJsonElement(const char* aStep,
                   std::string_view aArray,
                   const std::function<void(std::string_view)>& aVisit)
{
  JsonScanner scanner(aStep, aArray);
  scanner.Expect('[');
  if (!scanner.TakeIf(']')) {
    do {
      aVisit(scanner.TakeValue());
    } while (scanner.TakeIf(','));
    scanner.Expect(']');
  }
  scanner.ExpectEnd();
}

void
ForEachJsonMember(
  const char* aStep,
  std::string_view aObject,
  const std::function<void(std::string_view, std::string_view)>& aVisit)
{
  JsonScanner scanner(aStep, aObject);
  scanner.Expect('{');
  if (!scanner.TakeIf('}')) {
    do {
      const std::string_view key = scanner.TakeString();
      scanner.Expect(':');
      aVisit(key, scanner.TakeValue());
    } while (scanner.TakeIf(','));
    scanner.Expect('}');
  }
  scanner.ExpectEnd();
}

} // namespace fulmarquay
