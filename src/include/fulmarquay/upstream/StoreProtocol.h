#ifndef FULMARQUAY_UPSTREAM_STOREPROTOCOL_H
#define FULMARQUAY_UPSTREAM_STOREPROTOCOL_H

#include "fulmarquay/cache/BlockDirectory.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <memory>
#include <string>
#include <vector>

namespace fulmarquay {

/// A page of a store's listing.
struct StoreListing
{
  std::vector<ListedBlock> m_blocks;
  std::string m_after; ///< ask from here for the next page; empty: no more
};

/// The contract with KV cache stores: requests out, answers in, no I/O.
class StoreProtocol
{
public:
  virtual ~StoreProtocol() = default;
  virtual HttpRequest Write(const ListedBlock& aBlock,
                            std::string aBytes) const = 0;
  virtual HttpRequest Read(const BlockKey& aKey,
                           Generation aGeneration) const = 0;
  virtual HttpRequest Free(const BlockKey& aKey,
                           Generation aGeneration) const = 0;
  virtual HttpRequest List(const std::string& aAfter) const = 0;
  /// Throws Error on malformed input.
  virtual StoreListing ParseListing(const StoreId& aStore,
                                    const std::string& aBody) const = 0;
};

/// The HTTP form of docs/PLATFORM.md.
std::unique_ptr<StoreProtocol>
MakeHttpStoreProtocol();

} // namespace fulmarquay

#endif
