#ifndef FULMARQUAY_STANDIN_STANDINROLE_H
#define FULMARQUAY_STANDIN_STANDINROLE_H

#include "fulmarquay/wire/HttpClient.h"
#include "fulmarquay/wire/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fulmarquay {

/// Base class of the emulated upstreams. Each has an HTTP server of its own;
/// all run on the thread of one io_context.
class StandinRole : public HttpHandler
{
public:
  StandinRole(boost::asio::io_context& aContext, const Endpoint& aListen);

  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller, DisconnectReason) override;

protected:
  /// Handles each request except `/fault?NAME=VALUE`.
  virtual void HandleRequest(CallerId aCaller, const HttpRequest& aRequest) = 0;
  /// Called after `POST /fault?NAME=VALUE` has changed a fault.
  virtual void OnFaultSet(const std::string& aName, const std::string& aValue);

  void Respond(CallerId aCaller, int aStatus, std::string aBody);
  /// Runs a task on the io_context thread after a delay.
  void RunAfter(Duration aDelay, std::function<void()> aTask);
  bool IsDisconnected(CallerId aCaller) const
  {
    return m_disconnected.count(aCaller) != 0;
  }
  /// The value of a fault; empty if it was never set.
  std::string FaultValue(const std::string& aName) const;
  HttpServer& Server() { return m_server; }
  boost::asio::io_context& Context() { return m_context; }

private:
  boost::asio::io_context& m_context;
  HttpServer m_server;
  std::map<std::string, std::string> m_faults;
  std::map<CallerId, bool> m_disconnected;
};

/// The value of a query parameter of a request target, without percent
/// decoding; empty if the parameter is missing.
std::string
QueryValue(const std::string& aTarget, const std::string& aName);

} // namespace fulmarquay

#endif
