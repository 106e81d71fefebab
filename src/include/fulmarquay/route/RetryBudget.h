#ifndef FULMARQUAY_ROUTE_RETRYBUDGET_H
#define FULMARQUAY_ROUTE_RETRYBUDGET_H

namespace fulmarquay {

/// Limits retries to a share of the requests, so that retries of failures under
/// load do not multiply the load. Does no I/O; not thread-safe.
class RetryBudget
{
public:
  /// Retries that each request adds to the budget.
  static constexpr double kDefaultRatio = 0.1;
  /// Most retries that the budget can hold.
  static constexpr double kDefaultCapacity = 20;

  /// Starts full.
  explicit RetryBudget(double aRatio = kDefaultRatio,
                       double aCapacity = kDefaultCapacity);

  /// Changes the most retries that the budget can hold.
  void SetBudgetCapacity(double aCapacity);

  void OnRequest();

  /// Takes one retry from the budget; false when less than one is left.
  bool Take();

private:
  double m_ratio;
  double m_capacity;
  double m_available;
};

} // namespace fulmarquay

#endif
