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
  std::string
    m_nextPageAfter; ///< `aAfter` of the next List; empty: no more pages
};

/// Encodes requests to KV cache stores and decodes their responses; does no
/// I/O.
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
  /// Requests a page of the listing; the first one for an empty `aAfter`.
  virtual HttpRequest List(const std::string& aAfter) const = 0;
  /// Throws Error on malformed input.
  virtual StoreListing ParseListing(const StoreId& aStore,
                                    const std::string& aBody) const = 0;
};

/// The HTTP form described in docs/PLATFORM.md.
std::unique_ptr<StoreProtocol>
MakeHttpStoreProtocol();

} // namespace fulmarquay

#endif
