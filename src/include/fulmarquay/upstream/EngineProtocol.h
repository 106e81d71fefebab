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

/// A block that an engine is to import before or while it computes the rest.
struct ImportBlock
{
  BlockKey m_key;
  BlockCopy m_copy;
};

/// One attempt at one prompt.
struct GenerateOrder
{
  std::string m_request; ///< unique; echoed in every part of the answer
  std::uint32_t m_attempt = 1;
  AccountId m_account;
  std::string m_weights;
  std::string m_adapter;
  std::string m_prompt;
  std::string m_soFar;        ///< answer text already sent to the caller
  std::uint32_t m_offset = 0; ///< tokens already sent to the caller
  std::uint32_t m_maxTokens = 0;
  int m_priority = 0;
  BlockKey m_root; ///< echoed in cache events of the prompt's blocks
  std::vector<BlockKey> m_keys;
  std::vector<ImportBlock> m_import;
  std::string m_storeAddress;
  Duration m_importDelay{};
  std::int64_t m_importPerSecond = 0;
};

/// One token of an answer.
struct EngineToken
{
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_index = 0;
  std::string m_text;
};

/// The explicit end of an answer.
struct EngineEnd
{
  std::string m_request;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_tokens = 0; ///< of the whole answer, offset included
  Tokens m_cached;
  Tokens m_imported;
  Tokens m_recomputed;
  std::vector<BlockKey> m_wrong; ///< imports that failed their checks
};

using EnginePart = std::variant<EngineToken, EngineEnd>;

/// Takes the bytes of a generate answer apart as they arrive.
class EngineStream
{
public:
  virtual ~EngineStream() = default;
  /// Adds bytes; returns the whole parts. Throws Error on malformed input.
  virtual std::vector<EnginePart> Feed(std::string_view aBytes) = 0;
};

/// One block of an export order.
struct ExportBlock
{
  BlockKey m_key;
  Generation m_generation;
};

/// Tells an engine to write blocks to a store.
struct ExportOrder
{
  AccountId m_account;
  std::string m_weights;
  BlockKey m_root;
  std::string m_storeAddress;
  Duration m_delay{};
  std::int64_t m_perSecond = 0;
  std::vector<ExportBlock> m_blocks;
};

/// What became of one exported block.
struct ExportedBlock
{
  BlockKey m_key;
  Generation m_generation;
  bool m_isWhole = false;
  std::uint64_t m_length = 0;
  std::uint64_t m_checksum = 0;
};

/// A change of an engine's cache.
struct EngineCacheEvent
{
  std::uint64_t m_sequence = 0;
  bool m_isAdded = false;
  BlockKey m_key;
  BlockKey m_root;
};

/// Cache events after a sequence number, and the load at that time.
struct EngineReport
{
  std::uint64_t m_next = 0;  ///< ask from here the next time
  std::uint64_t m_first = 0; ///< oldest event that the engine still knows
  std::vector<EngineCacheEvent> m_events;
  std::int64_t m_running = 0;
  std::int64_t m_queuedTokens = 0;
  std::string m_weights;
  bool m_isLeaving = false;
};

/// An order that changes an engine.
struct EngineOrder
{
  std::uint64_t m_number = 0; ///< fencing number
  std::string m_kind;
  std::string m_target;
};

/// The contract with model engines: requests out, answers in, no I/O.
///
/// A user's own engines get another implementation of this interface.
class EngineProtocol
{
public:
  virtual ~EngineProtocol() = default;
  virtual HttpRequest Generate(const GenerateOrder& aOrder) const = 0;
  virtual std::unique_ptr<EngineStream> OpenStream() const = 0;
  virtual HttpRequest Export(const ExportOrder& aOrder) const = 0;
  /// Throws Error on malformed input, like all parsers here.
  virtual std::vector<ExportedBlock> ParseExport(
    const std::string& aBody) const = 0;
  virtual HttpRequest Report(std::uint64_t aAfter) const = 0;
  virtual EngineReport ParseReport(const std::string& aBody) const = 0;
  virtual HttpRequest Order(const EngineOrder& aOrder) const = 0;
};

/// The JSON over HTTP form of docs/PLATFORM.md.
std::unique_ptr<EngineProtocol>
MakeJsonEngineProtocol();

} // namespace fulmarquay

#endif
