#ifndef FULMARQUAY_STANDIN_ENGINEROLE_H
#define FULMARQUAY_STANDIN_ENGINEROLE_H

#include "EngineModel.h"
#include "StandinRole.h"
#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/upstream/StoreProtocol.h"

#include <nlohmann/json_fwd.hpp>

namespace fulmarquay {

class Settings;

/// An emulated model engine behind the interface of docs/PLATFORM.md.
///
/// Faults: `break_after=N` cuts each stream after N tokens, once; `cross=1`
/// inserts a token of another request into streams; `full=1` refuses prompts;
/// `leaving=1` reports that it leaves; `evict=1` empties the cache; `gap=1`
/// forgets its cache events.
class EngineRole
  : public StandinRole
  , public HttpCallHandler
{
public:
  EngineRole(boost::asio::io_context& aContext,
             const std::string& aSection,
             const Settings& aSettings);

  void OnHead(CallId aCall, const HttpResponse& aHead) override;
  void OnData(CallId aCall, std::string aData) override;
  void OnEnd(CallId aCall, CallEnd aEnd, const std::string& aWhy) override;

protected:
  void Serve(CallerId aCaller, const HttpRequest& aRequest) override;
  void SetFault(const std::string& aName, const std::string& aValue) override;

private:
  struct Prompt;
  using PromptPtr = std::shared_ptr<Prompt>;
  struct Export;
  using ExportPtr = std::shared_ptr<Export>;

  /// A block on its way from or to a store.
  struct Transfer
  {
    PromptPtr m_prompt;
    ExportPtr m_export;
    std::size_t m_index = 0;
    int m_status = 0;
    std::string m_body;
  };

  void Generate(CallerId aCaller, const HttpRequest& aRequest);
  void ImportNext(const PromptPtr& aPrompt);
  void OnImported(const Transfer& aTransfer, bool aIsWhole);
  void ArrangePrefill(const PromptPtr& aPrompt);
  void StartPrefill(const PromptPtr& aPrompt, std::int64_t aTokens);
  void MaybeDecode(const PromptPtr& aPrompt);
  void Decode(const PromptPtr& aPrompt);
  void WriteLine(const PromptPtr& aPrompt, const nlohmann::json& aLine);
  void FinishPrompt(const PromptPtr& aPrompt);
  void StartExport(CallerId aCaller, const HttpRequest& aRequest);
  void ExportNext(const ExportPtr& aExport);
  void OnExported(const Transfer& aTransfer, bool aIsWhole);
  void Report(CallerId aCaller, const std::string& aTarget);
  void Order(CallerId aCaller, const HttpRequest& aRequest);

  EngineModel m_model;
  HttpClient m_client;
  std::unique_ptr<StoreProtocol> m_stores;
  Duration m_tokenInterval{};
  Duration m_loadTime{};
  bool m_checksFencing = false;
  std::uint64_t m_lastOrder = 0;
  std::int64_t m_running = 0;
  std::uint64_t m_nextCall = 1;
  std::map<CallId, Transfer> m_transfers;
};

} // namespace fulmarquay

#endif
