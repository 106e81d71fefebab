#ifndef FULMARQUAY_WIRE_INPUTBUDGET_H
#define FULMARQUAY_WIRE_INPUTBUDGET_H

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace fulmarquay {

/// Bounds the bytes that all HTTP connections of a process hold outside bodies:
/// heads, chunk heads and trailers. Above the bound the connections with most
/// are ended, so that those with an ordinary request are served. Used on one
/// thread.
class InputBudget
{
public:
  static constexpr std::size_t kDefaultMaxBytes = 16U << 20U;

  explicit InputBudget(std::size_t aMaxBytes = kDefaultMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  /// The budget of all HTTP servers and clients that use a context, which is
  /// that of the process in a program with one event loop.
  static std::shared_ptr<InputBudget> Of(boost::asio::io_context& aContext);

  /// The bytes that one connection holds.
  class Share
  {
  public:
    /// `aEnd` ends the input of the connection; called by EndLargest.
    Share(std::shared_ptr<InputBudget> aBudget, std::function<void()> aEnd);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    void Set(std::size_t aBytes);
    const std::shared_ptr<InputBudget>& Budget() const { return m_budget; }

  private:
    friend class InputBudget;
    std::shared_ptr<InputBudget> m_budget;
    std::function<void()> m_end;
    std::size_t m_bytes = 0;
  };

  bool IsExceeded() const { return m_bytes > m_maxBytes; }
  /// Ends the connections that hold most until the bound is kept. Must not be
  /// called while one of them is being read.
  void EndLargest();

  void SetMaxBytes(std::size_t aMaxBytes) { m_maxBytes = aMaxBytes; }
  std::size_t Bytes() const { return m_bytes; }
  std::size_t MaxBytes() const { return m_maxBytes; }
  /// Counts a connection that was ended because of its input.
  void CountEnded() { ++m_ended; }
  std::uint64_t Ended() const { return m_ended; }

private:
  std::size_t m_maxBytes;
  std::size_t m_bytes = 0;
  std::uint64_t m_ended = 0;
  std::set<Share*> m_shares; ///< those that hold bytes
};

} // namespace fulmarquay

#endif
