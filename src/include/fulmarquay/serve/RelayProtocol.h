#ifndef FULMARQUAY_SERVE_RELAYPROTOCOL_H
#define FULMARQUAY_SERVE_RELAYPROTOCOL_H

#include "fulmarquay/serve/RelayRequest.h"

#include <string>

namespace fulmarquay {

/// Translates relayed requests from and to HTTP messages of callers and
/// workers; no I/O.
class RelayProtocol
{
public:
  virtual ~RelayProtocol() = default;

  /// Parses a caller's request. Throws Error if it is invalid.
  virtual RelayRequest Decode(HttpRequest aRequest) const = 0;

  /// Builds the request sent to a worker.
  virtual HttpRequest Encode(const RelayRequest& aRequest,
                             const DispatchParameters& aParameters) const = 0;

  /// The header that an answer has to repeat to be matched to its request.
  virtual HttpHeader CorrelationHeader(const RelayRequest& aRequest) const = 0;

  virtual WorkerResponseHead ReadHead(const HttpResponse& aHead) const = 0;

  /// Converts a worker's response head to the head sent to the caller.
  virtual HttpResponse ToCallerHead(HttpResponse aHead) const = 0;

  virtual HttpResponse Refuse(const RelayRequest& aRequest,
                              const RelayRefusal& aRefusal) const = 0;

  /// Builds the request that is passed to another entry: the caller's one with
  /// its key.
  virtual HttpRequest EncodePassed(const RelayRequest& aRequest,
                                   const PassParameters& aParameters) const = 0;

  /// Adds to the head of an answer what the entry that passed the request on
  /// needs to know. ToCallerHead drops that.
  virtual void MarkPassed(HttpResponse& aHead,
                          const PassedAnswer& aAnswer) const = 0;

  virtual PassedAnswer ReadPassed(const HttpResponse& aHead) const = 0;
};

} // namespace fulmarquay

#endif
