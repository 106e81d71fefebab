#include "fulmarquay/control/Rollout.h"

#include <algorithm>
#include <random>
#include <set>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint(Duration(1'000'000'000 + aMillis * 1000));
}

/// Simulated engines that execute the rollout's orders. Loads may fail, and
/// answers may be lost.
class SimulatedFleet
{
public:
  SimulatedFleet(int aEngines, bool aChecksFencing, std::uint64_t aSeed)
    : m_random(aSeed)
  {
    ModelConfig model;
    model.m_name = "m";
    model.m_weights = "w1";
    model.m_target = "w2";
    m_configuration.m_models["m"] = model;
    for (int i = 0; i < aEngines; ++i) {
      const EngineId id("g" + std::to_string(i));
      EngineConfig engine;
      engine.m_id = id;
      engine.m_models["m"];
      engine.m_checksFencing = aChecksFencing;
      m_configuration.m_engines[id] = engine;
      m_weights[id] = "w1";
    }
    m_rollout.Start(At(0), Duration(400'000));
  }

  /// Runs until all engines have the target, or for aMillis. Returns the first
  /// violated limit, or an empty string.
  std::string Run(std::int64_t aMillis,
                  double aLostAnswerShare,
                  bool aLoadsFail)
  {
    for (m_now = 0; m_now < aMillis && !IsFinished(); m_now += 100) {
      CompleteDue();
      Execute(m_rollout.Step(At(m_now), m_configuration),
              aLostAnswerShare,
              aLoadsFail);
      if (static_cast<int>(m_loading.size()) >
          RolloutOptions().m_maxConcurrentLoads) {
        return "too many loads at once";
      }
      const auto serving = std::count_if(
        m_weights.begin(), m_weights.end(), [&](const auto& aEach) {
          return aEach.second == m_configuration.m_models["m"].m_weights &&
                 m_loading.count(aEach.first) == 0;
        });
      // Half is rounded down: between the states (2 old, 1 new) and (1 old,
      // 2 new) of three engines, one is loading and each version has one.
      if (serving < static_cast<long>(m_weights.size() / 2)) {
        return "less than half of the engines can serve";
      }
    }
    return "";
  }

  bool IsFinished() const
  {
    return m_configuration.m_models.at("m").m_weights == "w2" &&
           std::all_of(m_weights.begin(),
                       m_weights.end(),
                       [](const auto& aEach) { return aEach.second == "w2"; });
  }

  std::int64_t Now() const { return m_now; }
  std::int64_t FirstOrder() const { return m_firstOrder; }
  std::size_t Orders() const { return m_numbers.size(); }
  const Rollout& RolloutUnderTest() const { return m_rollout; }

private:
  void CompleteDue()
  {
    for (auto it = m_loading.begin(); it != m_loading.end();) {
      if (m_now >= it->second) {
        m_weights[it->first] = "w2";
        it = m_loading.erase(it);
      } else {
        ++it;
      }
    }
    for (auto it = m_answers.begin(); it != m_answers.end();) {
      if (m_now >= it->second.first) {
        m_rollout.OnOrderEnded(At(m_now), it->first, it->second.second);
        it = m_answers.erase(it);
      } else {
        ++it;
      }
    }
  }

  void Execute(const std::vector<RolloutAction>& aActions,
               double aLostAnswerShare,
               bool aLoadsFail)
  {
    for (const RolloutAction& action : aActions) {
      if (const auto* observe = std::get_if<ObserveEngine>(&action)) {
        m_rollout.OnObserved(At(m_now),
                             observe->m_engine,
                             { { { "m", m_weights[observe->m_engine] } } });
      } else if (const auto* request =
                   std::get_if<RequestOrderNumber>(&action)) {
        const std::uint64_t number = m_numbers.size() + 1;
        m_numbers.insert(number);
        Execute(m_rollout.OnOrderNumberAssigned(
                  At(m_now), request->m_engine, request->m_target, number),
                aLostAnswerShare,
                aLoadsFail);
      } else if (const auto* send = std::get_if<SendOrder>(&action)) {
        m_firstOrder = m_firstOrder < 0 ? m_now : m_firstOrder;
        const bool isLost =
          static_cast<double>(m_random() % 1000) < aLostAnswerShare * 1000;
        if (aLoadsFail) {
          m_answers[send->m_engine] = { m_now + 100, OrderOutcome::Failed };
          continue;
        }
        m_loading[send->m_engine] = m_now + 300;
        m_answers[send->m_engine] = { isLost ? m_now + 10'000 : m_now + 300,
                                      isLost ? OrderOutcome::Failed
                                             : OrderOutcome::Done };
      } else {
        const auto& change = std::get<SwitchWeights>(action);
        m_configuration.m_models[change.m_model].m_weights = change.m_weights;
      }
    }
  }

  std::mt19937_64 m_random;
  Rollout m_rollout;
  Configuration m_configuration;
  std::map<EngineId, std::string> m_weights;
  std::map<EngineId, std::int64_t> m_loading;
  std::map<EngineId, std::pair<std::int64_t, OrderOutcome>> m_answers;
  std::set<std::uint64_t> m_numbers;
  std::int64_t m_now = 0;
  std::int64_t m_firstOrder = -1;
};

} // namespace

Test(rollout, stages_limit_loads_and_keep_half_of_the_engines)
{
  for (const int engines : { 1, 2, 3, 7, 20 }) {
    for (const double lost : { 0.0, 0.3 }) {
      SimulatedFleet fleet(engines, true, 5);
      cr_assert_eq(fleet.Run(1'200'000, lost, false), "");
      cr_assert(fleet.IsFinished(), "%d engines", engines);
    }
  }
}

Test(rollout, waits_for_earlier_orders_if_engines_ignore_fencing)
{
  SimulatedFleet checks(4, true, 1);
  checks.Run(60'000, 0, false);
  cr_assert_lt(checks.FirstOrder(), 2'000);
  SimulatedFleet ignores(4, false, 1);
  ignores.Run(60'000, 0, false);
  cr_assert_geq(ignores.FirstOrder(), 10'400);
}

Test(rollout, lost_answer_is_resolved_by_observation)
{
  // Each engine loads although its answer is lost, so no second order is
  // needed.
  SimulatedFleet fleet(6, true, 1);
  cr_assert_eq(fleet.Run(1'200'000, 1.0, false), "");
  cr_assert(fleet.IsFinished());
  cr_assert_eq(fleet.Orders(), 6U);
}

Test(rollout, failing_engines_stop_the_rollout_and_are_reported)
{
  SimulatedFleet fleet(6, true, 1);
  cr_assert_eq(fleet.Run(200'000, 0, true), "");
  cr_assert_not(fleet.IsFinished());
  cr_assert_eq(fleet.RolloutUnderTest().GivenUpEngines().size(), 6U);
  cr_assert_eq(fleet.Orders(),
               std::size_t{ 6 } * RolloutOptions().m_maxFailures);
}

namespace {

/// One engine with version 1 and target version 2.
struct SingleEngineSetup
{
  SingleEngineSetup()
  {
    m_engine.m_id = EngineId("e");
    m_engine.m_models["m"] = "1";
    m_desired.m_models["m"] = { "m", "2", "2", "" };
    m_desired.m_engines[m_engine.m_id] = m_engine;
    m_options.m_takeoverWait = Duration(1);
  }

  EngineConfig m_engine;
  Configuration m_desired;
  RolloutOptions m_options;
};

} // namespace

Test(rollout, accepted_order_ends_when_the_target_is_observed)
{
  const SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  const auto step = [&](std::int64_t aNow) {
    return rollout.Step(At(aNow), setup.m_desired);
  };
  // No order is sent before the engine has reported its order count.
  cr_assert(std::holds_alternative<ObserveEngine>(step(10).at(0)));
  rollout.OnObserved(
    At(20), setup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
  cr_assert(std::holds_alternative<RequestOrderNumber>(step(30).at(0)));
  const auto send =
    rollout.OnOrderNumberAssigned(At(40), setup.m_engine.m_id, "2", 9);
  cr_assert_eq(std::get<SendOrder>(send.at(0)).m_sequence, 4);
  rollout.OnOrderEnded(At(50), setup.m_engine.m_id, OrderOutcome::Accepted);
  cr_assert(step(60).empty(), "one order at a time");
  rollout.OnObserved(
    At(250), setup.m_engine.m_id, { { { "m", "1" } }, true, 5 });
  rollout.OnObserved(
    At(400), setup.m_engine.m_id, { { { "m", "1" } }, false, 5 });
  cr_assert(std::holds_alternative<ObserveEngine>(step(410).at(0)),
            "reports lag: it may still be loading");
  rollout.OnObserved(
    At(600), setup.m_engine.m_id, { { { "m", "2" } }, false, 5 });
  cr_assert(step(610).empty(), "has its target");
}

Test(rollout, failed_order_is_repeated_only_after_an_observation)
{
  const SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  rollout.Step(At(10), setup.m_desired);
  rollout.OnObserved(
    At(20), setup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
  rollout.Step(At(30), setup.m_desired);
  rollout.OnOrderNumberAssigned(At(40), setup.m_engine.m_id, "2", 9);
  rollout.OnOrderEnded(At(50), setup.m_engine.m_id, OrderOutcome::Failed);
  cr_assert(rollout.Step(At(100), setup.m_desired).empty());
  const auto actions = rollout.Step(At(500), setup.m_desired);
  cr_assert_eq(actions.size(), 1U);
  cr_assert(std::holds_alternative<ObserveEngine>(actions.at(0)));
  rollout.OnObserved(
    At(510), setup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
  cr_assert(std::holds_alternative<RequestOrderNumber>(
    rollout.Step(At(520), setup.m_desired).at(0)));
}

Test(rollout, newer_weights_reach_an_engine_that_was_loading_older_ones)
{
  SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  rollout.Step(At(10), setup.m_desired);
  rollout.OnObserved(
    At(20), setup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
  rollout.Step(At(30), setup.m_desired);
  rollout.OnOrderNumberAssigned(At(40), setup.m_engine.m_id, "2", 9);
  rollout.OnOrderEnded(At(50), setup.m_engine.m_id, OrderOutcome::Accepted);
  // Other engines' loads reach the limit of concurrent loads for a while.
  setup.m_desired.m_models["m"] = { "m", "3", "3", "" };
  rollout.OnObserved(
    At(300), setup.m_engine.m_id, { { { "m", "2" } }, false, 5 });
  bool isOrdered = false;
  for (std::int64_t now = 5'000; now < 8'000 && !isOrdered; now += 50) {
    for (const RolloutAction& action : rollout.Step(At(now), setup.m_desired)) {
      isOrdered |= std::holds_alternative<RequestOrderNumber>(action);
      if (std::holds_alternative<ObserveEngine>(action)) {
        rollout.OnObserved(
          At(now), setup.m_engine.m_id, { { { "m", "2" } }, false, 5 });
      }
    }
  }
  cr_assert(isOrdered);
}

Test(rollout, an_engine_whose_orders_failed_is_ordered_again_later)
{
  const SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  int orders = 0;
  std::int64_t lastOrder = 0;
  for (std::int64_t now = 50; now < 30'000; now += 50) {
    for (const RolloutAction& action : rollout.Step(At(now), setup.m_desired)) {
      if (std::holds_alternative<ObserveEngine>(action)) {
        rollout.OnObserved(
          At(now), setup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
        continue;
      }
      ++orders;
      lastOrder = now;
      rollout.OnOrderNumberAssigned(At(now), setup.m_engine.m_id, "2", 9);
      rollout.OnOrderEnded(At(now), setup.m_engine.m_id, OrderOutcome::Failed);
    }
  }
  cr_assert_geq(lastOrder, 20'000, "%lld", static_cast<long long>(lastOrder));
  cr_assert_leq(orders, 12, "%d", orders);
  cr_assert_eq(rollout.GivenUpEngines().size(), 1U);
}

Test(rollout, an_order_number_that_never_comes_does_not_block_the_rollout)
{
  SingleEngineSetup setup;
  setup.m_options.m_maxConcurrentLoads = 1;
  EngineConfig other = setup.m_engine;
  other.m_id = EngineId("f");
  setup.m_desired.m_engines[other.m_id] = other;
  setup.m_desired.m_models["m"] = { "m", "3", "2", "" };
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  int requests = 0;
  for (std::int64_t now = 50; now < 4'000; now += 50) {
    for (const RolloutAction& action : rollout.Step(At(now), setup.m_desired)) {
      if (const auto* observe = std::get_if<ObserveEngine>(&action)) {
        rollout.OnObserved(
          At(now), observe->m_engine, { { { "m", "1" } }, false, 4 });
      }
      requests += std::holds_alternative<RequestOrderNumber>(action) ? 1 : 0;
    }
  }
  cr_assert_geq(requests, 2, "%d", requests);
}

namespace {

/// Rejects orders to the engine until a time. Returns how many orders it got
/// from then on.
int
CountLaterOrders(Rollout& aRollout,
                 const SingleEngineSetup& aSetup,
                 std::int64_t aFrom,
                 std::int64_t aUntil,
                 int aRejected)
{
  int rejected = 0;
  int later = 0;
  for (std::int64_t now = aFrom; now < aUntil; now += 50) {
    for (const RolloutAction& action :
         aRollout.Step(At(now), aSetup.m_desired)) {
      if (std::holds_alternative<ObserveEngine>(action)) {
        aRollout.OnObserved(
          At(now), aSetup.m_engine.m_id, { { { "m", "1" } }, false, 4 });
      }
      if (const auto* request = std::get_if<RequestOrderNumber>(&action)) {
        aRollout.OnOrderNumberAssigned(
          At(now), aSetup.m_engine.m_id, request->m_target, 9);
        aRollout.OnOrderEnded(
          At(now), aSetup.m_engine.m_id, OrderOutcome::Failed);
        ++(rejected < aRejected ? rejected : later);
      }
    }
  }
  return later;
}

} // namespace

Test(rollout, an_engine_that_rejected_orders_for_a_while_gets_one_later)
{
  const SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  cr_assert_gt(CountLaterOrders(rollout, setup, 10, 60'000, 3), 0);
}

Test(rollout, failed_loads_of_older_weights_do_not_count_for_newer_ones)
{
  SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  CountLaterOrders(rollout, setup, 10, 10'000, 3);
  setup.m_desired.m_models["m"] = { "m", "3", "3", "" };
  // One rejection is followed by another order.
  cr_assert_gt(CountLaterOrders(rollout, setup, 10'000, 20'000, 1), 0);
}

Test(rollout, an_engine_that_accepts_orders_in_vain_is_not_ordered_without_end)
{
  const SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  int orders = 0;
  for (std::int64_t now = 50; now < 30'000; now += 50) {
    for (const RolloutAction& action : rollout.Step(At(now), setup.m_desired)) {
      if (std::holds_alternative<ObserveEngine>(action)) {
        rollout.OnObserved(At(now),
                           setup.m_engine.m_id,
                           { { { "m", "1" } }, false, 4 + orders });
        continue;
      }
      ++orders;
      rollout.OnOrderNumberAssigned(At(now), setup.m_engine.m_id, "2", 9);
      rollout.OnOrderEnded(
        At(now), setup.m_engine.m_id, OrderOutcome::Accepted);
    }
  }
  cr_assert_leq(orders, 12, "%d", orders);
}

Test(rollout, slow_loads_that_reach_their_target_are_no_failures)
{
  SingleEngineSetup setup;
  Rollout rollout(setup.m_options);
  rollout.Start(At(0), Duration(0));
  std::string weights = "1";
  std::string loading;
  std::int64_t loadedAt = 0;
  std::int64_t sequence = 0;
  for (std::int64_t now = 50; now < 100'000; now += 50) {
    if (now % 25'000 == 0) {
      const std::string target = std::to_string(2 + now / 25'000);
      setup.m_desired.m_models["m"] = { "m", target, target, "" };
    }
    if (!loading.empty() && now >= loadedAt) {
      weights = std::exchange(loading, "");
    }
    for (const RolloutAction& action : rollout.Step(At(now), setup.m_desired)) {
      if (std::holds_alternative<ObserveEngine>(action)) {
        rollout.OnObserved(
          At(now),
          setup.m_engine.m_id,
          { { { "m", weights } }, !loading.empty(), sequence });
      } else if (const auto* request =
                   std::get_if<RequestOrderNumber>(&action)) {
        rollout.OnOrderNumberAssigned(
          At(now), setup.m_engine.m_id, request->m_target, 9);
        rollout.OnOrderEnded(
          At(now), setup.m_engine.m_id, OrderOutcome::Accepted);
        loading = request->m_target;
        loadedAt = now + 12'000;
        ++sequence;
      }
    }
  }
  cr_assert_eq(weights, "5");
  cr_assert(rollout.GivenUpEngines().empty());
}
