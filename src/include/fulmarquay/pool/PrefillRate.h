#ifndef FULMARQUAY_POOL_PREFILLRATE_H
#define FULMARQUAY_POOL_PREFILLRATE_H

#include "fulmarquay/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarquay {

/// Learns how many prompt tokens a second the workers of a pool read, from the
/// times to the first event of this entry's requests. The rate is not
/// configured, and the engines of one pool differ. Pure; not thread-safe.
class PrefillRate
{
public:
  /// Records a first event: prompt tokens that the worker had to read, tokens
  /// that it was known to have pending before them, and the time since the
  /// request was sent.
  void OnFirstEvent(const std::string& aWorker,
                    std::int64_t aTokens,
                    std::int64_t aTokensAhead,
                    Duration aTime);

  /// Tokens a second of an average worker; 0 while there are too few samples.
  double TokensPerSecond() const { return m_tokensPerSecond; }
  /// Tokens a second of one worker: that of the pool without enough samples of
  /// its own.
  double TokensPerSecond(const std::string& aWorker) const;

private:
  /// The last times per token, in us.
  struct Samples
  {
    std::vector<float> m_times;
    std::size_t m_next = 0;
    void Add(double aTime, std::size_t aCapacity);
    double LowQuantile() const;
  };

  struct Worker
  {
    Samples m_samples;
    double m_tokensPerSecond = 0; ///< 0: too few samples
  };

  Samples m_samples;
  double m_tokensPerSecond = 0;
  std::unordered_map<std::string, Worker> m_workers;
};

} // namespace fulmarquay

#endif
