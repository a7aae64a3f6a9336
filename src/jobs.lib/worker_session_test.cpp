// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a leader handles workers that list many ends or cannot be reached.

#define BOOST_TEST_MODULE worker_session
#include <boost/test/unit_test.hpp>

#include "single_worker_fixture.h"

#include <pathport/log.h>

#include <cstdlib>
#include <optional>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture()
    {
        const char* const level = std::getenv("PATHPORT_LOG");
        start_log("test", log_level_from(level == nullptr ? "error" : level));
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A report lists 500 ends at most (PROTOCOL). A run that is not among them may be the next
// one, so it must not be started again.
BOOST_AUTO_TEST_CASE(full_list_of_ends_does_not_say_that_a_run_is_missing)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener listener;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, listener, info, 1, 0, WorkerTimeouts(),
                          world.now() + Millis(9000));
    session.start_polling();
    worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(5));
    std::optional<StartResult> result;
    const TaskId task { "job", 0, 0, 0 };
    session.start(task, 7, "p", "", "",
                  [&result](StartResult found, OrderStatus) { result = found; });
    const size_t poll_count = worker.polls.size();
    // No answer, but it was executed and the run has ended.
    worker.starts.at(0)(OrderAnswer());
    BOOST_REQUIRE(worker.polls.size() > poll_count);
    worker.polls.back().second(OrderStatus::accepted, full_report_at(world.now()));
    BOOST_TEST((!result || *result != StartResult::not_started));
}

// The same after a take-over: the end of the run is in the next report.
BOOST_AUTO_TEST_CASE(full_first_list_of_ends_frees_no_task)
{
    SingleWorkerTakeOver take_over;
    PollReport full = full_report_at(take_over.world.now());
    take_over.report(full);
    BOOST_TEST(take_over.worker.starts.empty());
    BOOST_TEST((take_over.scheduler->state_of("job1") == JobState::pending));
    PollReport rest = report_at(take_over.world.now());
    EndedTask end;
    end.number = full.ended.back().number + 1;
    end.task = take_over.task;
    end.run = take_over.run;
    rest.ended.push_back(end);
    take_over.report(rest);
    BOOST_TEST(take_over.worker.starts.empty());
    BOOST_TEST((take_over.scheduler->state_of("job1") == JobState::completed));
}

// Running tasks are in each report; each is adopted once, whichever report completes the
// list of ends.
BOOST_AUTO_TEST_CASE(run_beside_a_full_first_list_is_adopted_once)
{
    SingleWorkerTakeOver take_over;
    PollReport full = full_report_at(take_over.world.now());
    RunningTask running;
    running.task = take_over.task;
    running.run = take_over.run;
    full.running.push_back(running);
    take_over.report(full);
    PollReport rest = report_at(take_over.world.now());
    rest.running.push_back(running);
    take_over.report(rest);
    BOOST_TEST(take_over.worker.starts.empty());
    BOOST_TEST(take_over.worker.stops == 0);
}

// If the list of ends is not full, a task that it lacks can be started.
BOOST_AUTO_TEST_CASE(short_first_list_of_ends_frees_a_task)
{
    SingleWorkerTakeOver take_over;
    take_over.report(report_at(take_over.world.now()));
    BOOST_TEST(take_over.worker.starts.size() == 1U);
}

namespace {

/// A session with a worker that has announced its end while its lease is still valid.
struct DepartedWorker {
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener listener;
    std::unique_ptr<WorkerSession> session;

    /// The worker announces that `remaining` is left, 0 for no time, before the session
    /// begins.
    explicit DepartedWorker(Millis remaining = Millis(0))
    {
        WorkerInfo info;
        info.id = "w1";
        info.draining = true;
        info.remaining_ms = remaining.count();
        session = std::make_unique<WorkerSession>(loop, worker, listener, info, 1, 0,
                                                  WorkerTimeouts(), world.now());
        session->start_polling();
        worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
        world.run_for(Millis(5)); // The next poll grants a lease.
    }
    /// Returns how long the lease of the last poll is.
    Millis last_lease() const
    {
        return Millis(worker.polls.back().first.lease_until) - world.now();
    }
    void answer_poll(OrderStatus status)
    {
        worker.polls.back().second(status, std::nullopt);
    }
};

} // namespace

// The worker left the list because it was partitioned for three heartbeats, and connecting
// to it times out or is refused by something on the path. Its lease has not expired, so its
// tasks may still run: they ran twice when a refusal was taken for its end.
BOOST_AUTO_TEST_CASE(worker_that_cannot_be_reached_within_its_lease_is_not_over)
{
    for (const OrderStatus status : { OrderStatus::unreachable, OrderStatus::refused }) {
        DepartedWorker departed;
        BOOST_REQUIRE(departed.last_lease() > Millis(5000));
        departed.worker.polls.at(1).second(OrderStatus::unknown, std::nullopt);
        departed.world.run_for(Millis(500));
        departed.answer_poll(status);
        BOOST_TEST(departed.listener.incarnations_ended == 0);
        BOOST_TEST(departed.listener.leases_lapsed == 0);
        for (int i = 0; i < 20; ++i) {
            departed.world.run_for(Millis(250));
            departed.answer_poll(status);
            BOOST_TEST(departed.listener.leases_lapsed == 0);
        }
        departed.world.run_for(Millis(2000));
        departed.answer_poll(status);
        BOOST_TEST(departed.listener.incarnations_ended == 0);
        BOOST_TEST(departed.listener.leases_lapsed == 1);
    }
}

// Tasks of a worker that has left in order wait for the end of its lease, so that is not
// renewed far beyond the announced end.
BOOST_AUTO_TEST_CASE(lease_of_a_leaving_worker_ends_soon_after_its_announced_end)
{
    DepartedWorker departed(Millis(2000));
    BOOST_TEST((departed.last_lease() > Millis(2000)));
    BOOST_TEST((departed.last_lease() <= Millis(2500)));
    departed.world.run_for(Millis(1990));
    departed.worker.polls.back().second(OrderStatus::accepted,
                                        report_at(departed.world.now()));
    departed.world.run_for(Millis(5));
    BOOST_TEST((departed.last_lease() <= Millis(510)));
    // It is gone: nothing answers any more.
    for (int i = 0; i < 5; ++i) {
        departed.answer_poll(OrderStatus::refused);
        departed.world.run_for(Millis(250));
    }
    BOOST_TEST(departed.listener.leases_lapsed == 1);
    BOOST_TEST(departed.listener.incarnations_ended == 0);
}

// A worker that runs on beyond its announced end keeps its lease as long as it answers.
BOOST_AUTO_TEST_CASE(lease_of_a_worker_that_outlasts_its_announced_end_is_renewed)
{
    DepartedWorker departed(Millis(1000));
    for (int i = 0; i < 40; ++i) {
        departed.world.run_for(Millis(100));
        BOOST_TEST((departed.last_lease() > Millis(0)));
        departed.worker.polls.back().second(OrderStatus::accepted,
                                            report_at(departed.world.now()));
        departed.world.run_for(Millis(2));
    }
    BOOST_TEST((departed.last_lease() > Millis(400)));
    BOOST_TEST(departed.listener.leases_lapsed == 0);
}

// The worker is listed again, so it had not left: its list entry had expired.
BOOST_AUTO_TEST_CASE(worker_that_is_listed_again_and_refuses_connections_is_not_over)
{
    DepartedWorker departed;
    departed.worker.polls.at(1).second(OrderStatus::unknown, std::nullopt);
    departed.world.run_for(Millis(500));
    departed.session->update(departed.session->info());
    departed.answer_poll(OrderStatus::refused);
    BOOST_TEST(departed.listener.incarnations_ended == 0);
}
