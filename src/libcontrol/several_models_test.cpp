// Weight rollouts at workers that serve several models.
#include "fulmarquay/control/Rollout.h"

#include <map>
#include <set>
#include <string>

// Included last because its macros clash with names in other headers.
#include <criterion/criterion.h>

using namespace fulmarquay;

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint(Duration(1'000'000'000 + aMillis * 1000));
}

/// Workers of models "a" and "b" that execute one order at a time and count
/// the accepted ones.
class WorkersOfTwoModels
{
public:
  explicit WorkersOfTwoModels(int aWorkers)
  {
    for (int i = 0; i < aWorkers; ++i) {
      const EngineId id("w" + std::to_string(i));
      m_workers[id].m_versions = { { "a", "1" }, { "b", "1" } };
      EngineConfig& config = m_desired.m_engines[id];
      config.m_id = id;
      config.m_models = m_workers[id].m_versions;
    }
    m_rollout.Start(At(0), Duration(0));
  }

  void Name(const std::string& aModel, const std::string& aVersion)
  {
    m_desired.m_models[aModel] = { aModel, aVersion, aVersion, "" };
  }

  /// Plays until aUntil. Answers of orders for a model in aLost do not arrive
  /// although the order is executed; those in aRejected are rejected.
  void Play(std::int64_t aUntil,
            const std::set<std::string>& aLost = {},
            const std::set<std::string>& aRejected = {})
  {
    for (; m_now < aUntil; m_now += 50) {
      for (const RolloutAction& action : m_rollout.Step(At(m_now), m_desired)) {
        if (const auto* observe = std::get_if<ObserveEngine>(&action)) {
          Observe(observe->m_engine);
        } else if (const auto* request =
                     std::get_if<RequestOrderNumber>(&action)) {
          Order(*request, aLost, aRejected);
        }
      }
    }
  }

  /// How many workers have a version of a model.
  int Count(const std::string& aModel, const std::string& aVersion) const
  {
    int count = 0;
    for (const auto& [id, worker] : m_workers) {
      count += worker.m_versions.at(aModel) == aVersion ? 1 : 0;
    }
    return count;
  }

  /// Restarts a worker with given versions; its order count starts anew.
  void Restart(const EngineId& aId, std::map<std::string, std::string> aHas)
  {
    m_workers[aId] = Worker();
    m_workers[aId].m_versions = aHas;
    m_desired.m_engines[aId].m_models = std::move(aHas);
  }

  bool HasOverlapped() const { return m_hasOverlapped; }
  std::int64_t Now() const { return m_now; }
  Configuration m_desired;
  Rollout m_rollout{ Options() };

private:
  struct Worker
  {
    std::map<std::string, std::string> m_versions;
    std::string m_model; ///< being loaded
    std::string m_target;
    std::int64_t m_loadedAt = 0;
    std::int64_t m_sequence = 0;
  };

  static RolloutOptions Options()
  {
    RolloutOptions options;
    options.m_takeoverWait = Duration(1);
    options.m_orderTimeout = Duration(3'000'000);
    options.m_maxFailures = 1'000'000;
    return options;
  }

  void Update(Worker& aWorker) const
  {
    if (!aWorker.m_model.empty() && m_now >= aWorker.m_loadedAt) {
      aWorker.m_versions[aWorker.m_model] = aWorker.m_target;
      aWorker.m_model.clear();
    }
  }

  void Observe(const EngineId& aId)
  {
    Worker& worker = m_workers.at(aId);
    Update(worker);
    m_rollout.OnObserved(
      At(m_now),
      aId,
      { worker.m_versions, !worker.m_model.empty(), worker.m_sequence });
  }

  void Order(const RequestOrderNumber& aRequest,
             const std::set<std::string>& aLost,
             const std::set<std::string>& aRejected)
  {
    Worker& worker = m_workers.at(aRequest.m_engine);
    Update(worker);
    const auto send = m_rollout.OnOrderNumberAssigned(
      At(m_now), aRequest.m_engine, aRequest.m_target, ++m_number);
    cr_assert_eq(send.size(), 1U);
    const SendOrder& order = std::get<SendOrder>(send.front());
    m_hasOverlapped = m_hasOverlapped || !worker.m_model.empty();
    OrderOutcome outcome = OrderOutcome::Failed;
    const bool isCurrent = order.m_sequence == worker.m_sequence;
    if (isCurrent && aRejected.count(order.m_model) == 0) {
      ++worker.m_sequence;
      worker.m_model = order.m_model;
      worker.m_target = order.m_target;
      worker.m_loadedAt = m_now + 600;
      outcome = aLost.count(order.m_model) == 0 ? OrderOutcome::Accepted
                                                : OrderOutcome::Failed;
    }
    m_rollout.OnOrderEnded(At(m_now), aRequest.m_engine, outcome);
  }

  std::map<EngineId, Worker> m_workers;
  std::int64_t m_now = 0;
  std::uint64_t m_number = 0;
  bool m_hasOverlapped = false;
};

} // namespace

// Guards against keeping one model a worker: all others were never loaded.
Test(several_models, each_named_model_is_loaded)
{
  WorkersOfTwoModels workers(6);
  workers.Name("a", "2");
  workers.Play(1'000);
  workers.Name("b", "2");
  workers.Play(9'000);
  cr_assert_eq(workers.Count("a", "2"), 6);
  cr_assert_eq(workers.Count("b", "2"), 6);
  cr_assert_not(workers.HasOverlapped(), "one order at a time");
}

// Guards against a failing load of one model that holds up the other one.
Test(several_models, rejected_orders_for_one_do_not_hold_up_the_other)
{
  for (const std::string rejected : { "a", "b" }) {
    const std::string other = rejected == "a" ? "b" : "a";
    WorkersOfTwoModels workers(6);
    workers.Name("a", "2");
    workers.Name("b", "2");
    workers.Play(9'000, {}, { rejected });
    cr_assert_eq(workers.Count(other, "2"), 6, "%s", rejected.c_str());
    workers.Play(18'000);
    cr_assert_eq(workers.Count(rejected, "2"), 6, "%s", rejected.c_str());
  }
}

// Guards against taking one model's lost answer for a state of the worker.
Test(several_models, lost_answers_for_one_do_not_hold_up_the_other)
{
  WorkersOfTwoModels workers(6);
  workers.Name("a", "2");
  workers.Name("b", "2");
  workers.Play(12'000, { "a" });
  cr_assert_eq(workers.Count("a", "2"), 6);
  cr_assert_eq(workers.Count("b", "2"), 6);
}

// Guards against a change of leader between the orders for two models.
Test(several_models, a_new_leader_continues_with_the_other_model)
{
  WorkersOfTwoModels workers(4);
  workers.Name("a", "2");
  workers.Name("b", "2");
  workers.Play(900);
  workers.m_rollout.Start(At(workers.Now()), Duration(400'000));
  workers.Play(9'000);
  cr_assert_eq(workers.Count("a", "2"), 4);
  cr_assert_eq(workers.Count("b", "2"), 4);
}

// Guards against losing one of the models of a worker that starts again.
Test(several_models, a_restarted_worker_gets_both_again)
{
  WorkersOfTwoModels workers(4);
  workers.Name("a", "2");
  workers.Name("b", "2");
  workers.Play(9'000);
  workers.Restart(EngineId("w1"), { { "a", "1" }, { "b", "1" } });
  workers.Play(20'000);
  cr_assert_eq(workers.Count("a", "2"), 4);
  cr_assert_eq(workers.Count("b", "2"), 4);
}

// Guards against a limit of loads that one model's workers take from another's.
Test(several_models, many_workers_of_one_do_not_hold_up_few_of_another)
{
  WorkersOfTwoModels workers(20);
  int i = 0;
  for (auto& [id, config] : workers.m_desired.m_engines) {
    config.m_models.erase(++i <= 18 ? "b" : "a");
  }
  workers.Name("a", "2");
  workers.Name("b", "2");
  workers.Play(1'500);
  cr_assert_eq(workers.Count("b", "2"), 2);
}

// Guards against sending a number that was committed late with an order for
// another model's version.
Test(several_models, a_late_number_belongs_to_its_own_target)
{
  Configuration desired;
  desired.m_models["a"] = { "a", "2", "2", "" };
  EngineConfig& engine = desired.m_engines[EngineId("w")];
  engine.m_id = EngineId("w");
  engine.m_models = { { "a", "1" }, { "b", "1" } };
  RolloutOptions options;
  options.m_takeoverWait = Duration(1);
  Rollout rollout(options);
  rollout.Start(At(0), Duration(0));
  rollout.Step(At(10), desired);
  rollout.OnObserved(
    At(20), EngineId("w"), { { { "a", "1" }, { "b", "1" } }, false, 0 });
  cr_assert_eq(rollout.Step(At(30), desired).size(), 1U);
  desired.m_models["a"] = { "a", "1", "1", "" };
  desired.m_models["b"] = { "b", "7", "7", "" };
  for (const std::int64_t now : { 1'100, 1'150 }) {
    for (const RolloutAction& action : rollout.Step(At(now), desired)) {
      if (std::holds_alternative<ObserveEngine>(action)) {
        rollout.OnObserved(
          At(now), EngineId("w"), { { { "a", "1" }, { "b", "1" } }, false, 0 });
      }
    }
  }
  cr_assert(
    rollout.OnOrderNumberAssigned(At(1'200), EngineId("w"), "2", 9).empty());
  const auto send =
    rollout.OnOrderNumberAssigned(At(1'210), EngineId("w"), "7", 10);
  cr_assert_eq(send.size(), 1U);
  cr_assert_eq(std::get<SendOrder>(send.front()).m_model, "b");
}
