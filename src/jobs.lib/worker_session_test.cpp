// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a leader concludes from workers that list many ends or can't be reached.

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

// The worker lists 500 ends at once (PROTOCOL). A run that is not among them may be the
// next; it is not to be started again.
BOOST_AUTO_TEST_CASE(full_list_of_ends_does_not_say_that_a_run_is_missing)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener heard;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, heard, info, 1, 0, WorkerTimeouts(),
                          world.now() + Millis(9000));
    session.start_polling();
    worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(5));
    std::optional<StartResult> result;
    const TaskId task { "job", 0, 0, 0 };
    session.start(task, 7, "p", "", "",
                  [&result](StartResult found, OrderStatus) { result = found; });
    const size_t looks = worker.polls.size();
    worker.starts.at(0)(OrderAnswer()); // No answer; it was done, and the run ended.
    BOOST_REQUIRE(worker.polls.size() > looks);
    worker.polls.back().second(OrderStatus::accepted, full_report_at(world.now()));
    BOOST_TEST((!result || *result != StartResult::not_started));
}

// The same at a take-over: the run's end is the next one, and comes with the next look.
BOOST_AUTO_TEST_CASE(full_first_list_of_ends_frees_no_task)
{
    SingleWorkerTakeOver over;
    PollReport full = full_report_at(over.world.now());
    over.report(full);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST((over.scheduler->state_of("job1") == JobState::pending));
    PollReport rest = report_at(over.world.now());
    EndedTask end;
    end.number = full.ended.back().number + 1;
    end.task = over.task;
    end.run = over.run;
    rest.ended.push_back(end);
    over.report(rest);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST((over.scheduler->state_of("job1") == JobState::completed));
}

// What runs is in each report; it is adopted once, whichever report lists all ends.
BOOST_AUTO_TEST_CASE(run_beside_a_full_first_list_is_adopted_once)
{
    SingleWorkerTakeOver over;
    PollReport full = full_report_at(over.world.now());
    RunningTask running;
    running.task = over.task;
    running.run = over.run;
    full.running.push_back(running);
    over.report(full);
    PollReport rest = report_at(over.world.now());
    rest.running.push_back(running);
    over.report(rest);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST(over.worker.stops == 0);
}

// With a list that is not full, a task that is not in it is free.
BOOST_AUTO_TEST_CASE(short_first_list_of_ends_frees_a_task)
{
    SingleWorkerTakeOver over;
    over.report(report_at(over.world.now()));
    BOOST_TEST(over.worker.starts.size() == 1U);
}

namespace {

/// A session with a draining worker that has gone from the list while its lease still
/// holds.
struct LeftWorker {
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener heard;
    std::unique_ptr<WorkerSession> session;

    LeftWorker()
    {
        WorkerInfo info;
        info.id = "w1";
        info.draining = true;
        session = std::make_unique<WorkerSession>(loop, worker, heard, info, 1, 0,
                                                  WorkerTimeouts(), world.now());
        session->start_polling();
        worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
        world.run_for(Millis(5)); // The next look leases for 5.85 s.
        BOOST_REQUIRE(worker.polls.at(1).first.lease_until > world.now().count() + 5000);
        session->mark_left();
        worker.polls.at(1).second(OrderStatus::unknown, std::nullopt);
        world.run_for(Millis(500));
    }
    void answer_look(OrderStatus status)
    {
        worker.polls.back().second(status, std::nullopt);
    }
};

} // namespace

// The worker has gone from the list, since it was cut off for three heartbeats, and
// connecting to it times out. Its lease has not run out, so what runs there may run on.
BOOST_AUTO_TEST_CASE(worker_that_cannot_be_reached_within_its_lease_is_not_over)
{
    LeftWorker left;
    left.answer_look(OrderStatus::unreachable);
    BOOST_TEST(left.heard.incarnations_ended == 0);
    BOOST_TEST(left.heard.leases_lapsed == 0);
    for (int i = 0; i < 30; ++i) {
        left.world.run_for(Millis(250));
        left.answer_look(OrderStatus::unreachable);
    }
    BOOST_TEST(left.heard.incarnations_ended == 0);
    BOOST_TEST(left.heard.leases_lapsed == 1);
}

// Nothing listens there any more, as it had announced.
BOOST_AUTO_TEST_CASE(worker_that_has_left_and_refuses_connections_is_over)
{
    LeftWorker left;
    left.answer_look(OrderStatus::refused);
    BOOST_TEST(left.heard.incarnations_ended == 1);
}

// It is listed again, so it had not left: its entry had lapsed.
BOOST_AUTO_TEST_CASE(worker_that_is_listed_again_and_refuses_connections_is_not_over)
{
    LeftWorker left;
    left.session->update(left.session->info());
    left.answer_look(OrderStatus::refused);
    BOOST_TEST(left.heard.incarnations_ended == 0);
}
