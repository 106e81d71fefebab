#ifndef FULMARQUAY_SERVE_RELAYPROTOCOL_H
#define FULMARQUAY_SERVE_RELAYPROTOCOL_H

#include "fulmarquay/serve/RelayRequest.h"

#include <string>

namespace fulmarquay {

/// The HTTP form of relayed requests towards callers and workers; no I/O.
class RelayProtocol
{
public:
  virtual ~RelayProtocol() = default;

  /// Reads a caller's request. Throws Error when it can't be understood.
  virtual RelayRequest Decode(HttpRequest aRequest) const = 0;

  /// The request for a worker.
  virtual HttpRequest Encode(const RelayRequest& aRequest,
                             const RelayOrder& aOrder) const = 0;

  /// The header by which a worker's answer names its request.
  virtual HttpHeader AnswerMark(const RelayRequest& aRequest) const = 0;

  virtual RelayHead ReadHead(const HttpResponse& aHead) const = 0;

  /// The head that a caller gets for a worker's head.
  virtual HttpResponse CallerHead(HttpResponse aHead) const = 0;

  virtual HttpResponse Refuse(const RelayRequest& aRequest,
                              const RelayRefusal& aRefusal) const = 0;
};

} // namespace fulmarquay

#endif
