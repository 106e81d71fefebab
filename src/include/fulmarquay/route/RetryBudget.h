#ifndef FULMARQUAY_ROUTE_RETRYBUDGET_H
#define FULMARQUAY_ROUTE_RETRYBUDGET_H

namespace fulmarquay {

/// Bounds retries to a share of the requests, so that failures under load do
/// not multiply it. Pure; not thread-safe.
class RetryBudget
{
public:
  /// Adds this share of a retry for each request.
  static constexpr double kPerRequest = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMost = 20;

  void OnRequest();

  /// Takes one retry, or refuses.
  bool Take();

private:
  double m_level = kMost;
};

} // namespace fulmarquay

#endif
