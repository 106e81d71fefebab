#ifndef FULMARQUAY_SERVE_RELAYREQUEST_H
#define FULMARQUAY_SERVE_RELAYREQUEST_H

#include "fulmarquay/core/Units.h"
#include "fulmarquay/wire/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarquay {

/// A part of a prompt. Requests whose prompts begin with the same parts share
/// the KV cache of those.
struct PromptPart
{
  std::string m_id;
  std::int64_t m_tokens = 0;
};

/// A caller's request for a route, by whatever interface it came.
struct RelayRequest
{
  std::string m_id; ///< the caller's name for this attempt
  std::string m_host;
  std::string m_path;    ///< without the query
  std::string m_key;     ///< the account's key; empty: none was sent
  Duration m_deadline{}; ///< how long the caller waits; 0: not told
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_mostOutputTokens = 0;
  std::vector<PromptPart> m_parts; ///< in the order of the prompt
  std::int64_t m_resumeAfter = -1; ///< last event that the caller has; -1: none
  /// What a worker gets, without the headers that the system sets.
  HttpRequest m_forward;
};

/// Where a worker finds a part of a prompt's KV cache.
struct PartSource
{
  std::string m_address; ///< IP:PORT; empty: nowhere
  std::int64_t m_tokens = 0;
};

/// What the system tells a worker about a request.
struct RelayOrder
{
  std::string m_worker;        ///< the incarnation that may run it
  std::string m_account;       ///< empty: none
  Duration m_left{};           ///< the worker's time
  std::int64_t m_rank = -1;    ///< 0 is served first; -1: not told
  std::string m_cacheScope;    ///< requests of another one share no KV cache
  std::int64_t m_weights = -1; ///< the version to run under; -1: any
  std::int64_t m_resumeAfter = -1;
  /// One for each part of the prompt, or none at all.
  std::vector<PartSource> m_fetches;
  std::vector<std::string> m_saves; ///< IP:PORT; empty: not to be saved
  std::int64_t m_fetchUntilMs = 0;  ///< on the workers' clock
};

/// The head of a worker's answer, as far as the system acts on it.
struct RelayHead
{
  int m_status = 0;
  bool m_isNotRun = false; ///< the worker states that it did not run it
  /// Another incarnation or other weights than the one that was meant.
  bool m_isMisdirected = false;
  bool m_isProven = false; ///< it carries the worker's proof of origin
  bool m_isStream = false; ///< its body is a row of events
};

/// An answer of the system's own.
struct RelayRefusal
{
  int m_status = 503;
  std::string m_reason;
  Duration m_retryAfter{}; ///< 0: not told
};

} // namespace fulmarquay

#endif
