// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A task with which three workers were lost has two starts left. Guards against giving up
/// a task that crashes nothing, among workers that restart by themselves: because its runs
/// fail on their own, because its order goes to a worker that is gone already, or because
/// the next leader does not learn that a run has cleared it.

#define BOOST_TEST_MODULE suspect_starts
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

// Three workers were lost with the task: two at most 400 ms after its start, and one
// between 900 and 1300 ms after it.
void record_losses(Step& step)
{
    CrashRecord& crashes = step.tasks.edit(0).crashes;
    crashes.add({ 1, 0, false, "lost1", 400 });
    crashes.add({ 2, 900, false, "lost2", 1300 });
    crashes.add({ 3, 0, false, "lost3", 400 });
    step.has_crashes = true;
}

/// A site with one worker, on which the task is about to be started.
struct SuspectSite : MultiWorkerTakeOver {
    /// Starts it.
    SuspectSite()
        : MultiWorkerTakeOver({ "w1" }, job_of("job1"), {},
                              [](JobRecord& record) { record_losses(*record.step(0, 0)); })
    {
        accept_start(1);
    }
    ManualWorkerState& state() { return worker_states["w1"]; }
    /// Waits for the start of this number and accepts it at once.
    void accept_start(size_t number)
    {
        constexpr int max_polls = 100;
        for (int i = 0; i < max_polls && manual_workers.starts.size() < number; ++i)
            answer_polls(Millis(50));
        BOOST_REQUIRE(manual_workers.starts.size() == number);
        const auto start = manual_workers.starts.back();
        start.done(OrderAnswer { OrderStatus::accepted, 0 });
        state().running = { running_task(task, start.order.run) };
    }
    void fail_last_start()
    {
        const auto number = static_cast<int64_t>(state().ended.size()) + 1;
        state().ended.push_back(ended_task(
            number, task, manual_workers.starts.back().order.run, EndKind::failed));
        state().running.clear();
    }
    /// Returns the recorded progress, as the next leader reads it.
    CrashRecord recorded_crashes();
};

CrashRecord SuspectSite::recorded_crashes()
{
    JobRecord record(job_of("job1"), world.now());
    BOOST_REQUIRE(record.apply_progress(store.value(progress_row("job1"))));
    return record.task(task)->crashes;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Both starts that are left end with a failure of the task itself, 1 s after the start.
BOOST_AUTO_TEST_CASE(task_that_fails_on_its_own_is_not_given_up)
{
    SuspectSite site;
    site.answer_polls(Millis(1000));
    site.fail_last_start();
    site.accept_start(2);
    site.answer_polls(Millis(1000));
    site.fail_last_start();
    site.answer_polls(Millis(5000));
    BOOST_TEST(site.manual_workers.starts.size() == 3U);
}

// Its failures come too soon to tell it from a task that crashes its workers.
BOOST_AUTO_TEST_CASE(task_that_fails_sooner_than_its_workers_were_lost_is_given_up)
{
    SuspectSite site;
    site.answer_polls(Millis(200));
    site.fail_last_start();
    site.accept_start(2);
    site.answer_polls(Millis(200));
    site.fail_last_start();
    site.answer_polls(Millis(5000));
    BOOST_TEST(site.manual_workers.starts.size() == 2U);
}

// A waiting poll would tell of the run only when it ends, so the worker is polled beside
// it.
BOOST_AUTO_TEST_CASE(worker_of_a_suspect_is_polled_closely)
{
    SuspectSite site;
    const size_t before = site.manual_workers.polls.size();
    constexpr int tenths = 10;
    for (int i = 0; i < tenths; ++i) {
        site.world.run_for(Millis(100));
        for (size_t poll = before; poll < site.manual_workers.polls.size(); ++poll) {
            auto& call = site.manual_workers.polls[poll];
            if (!call.answered && call.order.wait == Millis(0))
                site.answer(poll);
        }
    }
    BOOST_TEST(site.manual_workers.polls.size() >= before + tenths - 2);
}

// The worker goes down before the order, which the leader has not noticed yet.
BOOST_AUTO_TEST_CASE(suspect_is_not_started_on_a_worker_that_does_not_answer)
{
    AcceptedJob job = job_of("job1");
    job.spec.steps.push_back(job.spec.steps.front());
    job.spec.steps.back().after = { 0 };
    MultiWorkerTakeOver site({ "w1" }, job, {},
                             [](JobRecord& record) { record_losses(*record.step(0, 1)); });
    const TaskId suspect { "job1", 0, 1, 0 };
    site.answer_polls(Millis(500));
    BOOST_REQUIRE(site.manual_workers.starts.size() == 1U);
    site.manual_workers.starts.back().done(OrderAnswer { OrderStatus::accepted, 0 });
    const int64_t run = site.manual_workers.starts.back().order.run;
    ManualWorkerState& worker = site.worker_states["w1"];
    worker.running = { running_task(site.task, run) };
    site.answer_polls(Millis(500));
    // The poll that waits for the end of the first step was sent 500 ms before it.
    site.world.run_for(Millis(500));
    worker.running.clear();
    worker.ended = { ended_task(1, site.task, run, EndKind::done) };
    site.answer(site.manual_workers.polls.size() - 1);
    worker.unresponsive = true;
    site.answer_polls(Millis(1500));
    BOOST_TEST(site.count_starts(suspect) == 0U);
    worker.unresponsive = false;
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.count_starts(suspect) == 1U);
}

// The leader is replaced before anything else of the job is recorded.
BOOST_AUTO_TEST_CASE(next_leader_knows_that_a_run_has_cleared_the_task)
{
    SuspectSite site;
    site.answer_polls(Millis(1000));
    BOOST_TEST(site.recorded_crashes().size() == 3U);
    site.answer_polls(Millis(2000));
    BOOST_TEST(site.recorded_crashes().empty());
}
