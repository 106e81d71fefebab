#ifndef FULMARQUAY_CONTROL_OPERATORPROTOCOL_H
#define FULMARQUAY_CONTROL_OPERATORPROTOCOL_H

#include "fulmarquay/route/RouteDocument.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Puts a route document in force, unless a document of the same or a higher
/// revision already is.
struct PublishRoutes
{
  RouteDocument m_document;
  std::string m_source; ///< as sent; ReadRoutes returns it unchanged
};

/// Requests the route document in force.
struct ReadRoutes
{};

/// Sets the weight version that all engines of a model are to load.
struct NameWeights
{
  std::string m_model;
  std::int64_t m_version = 0;
};

/// Orders that the workers of a data centre get no new requests, or revokes
/// that.
struct EvacuateDataCentre
{
  DataCentreId m_dataCentre;
  bool m_isEvacuated = true;
};

/// A malformed or invalid request.
struct InvalidRequest
{
  std::vector<std::string> m_problems;
};

/// A request outside the operator interface.
struct UnknownEndpoint
{};

using OperatorRequest = std::variant<PublishRoutes,
                                     ReadRoutes,
                                     NameWeights,
                                     InvalidRequest,
                                     UnknownEndpoint,
                                     EvacuateDataCentre>;

/// Outcome of an operator's request.
struct OperatorAnswer
{
  enum class Kind
  {
    Done,     ///< committed, or already in force
    Document, ///< m_text is the document
    Invalid,  ///< m_text lists the problems; nothing changed
    UnknownEndpoint,
    Redirect, ///< redirect: m_text is the IP:PORT of the leader's listener
    /// No leader is known, its lease expired, no document was published yet, or
    /// m_text says why; retry later.
    Unavailable,
  };
  Kind m_kind = Kind::Unavailable;
  std::string m_text;
};

/// Decodes operators' HTTP requests and encodes their answers.
class OperatorProtocol
{
public:
  virtual ~OperatorProtocol() = default;
  /// Never throws: malformed requests yield InvalidRequest, others outside the
  /// interface UnknownEndpoint.
  virtual OperatorRequest Decode(const HttpRequest& aRequest) const = 0;
  virtual HttpResponse Encode(const HttpRequest& aRequest,
                              const OperatorAnswer& aAnswer) const = 0;
};

} // namespace fulmarquay

#endif
