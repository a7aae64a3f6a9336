// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader that lacks processor time: it reads answers late, and its passes examine only
/// some of the waiting steps. Guards against an overload that keeps the leader from
/// working: late answers counted as lost, and their workers as silent; steps beyond the
/// time limit of a pass were never examined, although there was capacity for them.

#define BOOST_TEST_MODULE overloaded_leader
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"
#include "relay_fixture.h"

#include <pathport/log.h>

#include <functional>
#include <string>

using namespace pathport;
using namespace pathport::jobs;
using emulator::ProcessorCost;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// Other work that keeps the processor of a process busy.
class BackgroundLoad {
public:
    explicit BackgroundLoad(emulator::ProcessLoop& loop)
        : m_loop(loop)
    {
        ProcessorCost cost;
        cost.event = work_time;
        loop.set_processor_cost(cost);
    }

    /// Delays the process by `late` from now on.
    void begin(Millis late)
    {
        m_waiting = static_cast<size_t>(late.count() / work_time.count());
        add_work();
    }
    /// Adds no more work.
    void end() { m_waiting = 0; }

private:
    static constexpr Millis work_time { 1 };

    void add_work()
    {
        if (m_waiting == 0)
            return;
        while (m_loop.waiting_work() < m_waiting)
            m_loop.deliver([] {});
        m_loop.world().after(work_time, [this] { add_work(); });
    }

    emulator::ProcessLoop& m_loop;
    size_t m_waiting = 0; ///< Number of work items kept waiting.
};

/// Starts a task twenty times a second.
void start_tasks(RelayFixture& fixture, Millis span)
{
    constexpr Millis pause { 50 };
    const Millis started_at = fixture.world.now();
    while (fixture.world.now() < started_at + span) {
        fixture.start("job" + std::to_string(fixture.world.now().count()), "p");
        fixture.world.run_for(pause);
    }
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The worker and the relay answer at once; the leader reads the answer a second later.
BOOST_AUTO_TEST_CASE(answers_that_the_leader_reads_late_are_not_taken_for_lost)
{
    RelayFixture fixture;
    BackgroundLoad background(fixture.loop);
    background.begin(Millis(1000));
    start_tasks(fixture, Millis(4000)); // The leader learns how late answers are.
    fixture.world.run_for(Millis(3000));
    fixture.accepted = 0;
    fixture.unknown = 0;
    start_tasks(fixture, Millis(4000));
    fixture.world.run_for(Millis(3000));
    BOOST_TEST(fixture.accepted > 0);
    BOOST_TEST(fixture.unknown == 0);
}

// Time-outs are longer only while answers are late.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_noticed_as_soon_as_before_once_answers_are_in_time)
{
    RelayFixture fixture;
    BackgroundLoad background(fixture.loop);
    background.begin(Millis(1000));
    start_tasks(fixture, Millis(4000));
    background.end();
    fixture.loop.set_processor_cost({});
    start_tasks(fixture, Millis(20000));
    fixture.world.run_for(Millis(50));
    fixture.unknown = 0;
    fixture.relay_client.silent = true;
    fixture.start("lost", "p");
    fixture.world.run_for(Millis(600));
    BOOST_TEST(fixture.unknown == 1);
}

// Steps that cannot be placed, since no worker has their label, use up each pass.
BOOST_AUTO_TEST_CASE(a_step_behind_hundreds_that_have_no_room_is_started)
{
    constexpr int unplaceable = 300;
    constexpr int64_t version = 1000;
    constexpr Millis soon { 3000 };
    MultiWorkerTakeOver take_over({ "w1" }, job_of("first"), {});
    take_over.answer_polls(Millis(1000));
    for (int i = 0; i < unplaceable; ++i) {
        AcceptedJob job = job_of("hopeless" + std::to_string(i));
        job.spec.steps.front().label = "nowhere";
        take_over.scheduler->job_announced(job, version + i);
    }
    ProcessorCost cost;
    cost.clock_reading = Millis(1);
    take_over.loop.set_processor_cost(cost);
    take_over.answer_polls(Millis(500));
    AcceptedJob behind = job_of("behind");
    behind.queue.priority = 1;
    take_over.scheduler->job_announced(behind, version + unplaceable);
    take_over.answer_polls(soon);
    BOOST_TEST(take_over.count_starts({ "behind", 0, 0, 0 }) == 1U);
}
