#ifndef FULMARQUAY_CORE_ERROR_H
#define FULMARQUAY_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace fulmarquay {

/// The base of every exception that fulmarquay throws.
///
/// It carries the step that failed ("append log batch") and the peer at which
/// it failed: an address, a file or a VM name; empty when there is none.
class Error : public std::runtime_error
{
public:
  Error(std::string aStep, std::string aPeer, const std::string& aReason);

  const std::string& Step() const { return m_step; }
  const std::string& Peer() const { return m_peer; }
  const std::string& Reason() const { return m_reason; }

private:
  std::string m_step;
  std::string m_peer;
  std::string m_reason;
};

} // namespace fulmarquay

#endif
