#include "fulmarquay/route/RetryBudget.h"

#include <algorithm>

namespace fulmarquay {

RetryBudget::RetryBudget(double aRatio, double aCapacity)
  : m_ratio(aRatio)
  , m_capacity(aCapacity)
  , m_available(aCapacity)
{
}

void
RetryBudget::SetBudgetCapacity(double aCapacity)
{
  m_capacity = aCapacity;
  m_available = std::min(m_available, m_capacity);
}

void
RetryBudget::OnRequest()
{
  m_available = std::min(m_capacity, m_available + m_ratio);
}

bool
RetryBudget::Take()
{
  if (m_available < 1) {
    return false;
  }
  m_available -= 1;
  return true;
}

} // namespace fulmarquay
