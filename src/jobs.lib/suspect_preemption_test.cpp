// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A task that is suspected of crashing workers is started only so often until a life of it
/// clears it. Guards against a good one that is given up, and its job shown as failed,
/// since its last starts were cut short for more urgent work.

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

/// Its worker is not kept from other work any more, and it has not outlived the lost runs.
constexpr Millis past_trial { 7000 };

/// Runs with which workers were lost, long after their starts.
CrashRecord lost_with(int workers)
{
    constexpr int64_t lived_ms = 20000;
    CrashRecord record;
    for (int run = 1; run <= workers; ++run)
        record.add({ run, lived_ms });
    return record;
}

/// The task that runs there gets on.
void work_for(MultiWorkerTakeOver& site, Millis span)
{
    constexpr Millis report { 500 };
    for (Millis worked; worked < span; worked = worked + report) {
        ++site.worker_states["w1"].running.front().percent;
        site.answer_polls(report);
    }
}

/// A worker that a batch task fills, when an urgent gang comes that needs its room.
size_t stops_of_batch_task(int workers_lost)
{
    AcceptedJob batch = job_of("job1");
    batch.queue.priority = 2;
    StepSpec& step = batch.spec.steps.front();
    step.need = { 3000, 500, 0 };
    step.saves_progress = true;
    MultiWorkerTakeOver site({ "w1" }, batch, {}, [workers_lost](JobRecord& record) {
        Step& recorded = *record.step(0, 0);
        recorded.tasks.front().crashes = lost_with(workers_lost);
        recorded.has_crashes = workers_lost > 0;
    });
    site.answer_polls(Millis(3000));
    BOOST_REQUIRE(site.manual_workers.starts.size() == 1U);
    const int64_t run = site.manual_workers.starts.front().order.run;
    site.manual_workers.starts.front().done(OrderAnswer { OrderStatus::accepted, 0 });
    site.worker_states["w1"].running.push_back(running_task(site.task, run));
    work_for(site, past_trial);
    AcceptedJob urgent = job_of("urgent");
    urgent.spec.steps.front().gang = true;
    urgent.spec.steps.front().need = { 2000, 500, 0 };
    site.scheduler->job_announced(urgent, 1000);
    work_for(site, Millis(1000));
    return site.manual_workers.stops.size();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(a_task_without_a_record_gives_way)
{
    BOOST_TEST(stops_of_batch_task(0) > 0U);
}

BOOST_AUTO_TEST_CASE(a_start_that_counts_against_a_suspect_is_not_cut_short)
{
    BOOST_TEST(stops_of_batch_task(3) == 0U);
}
