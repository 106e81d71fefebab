#ifndef FULMARQUAY_CORE_ERROR_H
#define FULMARQUAY_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace fulmarquay {

/// The base class of fulmarquay's own exceptions.
///
/// Holds the step that failed, such as "append log batch", and the peer
/// involved: an address, a file or a VM name, or empty when there is none.
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
