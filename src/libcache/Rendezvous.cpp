#include "fulmarquay/cache/Rendezvous.h"

#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

std::uint64_t
RendezvousWeight(std::string_view aName, std::uint64_t aItem)
{
  return Checksum64(aName, aItem);
}

VmId
RendezvousOwner(const std::vector<VmId>& aVms, std::uint64_t aItem)
{
  VmId best;
  std::uint64_t bestWeight = 0;
  for (const VmId& vm : aVms) {
    const std::uint64_t weight = RendezvousWeight(vm.Value(), aItem);
    const bool isBetter =
      weight > bestWeight || (weight == bestWeight && vm > best);
    if (best.Value().empty() || isBetter) {
      best = vm;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace fulmarquay
