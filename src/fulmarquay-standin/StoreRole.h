#ifndef FULMARQUAY_STANDIN_STOREROLE_H
#define FULMARQUAY_STANDIN_STOREROLE_H

#include "StandinRole.h"
#include "fulmarquay/cache/BlockDirectory.h"

namespace fulmarquay {

class Settings;

/// An emulated KV cache store behind the interface of docs/PLATFORM.md.
///
/// Faults: `damage=1` flips a byte in each answer; `cut=1` answers with half
/// of a block; `dead=1` answers nothing with 503; `slow=N` divides the link's
/// speed by N.
class StoreRole : public StandinRole
{
public:
  StoreRole(boost::asio::io_context& aContext,
            const std::string& aSection,
            const Settings& aSettings);

protected:
  void Serve(CallerId aCaller, const HttpRequest& aRequest) override;

private:
  struct Stored
  {
    ListedBlock m_info;
    std::string m_bytes;
  };

  void Write(CallerId aCaller,
             const BlockKey& aKey,
             const HttpRequest& aRequest);
  void Read(CallerId aCaller, const BlockKey& aKey, Generation aGeneration);
  void Free(CallerId aCaller, const BlockKey& aKey, Generation aGeneration);
  void List(CallerId aCaller, const std::string& aAfter);
  Duration LinkTime(std::size_t aBytes);

  std::int64_t m_capacity;
  std::int64_t m_linkPerSecond;
  std::int64_t m_used = 0;
  std::uint64_t m_linkBytes = 0;
  TimePoint m_linkBusyUntil;
  std::map<BlockKey, Stored> m_blocks;
};

} // namespace fulmarquay

#endif
