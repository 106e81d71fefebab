#include "fulmarquay/route/RetryBudget.h"

#include <algorithm>

namespace fulmarquay {

RetryBudget::RetryBudget(double aPerRequest, double aMost)
  : m_perRequest(aPerRequest)
  , m_most(aMost)
  , m_level(aMost)
{
}

void
RetryBudget::SetMost(double aMost)
{
  m_most = aMost;
  m_level = std::min(m_level, m_most);
}

void
RetryBudget::OnRequest()
{
  m_level = std::min(m_most, m_level + m_perRequest);
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
