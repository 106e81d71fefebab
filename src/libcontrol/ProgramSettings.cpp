#include "fulmarquay/control/ProgramSettings.h"

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/core/SettingsSpec.h"

namespace fulmarquay {

namespace {

using Kind = SettingKind;

constexpr std::int64_t kMillisecond = 1'000;
constexpr std::int64_t kSecond = 1'000'000;

void
AddCommon(SettingsSpec::Builder& aBuilder)
{
  aBuilder.Required("vm", Kind::Name, "the name of this VM")
    .Required("data_centre", Kind::Name, "the data centre of this VM")
    .Required("listen", Kind::Address, "framed listener for other processes")
    .Optional("log_format", Kind::Choice, "text", "how log lines look")
    .OneOf({ "text", "json" });
}

SettingsSpec
BuildControl()
{
  SettingsSpec::Builder builder("fulmarquay-control");
  builder.Section("control");
  AddCommon(builder);
  builder
    .Required("data_folder",
              Kind::Path,
              "the one folder of the durable state, on a state disk")
    .Optional("election_timeout",
              Kind::Duration,
              "400ms",
              "a follower waits one to two of these for its leader; the same "
              "on all replicas")
    .Between(50 * kMillisecond, 10 * kSecond)
    .Optional("heartbeat", Kind::Duration, "60ms", "between two heartbeats")
    .Between(5 * kMillisecond, 5 * kSecond)
    .Optional("entry_lease",
              Kind::Duration,
              "5s",
              "an entry not heard for this long is lost")
    .Between(500 * kMillisecond, 60 * kSecond)
    .Optional("snapshot_entries",
              Kind::Integer,
              "20000",
              "log entries between two snapshots")
    .Between(10, 10'000'000);
  builder
    .Optional(
      "bootstrap",
      Kind::Flag,
      "no",
      "form a new group of the seeds when the data folder is empty; yes "
      "only at the first start of the whole deployment")
    .Optional("seeds",
              Kind::Addresses,
              "",
              "listeners of some replicas; their VMs are named by their IP "
              "addresses, and their framed listeners use the port of `listen`")
    .Optional("operator_http",
              Kind::Addresses,
              "",
              "HTTP listener for operators' calls, where the program has an "
              "interface for them")
    .Optional("metrics_http", Kind::Addresses, "", "HTTP listener for metrics");
  builder.Section("fleet")
    .Optional("vm_list",
              Kind::Addresses,
              "",
              "the platform's VM list, where workers come from one")
    .Optional(
      "list_interval",
      Kind::Duration,
      "1s",
      "between two readings of the VM list; with its lag well below the "
      "notice that leaving workers give")
    .Between(100 * kMillisecond, 60 * kSecond)
    .Optional("checks_fencing",
              Kind::Flag,
              "no",
              "whether workers refuse orders with an old fencing number")
    .Optional(
      "order_takeover_wait",
      Kind::Duration,
      "3s",
      "a new leader gives workers that check no fencing number no order "
      "for this long beyond the old leader's lease")
    .Between(0, 60 * kSecond)
    .Optional("load_share",
              Kind::Fraction,
              "0.17",
              "share of a model's engines that load weights at once, two at "
              "least; more at once load more slowly")
    .Optional("order_timeout",
              Kind::Duration,
              "3s",
              "an accepted order that is not seen to end within this failed")
    .Between(500 * kMillisecond, 600 * kSecond);
  builder.Section("replica.*")
    .Required("address",
              Kind::Address,
              "framed listener of the replica on the VM of this name, as "
              "reached from here");
  return builder.Build();
}

SettingsSpec
BuildEntry()
{
  SettingsSpec::Builder builder("fulmarquay-entry");
  builder.Section("entry");
  AddCommon(builder);
  builder.Required("http", Kind::Address, "HTTP listener for callers")
    .Optional(
      "control", Kind::Addresses, "", "framed listeners of control replicas")
    .Optional("control_seeds",
              Kind::Addresses,
              "",
              "any listeners of VMs with control replicas, whose framed "
              "listeners use the port of `listen`; the leader tells of others")
    .Optional("peers",
              Kind::Addresses,
              "",
              "framed listeners of the other entries of this data centre")
    .Optional("drain_delay",
              Kind::Duration,
              "1s",
              "after SIGTERM: time for the balancer to look elsewhere")
    .Between(0, 60 * kSecond)
    .Optional("drain_limit",
              Kind::Duration,
              "120s",
              "longest time for running requests after SIGTERM")
    .Between(kSecond, 3600 * kSecond)
    .Optional("body_limit", Kind::Size, "4MiB", "largest request body")
    .Between(1024, 64LL << 20U)
    .Optional("ready_http",
              Kind::Addresses,
              "",
              "HTTP listener for the balancer's question whether this entry is "
              "ready; any path")
    .Optional("metrics_http", Kind::Addresses, "", "HTTP listener for metrics")
    .Optional("configuration",
              Kind::Choice,
              "questionnaire",
              "what says which requests are served: accepted answers, or route "
              "documents with requests in the program's own format")
    .OneOf({ "questionnaire", "routes" })
    .Optional("key_revocation",
              Kind::Duration,
              "5s",
              "routes: a key that was taken away must be refused everywhere "
              "within this; an entry that does not reach the leader refuses "
              "all keys well before")
    .Between(500 * kMillisecond, 600 * kSecond)
    .Optional("heartbeat",
              Kind::Duration,
              "2s",
              "between two heartbeats to the leader on a steady link")
    .Between(100 * kMillisecond, 10 * kSecond)
    .Optional("weights_bound",
              Kind::Duration,
              "6s",
              "routes: requests must not begin on older weights from this long "
              "after newer ones were named")
    .Between(100 * kMillisecond, 3600 * kSecond)
    .Optional("retry_ratio",
              Kind::Fraction,
              "0.2",
              "routes: repeats to second workers that all entries together may "
              "send, as a share of the requests")
    .Optional("retry_slack",
              Kind::Integer,
              "20",
              "routes: repeats beyond retry_ratio in some ten seconds, of all "
              "entries together")
    .Between(0, 1'000'000)
    .Optional("descriptors",
              Kind::Integer,
              "8192",
              "open files and connections that the process may have; callers "
              "get half of them")
    .Between(64, 10'000'000)
    .Optional("restore_policy",
              Kind::Choice,
              "cost",
              "how prompts are placed; the others are baselines for "
              "experiments")
    .OneOf({ "cost", "always-recompute", "always-import", "engine-affinity" })
    .Optional("first_token_deadline",
              Kind::Duration,
              "10s",
              "a prompt that can't start within this is refused at once")
    .Between(100 * kMillisecond, 600 * kSecond);
  return builder.Build();
}

SettingsSpec
BuildStandin()
{
  SettingsSpec::Builder builder("fulmarquay-standin");
  builder.Section("standin")
    .Optional("log_format", Kind::Choice, "text", "how log lines look")
    .OneOf({ "text", "json" });
  builder.Section("engine.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional("weights", Kind::Name, "w1", "weight version at the start")
    .Optional(
      "cache_pieces", Kind::Integer, "64", "blocks that its cache holds")
    .Between(0, 1'000'000)
    .Optional("prefill_per_second", Kind::Integer, "20000", "prompt tokens")
    .Between(1, 100'000'000)
    .Optional("token_interval", Kind::Duration, "5ms", "between two tokens")
    .Between(0, 10 * kSecond)
    .Optional("slots", Kind::Integer, "8", "requests that it runs at once")
    .Between(1, 4096)
    .Optional("piece_tokens", Kind::Integer, "2048", "tokens of a block")
    .Between(16, 65536)
    .Optional("bytes_per_token", Kind::Integer, "64", "of a block in a store")
    .Between(1, 1'048'576)
    .Optional("event_lag", Kind::Duration, "20ms", "delay of cache events")
    .Between(0, 60 * kSecond)
    .Optional("checks_fencing", Kind::Flag, "no", "refuses old order numbers")
    .Optional("load_time", Kind::Duration, "250ms", "to load new weights")
    .Between(0, 600 * kSecond);
  builder.Section("store.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional("capacity", Kind::Size, "256MiB", "bytes of blocks")
    .Optional("link_per_second", Kind::Size, "64MiB", "speed of its link")
    .Between(1024, 1LL << 40U);
  builder.Section("service.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional("delay", Kind::Duration, "2ms", "before each answer")
    .Between(0, 600 * kSecond);
  builder.Section("relay.*")
    .Required("listen", Kind::Address, "TCP listener")
    .Required("target", Kind::Address, "where its connections lead");
  return builder.Build();
}

} // namespace

const SettingsSpec&
ControlSettings()
{
  static const SettingsSpec spec = BuildControl();
  return spec;
}

const SettingsSpec&
EntrySettings()
{
  static const SettingsSpec spec = BuildEntry();
  return spec;
}

const SettingsSpec&
StandinSettings()
{
  static const SettingsSpec spec = BuildStandin();
  return spec;
}

std::string
RenderSettingsPage()
{
  std::string page =
    "# Settings\n\nWritten by `make pages` from the code's tables; a test "
    "compares both. Each program checks its file with `--check-settings FILE` "
    "and names every wrong line in one run.\n\n";
  page += ControlSettings().RenderPage();
  page += EntrySettings().RenderPage();
  page += StandinSettings().RenderPage();
  page += QuestionnaireSpec().RenderPage();
  page.pop_back();
  return page;
}

} // namespace fulmarquay
