#ifndef FULMARQUAY_CORE_STRONGID_H
#define FULMARQUAY_CORE_STRONGID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fulmarquay {

/// An identifier that does not convert to identifiers of other kinds.
///
/// `Tag` names the kind; `Rep` is the stored representation, an unsigned
/// integer or a string. Ids compare, hash and encode to msgpack like their
/// representation. Value semantics; safe to copy between threads.
template<typename Tag, typename Rep = std::uint64_t>
class StrongId
{
public:
  using RepType = Rep;

  StrongId() = default;
  explicit StrongId(Rep aValue)
    : m_value(std::move(aValue))
  {
  }

  /// The raw representation, for output and encoding.
  const Rep& Value() const { return m_value; }

  auto operator<=>(const StrongId&) const = default;

  /// msgpack hook: packs only the representation.
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(m_value);
  }

  /// msgpack hook: unpacks the representation; throws on a type mismatch.
  template<typename Object>
  void msgpack_unpack(Object aObject)
  {
    const Rep value = aObject;
    m_value = value;
  }

private:
  Rep m_value{};
};

/// The client account that owns a request, identified by its bearer key.
using AccountId = StrongId<struct AccountTag, std::string>;
/// A VM of the system or of an upstream, by its name in the settings.
using VmId = StrongId<struct VmTag, std::string>;
/// A data centre, by its name in the settings.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// A model engine, by its name in the configuration.
using EngineId = StrongId<struct EngineTag, std::string>;
/// A KV cache store VM, by its name in the configuration.
using StoreId = StrongId<struct StoreTag, std::string>;
/// A plain service, by its name in the configuration.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// One run of a process; a restart gets a new id.
using BootId = StrongId<struct BootTag>;
/// A caller's request within one process.
using CallerId = StrongId<struct CallerTag>;
/// A call from this process to an upstream.
using CallId = StrongId<struct CallTag>;
/// A framed connection of this process.
using ConnectionId = StrongId<struct ConnectionTag>;
/// The revision of an accepted configuration; 0 before the first one.
using Revision = StrongId<struct RevisionTag>;
/// A request to the control group, unique within one connection.
using RequestId = StrongId<struct RequestTag>;

} // namespace fulmarquay

template<typename Tag, typename Rep>
struct std::hash<fulmarquay::StrongId<Tag, Rep>>
{
  std::size_t operator()(const fulmarquay::StrongId<Tag, Rep>& aId) const
  {
    return std::hash<Rep>()(aId.Value());
  }
};

#endif
