#ifndef FULMARQUAY_WIRE_HTTPCLIENTIMPL_H
#define FULMARQUAY_WIRE_HTTPCLIENTIMPL_H

#include <utility>

#include "fulmarquay/wire/HttpClient.h"

#include "HttpInput.h"
#include "LimitedLog.h"
#include "fulmarquay/wire/InputBudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fulmarquay {

/// The connections and calls of an HttpClient.
class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(boost::asio::io_context& aContext, HttpCallHandler& aHandler)
    : m_context(aContext)
    , m_handler(aHandler)
    , m_input(InputBudget::Of(aContext))
  {
  }

  void Start(HttpCall aCall);
  void Cancel(CallId aCall);
  void Stop();

  boost::asio::io_context& m_context;

private:
  static constexpr std::size_t kReadBufferBytes = 16U << 10U;
  /// Limit of received bytes that are not parsed yet: a head, or the framing of
  /// a chunk with its extensions. Larger ones are errors.
  static constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;
  static constexpr unsigned kFirstStatus = 100;
  static constexpr unsigned kFirstFinalStatus = 200; ///< lower ones are interim
  static constexpr unsigned kLastStatus = 599;

  /// A connection and the bytes received after the last response.
  struct Connection
  {
    Connection(boost::asio::io_context& aContext,
               std::shared_ptr<InputBudget> aInput,
               std::function<void()> aEnd)
      : m_stream(aContext)
      , m_buffer(kMaxUnparsedBytes)
      , m_share(std::move(aInput), std::move(aEnd))
    {
    }
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    ReadSize m_readSize;
    InputBudget::Share m_share;
    CallId m_user; ///< the call that uses the connection
    TimePoint m_connectedAt;
    TimePoint m_reuseDeadline;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct ActiveCall
  {
    HttpCall m_call;
    ConnectionPtr m_connection;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      m_parser;
    std::array<char, kReadBufferBytes> m_bodyBuffer{};
    FramingMeter m_headMeter;
    std::string m_reason; ///< text of an exception of the parser
    bool m_isSendStarted = false;
    bool m_isHeadOnly = false; ///< the method is HEAD
    /// Responses to earlier requests may still arrive on the connection.
    bool m_mayReceiveEarlierResponse = false;
    /// The response being read is interim or belongs to an earlier request.
    bool m_isSkippedResponse = false;
    int m_skippedResponses = 0;
    std::size_t m_receivedBytes = 0;
    TimePoint m_startedAt;

    /// Whether a response to an earlier request would be recognized.
    bool MayUseKeptConnection() const
    {
      return IsCorrelated() || m_call.m_isContentChecked;
    }
    bool IsCorrelated() const
    {
      const HttpHeader& header = m_call.m_correlationHeader;
      return !header.m_name.empty() && !header.m_value.empty();
    }
  };
  using ActiveCallPtr = std::shared_ptr<ActiveCall>;

  bool IsCurrent(const ActiveCallPtr& aActive) const;
  /// Takes a kept connection that was opened before a time, or any one if that
  /// is zero; null if there is none.
  ConnectionPtr TakeIdle(const Endpoint& aPeer, TimePoint aConnectedBefore);
  /// Takes the body out of the call. Throws std::exception if HTTP or Beast
  /// can't bear the request.
  static boost::beast::http::request<boost::beast::http::string_body>
  EncodeRequest(HttpCall& aCall);
  void Connect(const ActiveCallPtr& aActive);
  void WriteRequest(const ActiveCallPtr& aActive);
  void ReadHead(const ActiveCallPtr& aActive);
  void ParseHead(const ActiveCallPtr& aActive);
  void OnHead(const ActiveCallPtr& aActive);
  void ReadBody(const ActiveCallPtr& aActive);
  void ParseBody(const ActiveCallPtr& aActive);
  /// Passes received bytes to the parser within the limits of the call.
  static boost::beast::error_code Put(ActiveCall& aActive);
  /// Receives bytes and then calls `aNext`, with no error or the end of the
  /// stream if that completes the response.
  void Receive(const ActiveCallPtr& aActive,
               void (Impl::*aNext)(const ActiveCallPtr&));
  /// Ends the call on a connection because all of them hold too much.
  void EndInput(const std::weak_ptr<Connection>& aConnection);
  void LogInput(const ActiveCall& aActive,
                const std::string& aStep,
                const std::string& aReason);
  /// Runs a callback of the handler; an exception ends the call alone.
  template<typename Callback>
  bool Deliver(const ActiveCallPtr& aActive, Callback aCallback);
  void OnBody(const ActiveCallPtr& aActive,
              const boost::beast::error_code& aError);
  void Fail(const ActiveCallPtr& aActive,
            const boost::beast::error_code& aError);
  void Finish(const ActiveCallPtr& aActive);
  void Close(Connection& aConnection);
  /// Closes a connection and discards what was not delivered yet.
  void Reset(Connection& aConnection);
  static void SetTimeout(const ActiveCall& aActive);
  /// Counts received bytes; returns false above the limit of the call.
  static bool CountBytes(ActiveCall& aActive, std::size_t aBytes);
  void CloseIdle(const Endpoint& aPeer);
  /// Whether HTTP defines a meaning for the status of the response.
  static bool HasValidStatus(const ActiveCall& aActive);
  static bool IsSkippedResponse(const ActiveCall& aActive);

  HttpCallHandler& m_handler;
  std::shared_ptr<InputBudget> m_input;
  LimitedLog m_inputLog{ LogEvent::BadFrame };
  std::map<CallId, ActiveCallPtr> m_activeCalls;
  std::map<Endpoint, std::list<ConnectionPtr>> m_idle;
};

} // namespace fulmarquay

#endif
