#include "fulmarquay/route/RetryBudget.h"

#include <algorithm>

namespace fulmarquay {

void
RetryBudget::OnRequest()
{
  m_level = std::min(kMost, m_level + kPerRequest);
}

bool
RetryBudget::Take()
{
  if (m_level < 1) {
    return false;
  }
  m_level -= 1;
  return true;
}

} // namespace fulmarquay
