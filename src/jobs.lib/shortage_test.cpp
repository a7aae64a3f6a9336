// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What is stopped for urgent work, and which steps use the advisor, while capacity is
/// short. Each mechanism is also run switched off where that is cheap, to show that the
/// case depends on it.

#define BOOST_TEST_MODULE shortage
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "multi_worker_fixture.h"

#include <pathport/failure.h>

#include <set>

using namespace pathport;
using namespace pathport::cell_tests;
using namespace pathport::jobs;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr const char* all_on = "none";

Mechanisms without(const char* names)
{
    Failure reason;
    const auto mechanisms = Mechanisms::without(names, reason);
    BOOST_REQUIRE(mechanisms);
    return *mechanisms;
}

Queue queue_of(const std::string& name, int priority)
{
    Queue queue;
    queue.name = name;
    queue.host = "cell";
    queue.path_prefix = "/" + name + "/";
    queue.service = "pool";
    queue.priority = priority;
    queue.max_failures = 4;
    queue.stretch = 2;
    queue.slo_ms = 2000;
    return queue;
}

StepModel step_of(int count, int64_t run_ms, int64_t cpu_millis)
{
    StepModel model;
    model.count = count;
    model.run_ms = run_ms;
    model.need = { cpu_millis, 500, 0 };
    return model;
}

constexpr Millis start_up { 3000 };

// ---- Gangs on workers that are full.

constexpr int64_t gang_run_ms = 1000;
/// A gang is in time this long after its submission: stretch 2 and 2 s.
constexpr Millis gang_deadline { 2 * gang_run_ms + 2000 };
constexpr int gang_width = 6;
constexpr int full_workers = 24;
constexpr int batch_tasks = full_workers; // Of each kind; two fit on a worker.
constexpr int64_t batch_run_ms = 30000;
const std::vector<uint64_t> gang_seeds { 1, 2, 3, 4, 5 };

struct GangOutcome {
    bool done = false; ///< By its deadline.
    bool held_batch_runs = true; ///< All tasks that can't be stopped still ran then.
    std::vector<std::string> violations;
};

/// Fills the workers with batch tasks of two kinds and submits a gang.
GangOutcome run_gang(uint64_t seed, const std::string& queue, const char* off)
{
    Cell cell(seed, 4, full_workers, {}, 0, Millis(0), without(off));
    Configuration configuration = cell.store.configuration();
    ++configuration.version;
    configuration.queues.push_back(queue_of("gangs", 1));
    configuration.queues.push_back(queue_of("batches", 2));
    configuration.queues.push_back(queue_of("advised_gangs", 1));
    configuration.queues.back().advice = AdviceRule { 200, 1, 2000 };
    cell.configure(configuration);
    cell.workers.injected.ticket_validity = Millis(2000);
    cell.workers.default_advice_latency = Millis(200);
    cell.workers.allowed_tenths = 8;
    cell.world.run_for(start_up);
    for (int i = 0; i < batch_tasks; ++i) {
        const std::string number = std::to_string(i);
        StepModel stoppable = step_of(1, batch_run_ms, 4000);
        stoppable.saves_progress = true;
        submit(cell, "batches", "saving" + number, { stoppable });
        submit(cell, "batches", "held" + number, { step_of(1, batch_run_ms, 4000) });
    }
    cell.world.run_for(Millis(3000));
    StepModel gang = step_of(gang_width, gang_run_ms, 4000);
    gang.gang = true;
    submit(cell, queue, "gang", { gang });
    cell.world.run_for(gang_deadline);
    GangOutcome outcome;
    outcome.done = cell.workers.all_done("gang", 0, gang_width, true);
    for (int i = 0; i < batch_tasks; ++i)
        outcome.held_batch_runs = outcome.held_batch_runs
            && cell.workers.is_running({ "held" + std::to_string(i), 0, 0, 0 });
    outcome.violations = cell.workers.violations();
    return outcome;
}

// ---- The choice of what to stop.

constexpr Millis long_slack { 60000 };
constexpr Millis short_slack { 15000 };
constexpr int almost_done = 94; ///< Percent; 0.14 s are left of a run of 2.3 s.

AcceptedJob batch_job(const std::string& id, Millis slack)
{
    AcceptedJob job = job_of(id);
    job.queue.priority = 2;
    job.queue.slo_ms = slack.count();
    StepSpec& step = job.spec.steps.front();
    step.need = { 1300, 500, 0 };
    step.saves_progress = true;
    return job;
}

/// A worker full with three batch tasks that may be stopped. Of their jobs, "a" is the
/// first by name and "b" has the most slack.
struct FullWorker {
    MultiWorkerTakeOver site;
    std::map<std::string, int> percent; ///< Progress to report, by job.

    explicit FullWorker(const char* off)
        : site({ "w1" }, batch_job("a", short_slack), {}, {}, without(off))
    {
        site.answer_polls(Millis(3000));
        site.scheduler->job_announced(batch_job("b", long_slack), 1000);
        site.scheduler->job_announced(batch_job("c", short_slack), 1001);
        site.answer_polls(Millis(200));
        BOOST_REQUIRE(site.manual_workers.starts.size() == 3U);
        for (const auto& start : site.manual_workers.starts) {
            start.done(OrderAnswer { OrderStatus::accepted, 0 });
            site.worker_states["w1"].running.push_back(
                running_task(start.order.task, start.order.run));
        }
    }

    /// Lets all tasks run for `span`, with one percent of progress in each half second.
    void run(Millis span)
    {
        constexpr Millis interval { 500 };
        for (Millis worked; worked < span; worked = worked + interval) {
            for (const RunningTask& running : site.worker_states["w1"].running)
                ++percent[running.task.job];
            report(interval);
        }
    }

    /// Reports the progress of all tasks for `span`.
    void report(Millis span)
    {
        for (RunningTask& running : site.worker_states["w1"].running)
            running.percent = percent[running.task.job];
        site.answer_polls(span);
    }

    /// Submits a gang that needs the capacity of one of the tasks. Returns the jobs of the
    /// tasks that are stopped for it.
    std::set<std::string> stopped_for_gang()
    {
        AcceptedJob urgent = job_of("urgent");
        urgent.spec.steps.front().gang = true;
        urgent.spec.steps.front().need = { 1300, 500, 0 };
        site.scheduler->job_announced(urgent, 1002);
        site.answer_polls(Millis(300));
        std::set<std::string> stopped;
        for (const auto& stop : site.manual_workers.stops)
            stopped.insert(stop.order.task.job);
        return stopped;
    }
};

using Jobs = std::set<std::string>;

// ---- Advice for little free capacity.

constexpr double slow_advice_ms = 300;
constexpr int asking_jobs = 40;
/// Share of the queries that claims may leave. Each job needs a first query, so they can
/// save only part of them.
constexpr double saved_share = 0.8;

/// A cell that is full except for a few workers, each with room for one task of a queue
/// with slow advice.
class ScarceCell {
public:
    ScarceCell(uint64_t seed, int nodes, const char* off)
        : cell(seed, nodes, workers, {}, 0, Millis(0), without(off))
    {
        Configuration configuration = cell.store.configuration();
        ++configuration.version;
        configuration.queues.push_back(queue_of("filler", 0));
        configuration.queues.push_back(queue_of("asking", 1));
        configuration.queues.back().slo_ms = 8000;
        configuration.queues.back().advice = AdviceRule { slow_advice_ms, 1, 2000 };
        // The jobs of this queue have no slack.
        configuration.queues.push_back(configuration.queues.back());
        configuration.queues.back().name = "late";
        configuration.queues.back().path_prefix = "/late/";
        configuration.queues.back().slo_ms = 0;
        configuration.queues.back().stretch = 1;
        cell.configure(configuration);
        cell.workers.injected.ticket_validity = Millis(2000);
        cell.workers.default_advice_latency = Millis(int64_t(slow_advice_ms));
        cell.world.run_for(start_up);
    }

    /// Takes the workers except for `left_free`.
    void fill(int left_free)
    {
        submit(cell, "filler", "filler", { step_of(workers - left_free, 120000, 7500) });
        cell.world.run_for(Millis(1000));
    }

    void ask(const std::string& id, int64_t run_ms, const std::string& queue = "asking")
    {
        submit(cell, queue, id, { step_of(1, run_ms, 7500) });
    }

    bool done(const std::string& id) const
    {
        return cell.workers.all_done(id, 0, 1, false);
    }

    Cell cell;

private:
    static constexpr int workers = 20;
};

struct AskingOutcome {
    int done = 0; ///< Jobs.
    int64_t requests = 0; ///< To the advisor.
};

/// Submits jobs that all wait for the same free capacity.
AskingOutcome run_asking(uint64_t seed, const char* off)
{
    ScarceCell scarce(seed, 4, off);
    scarce.fill(4);
    for (int i = 0; i < asking_jobs; ++i) {
        scarce.ask("job" + std::to_string(i), 2000);
        scarce.cell.world.run_for(Millis(100));
    }
    AskingOutcome outcome;
    scarce.cell.world.run_for(Millis(40000));
    for (int i = 0; i < asking_jobs; ++i)
        outcome.done += scarce.done("job" + std::to_string(i)) ? 1 : 0;
    outcome.requests = scarce.cell.workers.advice_requests();
    return outcome;
}

} // namespace

// A gang reserved workers by all less urgent use on them. Where tasks that can't be stopped
// ran there, it waited for these to end and missed its deadline, although other workers'
// tasks could be stopped.
BOOST_AUTO_TEST_CASE(gang_starts_where_tasks_can_be_stopped)
{
    for (const std::string queue : { "gangs", "advised_gangs" }) {
        int done_without = 0;
        for (const uint64_t seed : gang_seeds) {
            const GangOutcome on = run_gang(seed, queue, all_on);
            BOOST_TEST(on.done, queue << ", seed " << seed);
            BOOST_TEST(on.held_batch_runs, queue << ", seed " << seed);
            BOOST_TEST(on.violations.empty(), join_lines(on.violations));
            done_without += run_gang(seed, queue, "cheapest_victims").done ? 1 : 0;
        }
        BOOST_TEST(done_without < int(gang_seeds.size()) / 2, queue);
        BOOST_TEST_MESSAGE(queue << ": in time with the mechanism off " << done_without);
    }
}

// Tasks were stopped in the order of their names, also of a job without time to spare.
BOOST_AUTO_TEST_CASE(task_of_the_job_with_most_slack_is_stopped)
{
    FullWorker on(all_on);
    on.run(Millis(2000));
    BOOST_TEST(on.stopped_for_gang() == Jobs { "b" }, boost::test_tools::per_element());
    FullWorker off("cheapest_victims");
    off.run(Millis(2000));
    BOOST_TEST(off.stopped_for_gang() == Jobs { "a" }, boost::test_tools::per_element());
}

// A task was stopped that would have ended as soon by itself.
BOOST_AUTO_TEST_CASE(task_about_to_end_is_not_stopped)
{
    for (const std::string ending : { "a", "b" }) {
        FullWorker on(all_on);
        on.run(Millis(2000));
        on.percent[ending] = almost_done;
        on.report(Millis(50));
        BOOST_TEST(on.stopped_for_gang().empty(), ending);
    }
    FullWorker off("cheapest_victims");
    off.run(Millis(2000));
    off.percent["a"] = almost_done;
    off.report(Millis(50));
    BOOST_TEST(off.stopped_for_gang() == Jobs { "a" }, boost::test_tools::per_element());
}

// A resumed task reports its progress of earlier runs as well. If this run seems to have
// made all of it, the task seems about to end at each report, and the gang waits for it.
BOOST_AUTO_TEST_CASE(resumed_task_does_not_seem_about_to_end)
{
    FullWorker on(all_on);
    on.percent["b"] = 88;
    on.run(Millis(2500));
    // At 2 percent a second it runs for another 3 s.
    on.percent["b"] = almost_done;
    on.report(Millis(50));
    BOOST_TEST(on.stopped_for_gang() == Jobs { "b" }, boost::test_tools::per_element());
}

// Many steps asked about the same free capacity; one took it, and the tickets of the others
// expired unused. With claims, a step without unclaimed capacity treated the cell as full
// and reserved the claimed workers in order to preempt: 0.91 of the queries were left.
BOOST_AUTO_TEST_CASE(claims_save_queries_about_the_same_capacity)
{
    for (const uint64_t seed : { 1, 2, 3 }) {
        const AskingOutcome on = run_asking(seed, all_on);
        const AskingOutcome off = run_asking(seed, "advice_claims");
        BOOST_TEST(on.done == asking_jobs, "seed " << seed);
        BOOST_TEST(double(on.requests) < saved_share * double(off.requests),
                   "seed " << seed << ", " << on.requests << " and " << off.requests);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << on.requests << " queries, without "
                                   << "claims " << off.requests << ", done " << on.done
                                   << " and " << off.done);
    }
}

// A claim that outlives its query would keep other steps from asking about the capacity.
BOOST_AUTO_TEST_CASE(claim_ends_when_its_caller_dies)
{
    constexpr Millis time_out { 1600 };
    constexpr Millis answer_and_start { 1500 };
    constexpr Millis down { 60000 };
    for (const std::string off : { all_on, "advice_claims" }) {
        // Jobs without slack ask only about capacity that is not claimed.
        ScarceCell scarce(1, 4, off.c_str());
        Cell& cell = scarce.cell;
        scarce.fill(1);
        scarce.ask("first", 30000, "late");
        cell.world.run_for(Millis(100));
        BOOST_REQUIRE(cell.workers.advice_requests() == 1);
        scarce.ask("second", 500, "late");
        cell.world.run_for(Millis(100));
        BOOST_TEST(cell.workers.advice_requests() == (off == all_on ? 1 : 2), off);
        const std::string leader = cell.leader();
        for (const std::string& node : cell.node_names()) {
            if (node != leader)
                cell.kill(node, down);
        }
        cell.world.run_for(time_out + answer_and_start);
        // Without claims, the repeated query of either step may be answered first.
        if (off == all_on)
            BOOST_TEST(scarce.done("second"));
    }
}

// Under lasting overload, steps with time left claimed all capacity as it became free, so
// that late steps got no advice: 2 or 3 of these 5 were done, and all 5 without claims.
BOOST_AUTO_TEST_CASE(late_steps_are_not_shut_out_by_claims)
{
    constexpr int timely_jobs = 200;
    constexpr int timely_before_late = 20;
    constexpr int late_jobs = 5;
    constexpr Millis interval { 270 };
    for (const uint64_t seed : { 1, 2, 3 }) {
        ScarceCell scarce(seed, 4, all_on);
        scarce.fill(2);
        for (int i = 0; i < timely_jobs; ++i) {
            scarce.ask("job" + std::to_string(i), 500);
            for (int k = 0; i == timely_before_late && k < late_jobs; ++k)
                scarce.ask("late" + std::to_string(k), 500, "late");
            scarce.cell.world.run_for(interval);
        }
        for (int k = 0; k < late_jobs; ++k)
            BOOST_TEST(scarce.done("late" + std::to_string(k)),
                       "seed " << seed << ", late job " << k);
    }
}
