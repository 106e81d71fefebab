#include "fulmarquay/control/ProgramSettings.h"

#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/core/SettingsSpec.h"

namespace fulmarquay {

namespace {

using Kind = SettingKind;

constexpr std::int64_t kMillisecondUs = 1'000;
constexpr std::int64_t kSecondUs = 1'000'000;

void
AddCommonKeys(SettingsSpec::Builder& aBuilder)
{
  aBuilder.Required("vm", Kind::Name, "the name of this VM")
    .Required("data_centre", Kind::Name, "the data centre of this VM")
    .Required("listen", Kind::Address, "framed listener for other processes")
    .Optional("log_format", Kind::Choice, "text", "format of log lines")
    .OneOf({ "text", "json" })
    .Optional("framing_limit",
              Kind::Size,
              "64KiB",
              "largest size of the chunk extensions and trailers of one HTTP "
              "request")
    .Between(1024, 1LL << 20U)
    .Optional("framing_limit_all",
              Kind::Size,
              "16MiB",
              "largest size of what all HTTP connections hold outside bodies; "
              "above it those with most are closed")
    .Between(1LL << 20U, 256LL << 20U);
}

SettingsSpec
BuildControlSpec()
{
  SettingsSpec::Builder builder("fulmarquay-control");
  builder.Section("control");
  AddCommonKeys(builder);
  builder
    .Required(
      "data_folder", Kind::Path, "folder of all durable state, on a state disk")
    .Optional("election_timeout",
              Kind::Duration,
              "400ms",
              "a follower starts an election after one to two times this "
              "without contact from its leader; the same on all replicas")
    .Between(50 * kMillisecondUs, 10 * kSecondUs)
    .Optional("heartbeat",
              Kind::Duration,
              "60ms",
              "interval of the leader's heartbeats")
    .Between(5 * kMillisecondUs, 5 * kSecondUs)
    .Optional("entry_lease",
              Kind::Duration,
              "5s",
              "an entry without a heartbeat for this long counts as lost")
    .Between(500 * kMillisecondUs, 60 * kSecondUs)
    .Optional("snapshot_entries",
              Kind::Integer,
              "20000",
              "log entries between two snapshots")
    .Between(10, 10'000'000)
    .Optional("tolerated_losses",
              Kind::Number,
              "0",
              "control VMs whose disks may be lost at the same time; no silent "
              "voter is removed that this requires; 0: what a group of the "
              "configured replicas can lose; the same on all replicas")
    .Between(0, 10);
  builder
    .Optional(
      "bootstrap",
      Kind::Flag,
      "no",
      "form a new control group from the seeds if the data folder is empty; "
      "yes only at the first start of the whole deployment")
    .Optional("seeds",
              Kind::Addresses,
              "",
              "listeners of some replicas; their VMs are named by their IP "
              "addresses, and their framed listeners use the port of `listen`")
    .Optional("operator_http",
              Kind::Addresses,
              "",
              "HTTP listener for operators' requests, in programs that have "
              "such an interface")
    .Optional("metrics_http", Kind::Addresses, "", "HTTP listener for metrics");
  builder.Section("fleet")
    .Optional("vm_list",
              Kind::Addresses,
              "",
              "the platform's VM list, if workers are taken from one")
    .Optional(
      "list_interval",
      Kind::Duration,
      "1s",
      "interval between reads of the VM list; together with the lag of the "
      "list well below the notice period of leaving workers")
    .Between(100 * kMillisecondUs, 60 * kSecondUs)
    .Optional("checks_fencing",
              Kind::Flag,
              "no",
              "whether workers refuse orders with an old fencing number")
    .Optional(
      "order_takeover_wait",
      Kind::Duration,
      "3s",
      "how long after the end of the old leader's lease a new leader sends "
      "no order to workers that do not check fencing numbers")
    .Between(0, 60 * kSecondUs)
    .Optional("load_share",
              Kind::Fraction,
              "0.17",
              "share of a model's engines that load weights concurrently, at "
              "least two engines; more concurrent loads are slower")
    .Optional(
      "order_timeout",
      Kind::Duration,
      "3s",
      "an accepted order not observed to end within this counts as failed")
    .Between(500 * kMillisecondUs, 600 * kSecondUs);
  builder.Section("replica.*")
    .Required("address",
              Kind::Address,
              "framed listener of the replica on the VM of this name, as "
              "reachable from this VM");
  return builder.Build();
}

SettingsSpec
BuildEntrySpec()
{
  SettingsSpec::Builder builder("fulmarquay-entry");
  builder.Section("entry");
  AddCommonKeys(builder);
  builder.Required("http", Kind::Address, "HTTP listener for callers")
    .Optional(
      "control", Kind::Addresses, "", "framed listeners of control replicas")
    .Optional("control_seeds",
              Kind::Addresses,
              "",
              "any listeners of VMs with control replicas, whose framed "
              "listeners use the port of `listen`; further replicas are "
              "learned from the leader")
    .Optional("regions",
              Kind::Pairs,
              "",
              "routes: the region of each data centre, DATA_CENTRE=REGION; a "
              "data centre without one handles no request of a route or an "
              "account with allowed regions; read again at SIGHUP")
    .Optional("peers",
              Kind::Addresses,
              "",
              "framed listeners of the other entries of this data centre")
    .Optional(
      "drain_delay",
      Kind::Duration,
      "1s",
      "time after SIGTERM for the load balancer to stop sending requests")
    .Between(0, 60 * kSecondUs)
    .Optional("drain_limit",
              Kind::Duration,
              "120s",
              "longest time for running requests to end after SIGTERM")
    .Between(kSecondUs, 3600 * kSecondUs)
    .Optional("body_limit", Kind::Size, "4MiB", "largest request body")
    .Between(1024, 64LL << 20U)
    .Optional("ready_http",
              Kind::Addresses,
              "",
              "HTTP listener for the load balancer's readiness check; any "
              "path")
    .Optional("relay_http",
              Kind::Addresses,
              "",
              "routes: HTTP listener for requests that other entries pass on "
              "while they reach no worker; only other entries may reach it")
    .Optional("metrics_http", Kind::Addresses, "", "HTTP listener for metrics")
    .Optional("configuration",
              Kind::Choice,
              "questionnaire",
              "source of the configuration: accepted answers, or route "
              "documents, with requests in the program's own format")
    .OneOf({ "questionnaire", "routes" })
    .Optional(
      "key_revocation",
      Kind::Duration,
      "5s",
      "routes: a revoked key must be refused by all entries within this "
      "time; an entry that can't reach the leader refuses all keys well "
      "before it ends")
    .Between(500 * kMillisecondUs, 600 * kSecondUs)
    .Optional("heartbeat",
              Kind::Duration,
              "2s",
              "interval of heartbeats to the leader on a stable connection")
    .Between(100 * kMillisecondUs, 10 * kSecondUs)
    .Optional("weights_bound",
              Kind::Duration,
              "6s",
              "routes: no request may start on older weights later than this "
              "after newer ones were named")
    .Between(100 * kMillisecondUs, 3600 * kSecondUs)
    .Optional("retry_ratio",
              Kind::Fraction,
              "0.2",
              "routes: budget of all entries together for retries at a second "
              "worker, as a share of the requests")
    .Optional("retry_slack",
              Kind::Number,
              "20",
              "routes: retries beyond retry_ratio in about ten seconds, of all "
              "entries together")
    .Between(0, 1'000'000)
    .Optional("descriptors",
              Kind::Number,
              "8192",
              "limit of open files and connections of the process; half of "
              "them are available to callers")
    .Between(64, 10'000'000)
    .Optional("restore_policy",
              Kind::Choice,
              "cost",
              "placement policy for prompts; all but `cost` are baselines for "
              "experiments")
    .OneOf({ "cost", "always-recompute", "always-import", "engine-affinity" })
    .Optional(
      "first_token_deadline",
      Kind::Duration,
      "10s",
      "a prompt whose first token is expected later than this is refused "
      "at once")
    .Between(100 * kMillisecondUs, 600 * kSecondUs);
  return builder.Build();
}

SettingsSpec
BuildStandinSpec()
{
  SettingsSpec::Builder builder("fulmarquay-standin");
  builder.Section("standin")
    .Optional("log_format", Kind::Choice, "text", "format of log lines")
    .OneOf({ "text", "json" });
  builder.Section("engine.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional("weights", Kind::Name, "w1", "weight version at the start")
    .Optional(
      "cache_pieces", Kind::Integer, "64", "capacity of its cache in blocks")
    .Between(0, 1'000'000)
    .Optional("prefill_per_second",
              Kind::Integer,
              "20000",
              "prompt tokens computed per second")
    .Between(1, 100'000'000)
    .Optional(
      "token_interval", Kind::Duration, "5ms", "interval between tokens")
    .Between(0, 10 * kSecondUs)
    .Optional("slots", Kind::Integer, "8", "limit of concurrent requests")
    .Between(1, 4096)
    .Optional("piece_tokens", Kind::Integer, "2048", "tokens per block")
    .Between(16, 65536)
    .Optional("bytes_per_token",
              Kind::Integer,
              "64",
              "bytes per token of a stored block")
    .Between(1, 1'048'576)
    .Optional("event_lag", Kind::Duration, "20ms", "delay of cache events")
    .Between(0, 60 * kSecondUs)
    .Optional("checks_fencing",
              Kind::Flag,
              "no",
              "whether it refuses old order numbers")
    .Optional("load_time", Kind::Duration, "250ms", "time to load new weights")
    .Between(0, 600 * kSecondUs);
  builder.Section("store.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional(
      "capacity", Kind::Size, "256MiB", "limit of stored blocks, in bytes")
    .Optional("link_per_second",
              Kind::Size,
              "64MiB",
              "bandwidth of its link per second")
    .Between(1024, 1LL << 40U);
  builder.Section("service.*")
    .Required("listen", Kind::Address, "HTTP listener")
    .Optional("delay", Kind::Duration, "2ms", "delay before each answer")
    .Between(0, 600 * kSecondUs);
  builder.Section("relay.*")
    .Required("listen", Kind::Address, "TCP listener")
    .Required(
      "target", Kind::Address, "address that its connections are forwarded to");
  return builder.Build();
}

} // namespace

const SettingsSpec&
ControlSettings()
{
  static const SettingsSpec spec = BuildControlSpec();
  return spec;
}

const SettingsSpec&
EntrySettings()
{
  static const SettingsSpec spec = BuildEntrySpec();
  return spec;
}

const SettingsSpec&
StandinSettings()
{
  static const SettingsSpec spec = BuildStandinSpec();
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
