// Authentication of relayed requests by account keys.
#include "fulmarquay/serve/RelayFlow.h"

#include "RelayConstants.h"
#include "fulmarquay/core/Digest.h"

namespace fulmarquay {

bool
RelayFlow::Authenticate(ActiveRequest& aActive, const RouteRule& aRule)
{
  const RouteTable::Account account = LookUpKey(aActive);
  const bool needsKey =
    m_routes.Document().m_needsKeys && !aRule.m_allowsAnonymous;
  if (aActive.m_keyState == KeyState::None && !needsKey) {
    return true;
  }
  if (aActive.m_keyState == KeyState::Ambiguous) {
    Refuse(aActive, kStatusBadRequest, "several keys", Duration(0));
    return false;
  }
  // Only a confirmed document proves which account a key has, or that it has
  // none: the document may lack a new account.
  if (!HasKeyLease()) {
    Refuse(aActive,
           kStatusUnavailable,
           "keys not confirmed",
           kStartupRetryAfter,
           PassRefusal::Elsewhere);
    return false;
  }
  // An unknown key is refused on a route that needs none, too. Run as an
  // anonymous one, the request would lose the isolation, the allowed regions
  // and the priority of the account that its caller assumes.
  if (account.m_rule == nullptr) {
    Refuse(aActive,
           kStatusUnauthorized,
           aActive.m_keyState == KeyState::None ? "no key" : "unknown key",
           Duration(0),
           PassRefusal::Elsewhere);
    return false;
  }
  aActive.m_account = std::string(account.m_name);
  aActive.m_isIsolated = account.m_rule->m_isIsolated;
  aActive.m_allowedRegions.AddRule(account.m_rule->m_allowedRegions);
  if (account.m_rule->m_priority >= 0) {
    aActive.m_priority = account.m_rule->m_priority;
  }
  return true;
}

RouteTable::Account
RelayFlow::LookUpKey(ActiveRequest& aActive)
{
  const std::string& key = aActive.m_request.m_key;
  const RouteTable::Account account =
    key.empty() ? RouteTable::Account() : m_routes.FindAccount(Sha256Hex(key));
  if (key.empty()) {
    aActive.m_keyState = KeyState::None;
  } else if (aActive.m_request.m_hasSeveralKeys) {
    aActive.m_keyState = KeyState::Ambiguous;
  } else if (!HasKeyLease()) {
    aActive.m_keyState = KeyState::Unconfirmed;
  } else {
    aActive.m_keyState =
      account.m_rule == nullptr ? KeyState::Unknown : KeyState::Held;
  }
  aActive.m_keyRevision = m_routes.Document().m_revision;
  m_context.Counters().Count("relay_keys_total",
                             "state=\"" +
                               std::string(NameOf(aActive.m_keyState)) + "\"");
  return account;
}

void
RelayFlow::AppendKeyFields(const ActiveRequest& aActive, LogFields& aFields)
{
  aFields.emplace_back("key_state", NameOf(aActive.m_keyState));
  aFields.emplace_back("key_revision",
                       std::to_string(aActive.m_keyRevision.Value()));
  aFields.emplace_back("account", aActive.m_account);
}

} // namespace fulmarquay
