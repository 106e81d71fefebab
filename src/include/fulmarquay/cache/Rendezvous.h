#ifndef FULMARQUAY_CACHE_RENDEZVOUS_H
#define FULMARQUAY_CACHE_RENDEZVOUS_H

#include "fulmarquay/core/StrongId.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// Rendezvous-hashing weight of a node, given by its name, for an item.
std::uint64_t
RendezvousWeight(std::string_view aName, std::uint64_t aItem);

/// The VM that owns an item by rendezvous hashing: the one with the highest
/// weight. Every VM with the same list picks the same owner. Adding or
/// removing a VM moves only the items that it owns. The list must not be
/// empty.
VmId
RendezvousOwner(const std::vector<VmId>& aVms, std::uint64_t aItem);

} // namespace fulmarquay

#endif
