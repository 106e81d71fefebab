#ifndef FULMARQUAY_STANDIN_STOREROLE_H
#define FULMARQUAY_STANDIN_STOREROLE_H

#include "StandinRole.h"
#include "fulmarquay/cache/BlockDirectory.h"

namespace fulmarquay {

class Settings;

/// Emulates a KV cache store with the HTTP interface of docs/PLATFORM.md.
///
/// Faults:
/// - `damage=1` flips a bit of each block that is read;
/// - `cut=1` returns only the first half of each block that is read;
/// - `dead=1` answers every request but `/stats` with 503;
/// - `slow=N` divides the speed of the link by N.
class StoreRole : public StandinRole
{
public:
  StoreRole(boost::asio::io_context& aContext,
            const std::string& aSection,
            const Settings& aSettings);

protected:
  void HandleRequest(CallerId aCaller, const HttpRequest& aRequest) override;

private:
  struct StoredBlock
  {
    ListedBlock m_info;
    std::string m_bytes;
  };

  void WriteBlock(CallerId aCaller,
                  const BlockKey& aKey,
                  const HttpRequest& aRequest);
  void ReadBlock(CallerId aCaller,
                 const BlockKey& aKey,
                 Generation aGeneration);
  void FreeBlock(CallerId aCaller,
                 const BlockKey& aKey,
                 Generation aGeneration);
  void ListBlocks(CallerId aCaller, const std::string& aAfter);
  /// Queues a transfer on the link; returns the time until it is complete.
  Duration ReserveLink(std::size_t aBytes);

  std::int64_t m_capacityBytes;
  std::int64_t m_linkBytesPerSecond;
  std::int64_t m_usedBytes = 0;
  std::uint64_t m_transferredBytes = 0;
  TimePoint m_linkBusyUntil;
  std::map<BlockKey, StoredBlock> m_blocks;
};

} // namespace fulmarquay

#endif
