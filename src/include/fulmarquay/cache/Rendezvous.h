#ifndef FULMARQUAY_CACHE_RENDEZVOUS_H
#define FULMARQUAY_CACHE_RENDEZVOUS_H

#include "fulmarquay/core/StrongId.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace fulmarquay {

/// How much a named thing wants an item.
std::uint64_t
RendezvousWeight(std::string_view aName, std::uint64_t aItem);

/// The VM among some that owns an item: highest random weight wins. Every VM
/// with the same list picks the same owner, and a VM that comes or goes moves
/// only its own share. The list must not be empty.
VmId
RendezvousOwner(const std::vector<VmId>& aVms, std::uint64_t aItem);

} // namespace fulmarquay

#endif
