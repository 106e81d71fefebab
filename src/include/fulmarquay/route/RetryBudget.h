#ifndef FULMARQUAY_ROUTE_RETRYBUDGET_H
#define FULMARQUAY_ROUTE_RETRYBUDGET_H

namespace fulmarquay {

/// Bounds retries to a share of the requests, so that failures under load do
/// not multiply it. Pure; not thread-safe.
class RetryBudget
{
public:
  /// A share of a retry that each request adds.
  static constexpr double kPerRequest = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMost = 20;

  explicit RetryBudget(double aPerRequest = kPerRequest, double aMost = kMost);

  /// Changes how many retries may be saved up.
  void SetMost(double aMost);

  void OnRequest();

  /// Takes one retry, or refuses.
  bool Take();

private:
  double m_perRequest;
  double m_most;
  double m_level;
};

} // namespace fulmarquay

#endif
