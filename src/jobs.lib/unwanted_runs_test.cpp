// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Seen: on a cell of 350 workers a task of a cancelled job ran on to its end, though the
/// cancellation had been acknowledged seconds before. That the leader hears of it too late
/// is the one way (client_answers_test, books_and_reports_test, job_feed_test); this is
/// another, which only tests have shown.
/// How it comes about: the leader stops a run because of what it holds of it in memory,
/// once, when the job closes. If it has lost sight of the run by then, nobody stops it. It
/// loses sight when it takes a silent worker's lease to be over, and when an earlier run of
/// the same task has a stop outstanding at the same worker. Cause: after a worker's first
/// report only the ends in it were compared with what the leader holds; what runs was read
/// for progress alone. Proof: the cases here, each of which left the run alone.

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

/// A scheduler that has taken over a job whose task runs, as the worker's first report
/// said.
struct RunningJob : SingleWorkerTakeOver {
    RunningJob() { report_running(run); }

    /// The worker lists these runs of the job's task in its next report, and no ends.
    void report_running(int64_t listed)
    {
        PollReport report = report_at(world.now());
        report.running.push_back(running_task(task, listed));
        SingleWorkerTakeOver::report(report);
    }
    /// The worker answers nothing for `span`.
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

// The list of a later report names a run of which the leader knows nothing.
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

// The worker was silent for longer than its lease, as the leader reckons it, and what ran
// there is taken for ended. It is heard again, and its task runs still.
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

// The same with the cancellation first: the stop that waits for the worker is forgotten
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

// While a run that the leader does not know is there, its task is not started anew.
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

// A run that has ended without a listed end holds neither its stop nor its room for ever.
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

// A stop of an earlier run that never came about is outstanding at the same worker.
BOOST_AUTO_TEST_CASE(a_stop_of_an_earlier_run_does_not_swallow_that_of_a_later_one)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener heard;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, heard, info, 1, 0, WorkerTimeouts(), world.now());
    session.start_polling();
    worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
    const TaskId task { "job", 0, 0, 0 };
    session.stop(task, 5, StopReason::job_closed);
    session.stop(task, 7, StopReason::job_closed);
    BOOST_TEST(stops_of(worker, task, 5) > 0);
    BOOST_TEST(stops_of(worker, task, 7) > 0);
}
