#ifndef FULMARQUAY_STANDIN_ENGINEROLE_H
#define FULMARQUAY_STANDIN_ENGINEROLE_H

#include "EngineModel.h"
#include "StandinRole.h"
#include "fulmarquay/upstream/EngineProtocol.h"
#include "fulmarquay/upstream/StoreProtocol.h"

#include <nlohmann/json_fwd.hpp>

namespace fulmarquay {

class Settings;

/// Emulates a model engine with the HTTP interface of docs/PLATFORM.md.
///
/// Faults:
/// - `break_after=N` aborts each answer stream after N tokens;
/// - `cross=1` inserts a token of another request before each token;
/// - `full=1` refuses prompts with 503;
/// - `leaving=1` refuses prompts with 503 and reports `leaving`;
/// - `evict=1` evicts every cached block;
/// - `gap=1` omits cache events from reports, as if they were no longer
///   retained.
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
  void OnEnd(CallId aCall,
             CallResult aEnd,
             const std::string& aReason) override;

protected:
  void HandleRequest(CallerId aCaller, const HttpRequest& aRequest) override;
  void OnFaultSet(const std::string& aName, const std::string& aValue) override;

private:
  struct Prompt;
  using PromptPtr = std::shared_ptr<Prompt>;
  struct Export;
  using ExportPtr = std::shared_ptr<Export>;

  /// A block transfer in flight: an import if m_prompt is set, otherwise an
  /// export.
  struct Transfer
  {
    PromptPtr m_prompt;
    ExportPtr m_export;
    std::size_t m_index = 0; ///< in the blocks of the import or export
    int m_status = 0;
    std::string m_body;
  };

  void HandleGenerate(CallerId aCaller, const HttpRequest& aRequest);
  void ImportNextBlock(const PromptPtr& aPrompt);
  void OnBlockImported(const Transfer& aTransfer, bool aIsComplete);
  void PrefillMissingTokens(const PromptPtr& aPrompt);
  void StartPrefill(const PromptPtr& aPrompt, std::int64_t aTokens);
  void DecodeIfReady(const PromptPtr& aPrompt);
  void DecodeNextToken(const PromptPtr& aPrompt);
  void WriteJsonLine(const PromptPtr& aPrompt, const nlohmann::json& aLine);
  void FinishPrompt(const PromptPtr& aPrompt);
  void HandleExport(CallerId aCaller, const HttpRequest& aRequest);
  void ExportNextBlock(const ExportPtr& aExport);
  void OnBlockExported(const Transfer& aTransfer, bool aIsComplete);
  void HandleReport(CallerId aCaller, const std::string& aTarget);
  void HandleOrder(CallerId aCaller, const HttpRequest& aRequest);

  EngineModel m_model;
  HttpClient m_client;
  std::unique_ptr<StoreProtocol> m_storeProtocol;
  Duration m_tokenInterval{};
  Duration m_loadTime{};
  bool m_checksFencing = false;
  std::uint64_t m_highestFencingNumber = 0; ///< of all orders so far
  std::int64_t m_runningPrompts = 0;
  std::uint64_t m_nextCall = 1;
  std::map<CallId, Transfer> m_transfers;
};

} // namespace fulmarquay

#endif
