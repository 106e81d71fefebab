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

/// One emulated upstream: an HTTP server of its own on the shared thread.
class StandinRole : public HttpHandler
{
public:
  StandinRole(boost::asio::io_context& aContext, const Endpoint& aListen);

  void OnRequest(CallerId aCaller, HttpRequest aRequest) override;
  void OnCallerDisconnected(CallerId aCaller) override;

protected:
  /// Serves a request of this role; `/fault` is handled before.
  virtual void Serve(CallerId aCaller, const HttpRequest& aRequest) = 0;
  /// Sets a fault: its name and value from `POST /fault?NAME=VALUE`.
  virtual void SetFault(const std::string& aName, const std::string& aValue);

  void Respond(CallerId aCaller, int aStatus, std::string aBody);
  void After(Duration aDelay, std::function<void()> aStep);
  bool IsGone(CallerId aCaller) const { return m_gone.count(aCaller) != 0; }
  std::string Fault(const std::string& aName) const;
  HttpServer& Server() { return m_server; }
  boost::asio::io_context& Context() { return m_context; }

private:
  boost::asio::io_context& m_context;
  HttpServer m_server;
  std::map<std::string, std::string> m_faults;
  std::map<CallerId, bool> m_gone;
};

/// The part of a target after `NAME=` in its query; empty without one.
std::string
QueryValue(const std::string& aTarget, const std::string& aName);

} // namespace fulmarquay

#endif
