#include <utility>

#include "fulmarquay/wire/InputBudget.h"

#include <boost/asio/execution_context.hpp>
#include <algorithm>

namespace fulmarquay {

namespace {

/// Keeps the budget of a context for as long as the context exists.
class BudgetService : public boost::asio::execution_context::service
{
public:
  using key_type = BudgetService;
  static boost::asio::execution_context::id id;

  explicit BudgetService(boost::asio::execution_context& aContext)
    : service(aContext)
    , m_budget(std::make_shared<InputBudget>())
  {
  }
  void shutdown() override {}

  std::shared_ptr<InputBudget> m_budget;
};

boost::asio::execution_context::id BudgetService::id;

} // namespace

std::shared_ptr<InputBudget>
InputBudget::Of(boost::asio::io_context& aContext)
{
  return boost::asio::use_service<BudgetService>(
           static_cast<boost::asio::execution_context&>(aContext))
    .m_budget;
}

InputBudget::Share::Share(std::shared_ptr<InputBudget> aBudget,
                          std::function<void()> aEnd)
  : m_budget(std::move(aBudget))
  , m_end(std::move(aEnd))
{
}

InputBudget::Share::~Share()
{
  Set(0);
}

void
InputBudget::Share::Set(std::size_t aBytes)
{
  m_budget->m_bytes += aBytes;
  m_budget->m_bytes -= m_bytes;
  m_bytes = aBytes;
  if (aBytes == 0) {
    m_budget->m_shares.erase(this);
  } else {
    m_budget->m_shares.insert(this);
  }
}

void
InputBudget::EndLargest()
{
  while (IsExceeded()) {
    Share* const largest =
      *std::max_element(m_shares.begin(),
                        m_shares.end(),
                        [](const Share* aLeft, const Share* aRight) {
                          return aLeft->m_bytes < aRight->m_bytes;
                        });
    // Its memory is released when its pending read has ended.
    largest->Set(0);
    // The call may destroy the share.
    const std::function<void()> end = largest->m_end;
    end();
  }
}

} // namespace fulmarquay
