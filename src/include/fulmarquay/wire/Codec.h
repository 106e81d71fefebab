#ifndef FULMARQUAY_WIRE_CODEC_H
#define FULMARQUAY_WIRE_CODEC_H

#include "fulmarquay/core/Error.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace fulmarquay {

/// Parses msgpack bytes. Every declared size is limited to the input size, so
/// that a short malicious message can't cause a large allocation. Throws
/// msgpack's exceptions.
inline msgpack::object_handle
UnpackBounded(std::string_view aBytes)
{
  constexpr std::size_t kMaxDepth = 32;
  const std::size_t maxSize = aBytes.size();
  const msgpack::unpack_limit limit(
    maxSize, maxSize, maxSize, maxSize, maxSize, kMaxDepth);
  return msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
}

/// Encodes one value with msgpack.
template<typename T>
std::string
Pack(const T& aValue)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aValue);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes one value. Throws Error on malformed input or a type mismatch.
template<typename T>
T
Unpack(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle = UnpackBounded(aBytes);
    return handle.get().as<T>();
  } catch (const std::exception& e) {
    throw Error("decode message", "", e.what());
  }
}

namespace detail {

template<typename Variant, std::size_t Index = 0>
Variant
UnpackAlternative(std::size_t aIndex, const msgpack::object& aBody)
{
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (aIndex == Index) {
      return aBody.as<std::variant_alternative_t<Index, Variant>>();
    }
    return UnpackAlternative<Variant, Index + 1>(aIndex, aBody);
  } else {
    throw Error("decode message", "", "unknown message type");
  }
}

} // namespace detail

/// Encodes a message of a protocol as [index of the alternative, body]. For
/// compatibility, alternatives keep their order and new ones are appended.
template<typename... T>
std::string
PackMessage(const std::variant<T...>& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(aMessage.index());
  std::visit([&](const auto& aBody) { packer.pack(aBody); }, aMessage);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes a message encoded by PackMessage. Throws Error on malformed input,
/// an unknown alternative or a field of the wrong type.
template<typename Variant>
Variant
UnpackMessage(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle = UnpackBounded(aBytes);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
      throw Error("decode message", "", "not a pair");
    }
    const auto index = object.via.array.ptr[0].as<std::size_t>();
    return detail::UnpackAlternative<Variant>(index, object.via.array.ptr[1]);
  } catch (const Error&) {
    throw;
  } catch (const std::exception& e) {
    throw Error("decode message", "", e.what());
  }
}

} // namespace fulmarquay

#endif
