#ifndef FULMARQUAY_CONTROL_OPERATORPROTOCOL_H
#define FULMARQUAY_CONTROL_OPERATORPROTOCOL_H

#include "fulmarquay/route/RouteDocument.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarquay {

/// Puts a route document in force unless a newer one is.
struct PublishRoutes
{
  RouteDocument m_document;
  std::string m_source; ///< as sent; read back unchanged
};

/// Reads the route document in force.
struct ReadRoutes
{};

/// Names a weight version that all engines of a model are to load.
struct NameWeights
{
  std::string m_model;
  std::int64_t m_version = 0;
};

/// A request that can't be understood.
struct WrongRequest
{
  std::vector<std::string> m_problems;
};

/// Not a call of the operators' interface.
struct NoSuchCall
{};

using OperatorRequest = std::
  variant<PublishRoutes, ReadRoutes, NameWeights, WrongRequest, NoSuchCall>;

/// What an operator is told.
struct OperatorAnswer
{
  enum class Kind
  {
    Done,     ///< committed, or in force already
    Document, ///< m_text is the document
    Wrong,    ///< m_text names the problems; nothing changed
    NoSuchCall,
    Elsewhere,   ///< m_text is the IP:PORT of the leader's listener
    Unavailable, ///< no leader is known, or its lease ran out; ask again
  };
  Kind m_kind = Kind::Unavailable;
  std::string m_text;
};

/// Decodes operators' HTTP requests and encodes their answers.
class OperatorProtocol
{
public:
  virtual ~OperatorProtocol() = default;
  /// Never throws: what can't be read becomes WrongRequest or NoSuchCall.
  virtual OperatorRequest Decode(const HttpRequest& aRequest) const = 0;
  virtual HttpResponse Encode(const HttpRequest& aRequest,
                              const OperatorAnswer& aAnswer) const = 0;
};

} // namespace fulmarquay

#endif
