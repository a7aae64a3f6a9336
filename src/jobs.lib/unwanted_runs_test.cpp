// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against a task of a cancelled job that runs to its end although the cancellation
/// was acknowledged seconds before, as seen in a cell of 350 workers. One cause is a leader
/// that learns of the cancellation too late (client_answers_test, reconciliation_test,
/// job_feed_test); these tests are about another: the leader stops the runs that it knows
/// of, once, when the job closes. It loses track of a run when it considers a silent
/// worker's lease expired, or when a stop of an earlier run of the task is outstanding at
/// the same worker. After a worker's first report only ends were compared with the leader's
/// state, and running tasks were read only for their progress, so nobody stopped such a
/// run.

#define BOOST_TEST_MODULE unwanted_runs
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "single_worker_fixture.h"

#include <algorithm>

using namespace pathport;
using namespace pathport::jobs;

using cell_tests::LogFixture;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

RunningTask running_task(const TaskId& task, int64_t run)
{
    RunningTask running;
    running.task = task;
    running.run = run;
    return running;
}

int stops_of(const ManualWorker& worker, const TaskId& task, int64_t run)
{
    return static_cast<int>(std::count_if(
        worker.stop_orders.begin(), worker.stop_orders.end(),
        [&](const RunOrder& order) { return order.task == task && order.run == run; }));
}

/// A scheduler that has taken over a job whose task runs, according to the worker's first
/// report.
struct RunningJob : SingleWorkerTakeOver {
    RunningJob() { report_running(run); }

    /// The worker lists this run of the job's task in its next report, and no ends.
    void report_running(int64_t listed)
    {
        PollReport report = report_at(world.now());
        report.running.push_back(running_task(task, listed));
        SingleWorkerTakeOver::report(report);
    }
    /// The worker does not answer for `span`.
    void stay_silent(Millis span)
    {
        const Millis until = world.now() + span;
        while (world.now() < until) {
            if (answered < worker.polls.size()) {
                answered = worker.polls.size();
                worker.polls.back().second(OrderStatus::unknown, std::nullopt);
            }
            world.run_for(Millis(50));
        }
    }

    size_t answered = 0;
};

} // namespace

// A later report lists a run that the leader does not know.
BOOST_AUTO_TEST_CASE(a_run_that_nobody_knows_is_stopped)
{
    RunningJob job;
    const TaskId unknown { "other", 0, 0, 0 };
    PollReport report = report_at(job.world.now());
    report.running.push_back(running_task(job.task, job.run));
    report.running.push_back(running_task(unknown, 3));
    job.report(report);
    BOOST_TEST(stops_of(job.worker, unknown, 3) > 0);
    BOOST_TEST(stops_of(job.worker, job.task, job.run) == 0);
}

// The worker was silent for longer than its lease by the leader's calculation, and its
// tasks are considered ended. It answers again, and its task is still running.
BOOST_AUTO_TEST_CASE(a_run_that_outlasts_its_lease_is_stopped_when_its_job_is_cancelled)
{
    RunningJob job;
    job.stay_silent(Millis(12000));
    job.scheduler->job_canceled(job.task.job, "test");
    job.world.run_for(Millis(500));
    BOOST_TEST(job.worker.stops == 0);
    job.report_running(job.run);
    BOOST_TEST(stops_of(job.worker, job.task, job.run) > 0);
}

// The same with the cancellation first: the stop that waited for the worker was dropped
// with its lease.
BOOST_AUTO_TEST_CASE(a_stop_that_waits_for_a_silent_worker_is_not_forgotten)
{
    RunningJob job;
    job.stay_silent(Millis(1500));
    job.scheduler->job_canceled(job.task.job, "test");
    job.stay_silent(Millis(12000));
    const int before = stops_of(job.worker, job.task, job.run);
    job.report_running(job.run);
    BOOST_TEST(stops_of(job.worker, job.task, job.run) > before);
}

// While a run that the leader does not know exists, its task is not started again.
BOOST_AUTO_TEST_CASE(a_task_is_not_placed_while_an_unknown_run_of_it_is_there)
{
    RunningJob job;
    job.stay_silent(Millis(12000));
    const size_t starts = job.worker.starts.size();
    job.report_running(job.run);
    BOOST_TEST(job.worker.starts.size() == starts);
    PollReport report = report_at(job.world.now());
    EndedTask end;
    end.number = 1;
    end.task = job.task;
    end.run = job.run;
    end.kind = EndKind::stopped;
    report.ended.push_back(end);
    job.report(report);
    BOOST_TEST(job.worker.starts.size() == starts + 1);
}

// A run that is gone without a listed end must not keep its stop or its capacity for ever.
BOOST_AUTO_TEST_CASE(a_stop_ends_when_the_run_is_gone)
{
    RunningJob job;
    const TaskId unknown { "other", 0, 0, 0 };
    PollReport report = report_at(job.world.now());
    report.running.push_back(running_task(job.task, job.run));
    report.running.push_back(running_task(unknown, 3));
    job.report(report);
    job.report_running(job.run);
    job.report_running(job.run);
    const int stops = stops_of(job.worker, unknown, 3);
    job.world.run_for(Millis(3000));
    BOOST_TEST(stops_of(job.worker, unknown, 3) == stops);
}

// A stop of an earlier run that never started is outstanding at the same worker.
BOOST_AUTO_TEST_CASE(a_stop_of_an_earlier_run_does_not_swallow_that_of_a_later_one)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener listener;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, listener, info, 1, 0, WorkerTimeouts(),
                          world.now());
    session.start_polling();
    worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
    const TaskId task { "job", 0, 0, 0 };
    session.stop(task, 5, StopReason::job_closed);
    session.stop(task, 7, StopReason::job_closed);
    BOOST_TEST(stops_of(worker, task, 5) > 0);
    BOOST_TEST(stops_of(worker, task, 7) > 0);
}
