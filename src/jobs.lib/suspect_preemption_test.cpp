// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A task suspected of crashing workers has a limited number of starts until a long enough
/// run clears it. Guards against giving up a harmless task, and failing its job, because
/// its last runs were preempted for more urgent work.

#define BOOST_TEST_MODULE suspect_preemption
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// Its worker accepts other tasks again, but the run has not outlived the lost runs yet.
constexpr Millis past_isolation { 7000 };

/// Losses of this many workers, each long after the start.
CrashRecord losses_with(int workers)
{
    constexpr int64_t runtime_ms = 20000;
    CrashRecord record;
    for (int run = 1; run <= workers; ++run)
        record.add({ run, runtime_ms });
    return record;
}

/// Lets the running task make progress.
void run_with_progress(MultiWorkerTakeOver& site, Millis span)
{
    constexpr Millis report { 500 };
    for (Millis worked; worked < span; worked = worked + report) {
        ++site.worker_states["w1"].running.front().percent;
        site.answer_polls(report);
    }
}

/// Fills a worker with a batch task, submits an urgent gang that needs its capacity, and
/// returns the number of stop orders.
size_t count_batch_stops(int workers_lost)
{
    AcceptedJob batch = job_of("job1");
    batch.queue.priority = 2;
    StepSpec& step = batch.spec.steps.front();
    step.need = { 3000, 500, 0 };
    step.saves_progress = true;
    MultiWorkerTakeOver site({ "w1" }, batch, {}, [workers_lost](JobRecord& record) {
        Step& recorded = *record.step(0, 0);
        recorded.tasks.edit(0).crashes = losses_with(workers_lost);
        recorded.has_crashes = workers_lost > 0;
    });
    site.answer_polls(Millis(3000));
    BOOST_REQUIRE(site.manual_workers.starts.size() == 1U);
    const int64_t run = site.manual_workers.starts.front().order.run;
    site.manual_workers.starts.front().done(OrderAnswer { OrderStatus::accepted, 0 });
    site.worker_states["w1"].running.push_back(running_task(site.task, run));
    run_with_progress(site, past_isolation);
    AcceptedJob urgent = job_of("urgent");
    urgent.spec.steps.front().gang = true;
    urgent.spec.steps.front().need = { 2000, 500, 0 };
    site.scheduler->job_announced(urgent, 1000);
    run_with_progress(site, Millis(1000));
    return site.manual_workers.stops.size();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(task_without_losses_is_preempted)
{
    BOOST_TEST(count_batch_stops(0) > 0U);
}

BOOST_AUTO_TEST_CASE(counted_start_of_a_suspect_is_not_preempted)
{
    BOOST_TEST(count_batch_stops(3) == 0U);
}
