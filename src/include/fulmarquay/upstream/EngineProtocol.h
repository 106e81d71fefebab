#ifndef FULMARQUAY_UPSTREAM_ENGINEPROTOCOL_H
#define FULMARQUAY_UPSTREAM_ENGINEPROTOCOL_H

#include "fulmarquay/cache/BlockDirectory.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmarquay {

/// A block that an engine imports from a store before or while it computes the
/// remaining tokens.
struct ImportBlock
{
  BlockKey m_key;
  BlockCopy m_copy;
};

/// One attempt to run a prompt on an engine.
struct GenerateRequest
{
  std::string m_request; ///< unique; echoed in every line of the response
  std::uint32_t m_attempt = 1;
  AccountId m_account;
  std::string m_weights;
  std::string m_adapter;
  std::string m_prompt;
  std::string m_sentText;     ///< generated text already sent to the caller
  std::uint32_t m_offset = 0; ///< generated tokens already sent to the caller
  std::uint32_t m_maxTokens = 0;
  int m_priority = 0;
  BlockKey m_root; ///< echoed in cache events of the prompt's blocks
  std::vector<BlockKey> m_keys;
  std::vector<ImportBlock> m_import;
  std::string m_storeAddress;
  Duration m_importDelay{}; ///< wait before the import starts
  std::int64_t m_importBytesPerSecond = 0;
};

/// One generated token.
struct EngineToken
{
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_index = 0;
  std::string m_text;
};

/// The explicit end of a response, with the token counts of the prompt.
struct EngineEnd
{
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_tokens = 0; ///< generated in all, including the offset
  Tokens m_cached;
  Tokens m_imported;
  Tokens m_recomputed;
  std::vector<BlockKey>
    m_invalidKeys; ///< imported blocks that failed their checks
};

using EngineStreamItem = std::variant<EngineToken, EngineEnd>;

/// Incremental parser of the response to a generate request.
class EngineStream
{
public:
  virtual ~EngineStream() = default;
  /// Adds bytes and returns the items that are complete. Throws Error on
  /// malformed input.
  virtual std::vector<EngineStreamItem> Feed(std::string_view aBytes) = 0;
};

/// One block to export.
struct ExportBlock
{
  BlockKey m_key;
  Generation m_generation;
};

/// Request to an engine to write blocks to a store.
struct ExportRequest
{
  AccountId m_account;
  std::string m_weights;
  BlockKey m_root;
  std::string m_storeAddress;
  Duration m_delay{};           ///< wait before the export starts
  std::int64_t m_perSecond = 0; ///< bytes
  std::vector<ExportBlock> m_blocks;
};

/// Outcome of the export of one block.
struct ExportedBlock
{
  BlockKey m_key;
  Generation m_generation;
  bool m_isComplete = false;  ///< written completely
  std::uint64_t m_length = 0; ///< bytes
  std::uint64_t m_checksum = 0;
};

/// A block added to or dropped from an engine's cache.
struct EngineCacheEvent
{
  std::uint64_t m_sequence = 0;
  bool m_isAdded = false;
  BlockKey m_key;
  BlockKey m_root;
};

/// An engine's cache events after a sequence number, and its current load.
struct EngineReport
{
  std::uint64_t m_next = 0;  ///< `aAfter` of the next Report
  std::uint64_t m_first = 0; ///< lowest `aAfter` without lost events
  std::vector<EngineCacheEvent> m_events;
  std::int64_t m_running = 0;
  std::int64_t m_queuedTokens = 0;
  std::string m_weights;
  bool m_isLeaving = false;
};

/// An order that changes an engine, for example its weights.
struct EngineOrder
{
  std::uint64_t m_number = 0; ///< fencing number
  std::string m_kind;
  std::string m_target;
};

/// Encodes requests to model engines and decodes their responses; does no I/O.
///
/// Engines with another interface need another implementation of this class.
class EngineProtocol
{
public:
  virtual ~EngineProtocol() = default;
  virtual HttpRequest Generate(const GenerateRequest& aRequest) const = 0;
  virtual std::unique_ptr<EngineStream> OpenStream() const = 0;
  virtual HttpRequest Export(const ExportRequest& aRequest) const = 0;
  /// Throws Error on malformed input.
  virtual std::vector<ExportedBlock> ParseExport(
    const std::string& aBody) const = 0;
  /// Requests the cache events after a sequence number; 0: all that the engine
  /// retains.
  virtual HttpRequest Report(std::uint64_t aAfter) const = 0;
  /// Throws Error on malformed input.
  virtual EngineReport ParseReport(const std::string& aBody) const = 0;
  virtual HttpRequest Order(const EngineOrder& aOrder) const = 0;
};

/// The JSON over HTTP form described in docs/PLATFORM.md.
std::unique_ptr<EngineProtocol>
MakeJsonEngineProtocol();

} // namespace fulmarquay

#endif
