#include "fulmarquay/control/ConfigTable.h"
#include "fulmarquay/control/Configuration.h"
#include "fulmarquay/control/ControlMessages.h"
#include "fulmarquay/control/ControlState.h"
#include "fulmarquay/control/OnceTable.h"
#include "fulmarquay/control/ProgramSettings.h"
#include "fulmarquay/core/Digest.h"
#include "fulmarquay/core/Settings.h"

#include <random>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

const std::string kHash = Sha256Hex("key");

std::string
ValidAnswers()
{
  return "[deployment]\nname = d\n[account.a]\nkey_hash = " + kHash +
         "\n[model.m]\nweights = w1\n[engine.g]\naddress = 10.0.0.1:1\n"
         "data_centre = dc1\nmodel = m\n[service.till]\n"
         "addresses = 10.0.0.2:1\nonce_calls = deposit\n";
}

struct InvalidAnswers
{
  std::string m_added;
  const char* m_message;
};

const InvalidAnswers kInvalidAnswers[] = {
  { "[account.b]\nkey_hash = 12\n", "[account.b] key_hash" },
  { "[account.b]\nkey_hash = " + kHash + "\n", "the same key as account a" },
  { "[account.b]\n", "[account.b] key_hash: missing" },
  { "[engine.h]\naddress = 10.0.0.1:1\ndata_centre = d\nmodel = m\n",
    "[engine.h] address: the same as engine g" },
  { "[engine.h]\naddress = 10.0.0.1:2\ndata_centre = d\nmodel = x\n",
    "'x' has no [model.x] section" },
  { "[store.s]\naddress = 10.0.0.1:3\ndata_centre = d\ncapacity = 5\n",
    "[store.s] capacity" },
  { "[store.s]\naddress = 10.0.0.1:3\ndata_centre = d\ncapacity = 1GiB\n",
    "[store.s] link_per_second: missing" },
  { "[service.x]\naddresses = here\n", "[service.x] addresses" },
  { "[service.x]\naddresses =\n", "[service.x] addresses: empty" },
  { "[nonsense]\n", "[nonsense]: unknown section" },
};

SubmitCommand
Submit(const std::string& aId, std::uint64_t aBase, const std::string& aName)
{
  SubmitCommand command;
  command.m_submission = aId;
  command.m_operator = "by-" + aId;
  command.m_base = Revision(aBase);
  command.m_sections = CheckAnswers(ValidAnswers(), "f").All();
  command.m_sections["deployment"]["name"] = aName;
  return command;
}

BeginOnceCommand
Begin(std::uint64_t aBoot, std::uint64_t aAttempt, const char* aDigest = "d")
{
  BeginOnceCommand command;
  command.m_key = { AccountId("a"), "k" };
  command.m_digest = aDigest;
  command.m_entry = VmId("e" + std::to_string(aBoot));
  command.m_boot = BootId(aBoot);
  command.m_attempt = aAttempt;
  return command;
}

FinishOnceCommand
Finish(std::uint64_t aBoot, std::uint64_t aAttempt, OnceOutcome aOutcome)
{
  FinishOnceCommand command;
  command.m_key = { AccountId("a"), "k" };
  command.m_boot = BootId(aBoot);
  command.m_attempt = aAttempt;
  command.m_outcome = static_cast<std::uint8_t>(aOutcome);
  command.m_answer = { 200, "text/plain", "receipt" };
  return command;
}

} // namespace

Test(answers, each_wrong_answer_is_named)
{
  for (const InvalidAnswers& invalid : kInvalidAnswers) {
    std::string errors;
    try {
      CheckAnswers(ValidAnswers() + invalid.m_added, "f");
    } catch (const SettingsError& e) {
      errors = e.what();
    }
    cr_assert_neq(errors.find(invalid.m_message),
                  std::string::npos,
                  "want '%s', got '%s'",
                  invalid.m_message,
                  errors.c_str());
  }
}

Test(answers, examples_pass_the_check)
{
  for (const char* name : { "faroles", "tallinn" }) {
    const std::string file =
      std::string(FULMARQUAY_SOURCE_DIR) + "/examples/" + name + ".answers";
    const Settings answers = CheckAnswers(ReadWholeFile(file), file);
    const Configuration typed = BuildConfiguration(answers.All());
    cr_assert_eq(typed.m_accountsByKeyHash.size(), 10U);
    cr_assert_eq(typed.m_stores.size(), 2U);
  }
}

Test(answers, mutated_answers_are_refused_or_accepted)
{
  std::mt19937_64 random(8);
  for (int i = 0; i < 3000; ++i) {
    std::string text = ValidAnswers();
    for (int n = 0; n < 4; ++n) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    try {
      BuildConfiguration(CheckAnswers(text, "f").All());
    } catch (const SettingsError&) {
    }
  }
}

Test(settings_page, page_and_tables_agree)
{
  const std::string page =
    ReadWholeFile(std::string(FULMARQUAY_SOURCE_DIR) + "/docs/SETTINGS.md");
  cr_assert_eq(page, RenderSettingsPage(), "run `make pages`");
}

Test(configuration, conflicting_submission_is_refused_and_resend_is_idempotent)
{
  ConfigTable table;
  const SubmitResult first = table.Submit(Submit("one", 0, "x"));
  cr_assert(first.m_isAccepted);
  const SubmitResult second = table.Submit(Submit("two", 0, "y"));
  cr_assert_not(second.m_isAccepted);
  cr_assert_eq(second.m_conflictingOperator, "by-one");
  cr_assert_eq(second.m_revision, Revision(1));
  cr_assert(table.Submit(Submit("three", 1, "z")).m_isAccepted);
  cr_assert(table.Submit(Submit("one", 0, "x")) == first);
  cr_assert_eq(table.Current(), Revision(2));
  const SubmitResult late = table.Submit(Submit("four", 1, "q"));
  cr_assert(late.m_changed == std::vector<std::string>{ "deployment" });
}

Test(configuration, delta_from_any_revision_gives_the_current_sections)
{
  ConfigTable table;
  std::vector<ConfigSections> history = { {} };
  std::mt19937_64 random(2);
  for (std::uint64_t i = 0; i < 100; ++i) {
    SubmitCommand command = Submit("s" + std::to_string(i), i, "n");
    command.m_sections["account.x" + std::to_string(random() % 6)] = {
      { "key_hash", std::to_string(random()) }
    };
    cr_assert(table.Submit(command).m_isAccepted);
    history.push_back(table.Sections());
  }
  for (std::uint64_t held = 0; held <= 100; ++held) {
    ConfigSections sections = history[held];
    const ConfigDelta delta = table.DeltaFrom(Revision(held));
    ApplyDelta(sections, delta);
    cr_assert(sections == table.Sections());
  }
  ConfigDelta damaged = table.DeltaFrom(Revision(99));
  damaged.m_digest = "other";
  ConfigSections sections = history[99];
  cr_assert_throw(ApplyDelta(sections, damaged), Error);
  cr_assert(sections == history[99]);
}

Test(once, right_to_send_is_granted_to_one_attempt)
{
  OnceTable table;
  cr_assert_eq(table.Begin(Begin(1, 1)).Verdict(), OnceVerdict::Run);
  cr_assert_eq(table.Begin(Begin(1, 1)).Verdict(), OnceVerdict::Run);
  cr_assert_eq(table.Begin(Begin(1, 2)).Verdict(), OnceVerdict::Running);
  cr_assert_eq(table.Begin(Begin(2, 1)).Verdict(), OnceVerdict::Running);
  cr_assert_eq(table.Begin(Begin(2, 1, "x")).Verdict(), OnceVerdict::Mismatch);
  cr_assert_not(table.Finish(Finish(2, 1, OnceOutcome::Answered)));
  cr_assert(table.Finish(Finish(1, 1, OnceOutcome::Answered)));
  const BeginOnceResult stored = table.Begin(Begin(2, 2));
  cr_assert_eq(stored.Verdict(), OnceVerdict::Completed);
  cr_assert_eq(stored.m_answer.m_body, "receipt");
  cr_assert_not(table.Finish(Finish(1, 1, OnceOutcome::Unknown)));
  cr_assert_not(table.Finish(Finish(1, 1, OnceOutcome::NotRun)));
}

Test(once, call_reported_as_not_run_may_be_sent)
{
  OnceTable table;
  table.Begin(Begin(1, 1));
  cr_assert(table.Finish(Finish(1, 1, OnceOutcome::NotRun)));
  cr_assert_eq(table.Begin(Begin(2, 1)).Verdict(), OnceVerdict::Run);
}

Test(once, calls_of_a_lost_entry_become_unknown)
{
  OnceTable table;
  table.Begin(Begin(1, 1));
  MarkEntryLostCommand markLost;
  markLost.m_entry = VmId("e1");
  markLost.m_liveBoot = BootId(1);
  cr_assert(table.MarkEntryLost(markLost).empty(),
            "calls of the live boot stay");
  markLost.m_liveBoot = BootId(5);
  cr_assert_eq(table.MarkEntryLost(markLost).size(), 1U);
  cr_assert_eq(table.Begin(Begin(2, 1)).Verdict(), OnceVerdict::Unknown);
  // A late NotRun does not change the state; a late answer completes the call.
  cr_assert_not(table.Finish(Finish(1, 1, OnceOutcome::NotRun)));
  cr_assert(table.Finish(Finish(1, 1, OnceOutcome::Answered)));
  cr_assert_eq(table.Begin(Begin(2, 2)).Verdict(), OnceVerdict::Completed);
}

Test(once, retention_counts_from_the_last_request)
{
  OnceTable table;
  BeginOnceCommand begin = Begin(1, 1);
  begin.m_wallUs = 100;
  table.Begin(begin);
  cr_assert_eq(table.Prune({ 1000 }), 0U, "a running call stays");
  FinishOnceCommand finish = Finish(1, 1, OnceOutcome::Answered);
  finish.m_wallUs = 200;
  table.Finish(finish);
  cr_assert_eq(table.Prune({ 200 }), 0U);
  begin.m_wallUs = 500;
  begin.m_attempt = 2;
  table.Begin(begin);
  cr_assert_eq(table.Prune({ 500 }), 0U, "requested again");
  cr_assert_eq(table.Prune({ 501 }), 1U);
}

Test(state, snapshot_restores_the_whole_state)
{
  ControlState state;
  state.Apply(Submit("one", 0, "x"));
  state.Apply(Begin(1, 1));
  state.Apply(IssueOrderCommand{ EngineId("g"), "load", "w2" });
  ControlState copy;
  copy.Decode(state.Encode());
  cr_assert_eq(copy.Encode(), state.Encode());
  cr_assert_eq(copy.LastOrder(), 1U);
  cr_assert_eq(copy.Once().RunningCalls().size(), 1U);
}

Test(messages, damaged_messages_decode_or_throw_error)
{
  SubmitRequest request;
  request.m_answers = ValidAnswers();
  const std::string valid = PackMessage(ControlMessage(request));
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid;
    for (int n = 0; n < 3; ++n) {
      bytes[random() % 40] = static_cast<char>(random());
    }
    try {
      UnpackMessage<ControlMessage>(bytes);
    } catch (const Error&) {
    }
  }
}
