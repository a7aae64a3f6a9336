// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader whose processor is short: its answers wait to be read, and its passes look at a
/// part of the steps that wait. Guards against a load that, once it is too much, keeps the
/// leader from serving: answers that are late were taken for lost, and the workers that
/// gave them for silent; steps behind the cut of a pass were never looked at, though there
/// was room for them.

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

/// Other work of a process, which fills its processor.
class Backlog {
public:
    explicit Backlog(emulator::ProcessLoop& loop)
        : m_loop(loop)
    {
        ProcessorCost cost;
        cost.event = work_time;
        loop.set_processor_cost(cost);
    }

    /// From now on the process runs so late.
    void begin(Millis late)
    {
        m_waiting = static_cast<size_t>(late.count() / work_time.count());
        fill_up();
    }
    /// No more work comes.
    void end() { m_waiting = 0; }

private:
    static constexpr Millis work_time { 1 };

    void fill_up()
    {
        if (m_waiting == 0)
            return;
        while (m_loop.waiting_work() < m_waiting)
            m_loop.deliver([] {});
        m_loop.world().after(work_time, [this] { fill_up(); });
    }

    emulator::ProcessLoop& m_loop;
    size_t m_waiting = 0; ///< Pieces of work that wait at any time.
};

/// Starts a task twenty times a second.
void start_tasks(RelayFixture& path, Millis span)
{
    constexpr Millis pause { 50 };
    const Millis begun = path.world.now();
    while (path.world.now() < begun + span) {
        path.start("job" + std::to_string(path.world.now().count()), "p");
        path.world.run_for(pause);
    }
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The worker answers at once, and so does the relay; the leader reads it a second later.
BOOST_AUTO_TEST_CASE(answers_that_the_leader_reads_late_are_not_taken_for_lost)
{
    RelayFixture path;
    Backlog backlog(path.loop);
    backlog.begin(Millis(1000));
    start_tasks(path, Millis(4000)); // It learns how late answers are.
    path.world.run_for(Millis(3000));
    path.accepted = 0;
    path.unknown = 0;
    start_tasks(path, Millis(4000));
    path.world.run_for(Millis(3000));
    BOOST_TEST(path.accepted > 0);
    BOOST_TEST(path.unknown == 0);
}

// Waiting longer is for as long as answers are late only.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_noticed_as_soon_as_before_once_answers_are_in_time)
{
    RelayFixture path;
    Backlog backlog(path.loop);
    backlog.begin(Millis(1000));
    start_tasks(path, Millis(4000));
    backlog.end();
    path.loop.set_processor_cost({});
    start_tasks(path, Millis(20000));
    path.world.run_for(Millis(50));
    path.unknown = 0;
    path.relay_client.silent = true;
    path.start("lost", "p");
    path.world.run_for(Millis(600));
    BOOST_TEST(path.unknown == 1);
}

// Steps that can't be placed fill each pass, since no worker has their label.
BOOST_AUTO_TEST_CASE(a_step_behind_hundreds_that_have_no_room_is_started)
{
    constexpr int hopeless = 300;
    constexpr int64_t version = 1000;
    constexpr Millis soon { 3000 };
    MultiWorkerTakeOver site({ "w1" }, job_of("first"), {});
    site.answer_polls(Millis(1000));
    for (int i = 0; i < hopeless; ++i) {
        AcceptedJob job = job_of("hopeless" + std::to_string(i));
        job.spec.steps.front().label = "nowhere";
        site.scheduler->job_announced(job, version + i);
    }
    ProcessorCost cost;
    cost.clock_reading = Millis(1);
    site.loop.set_processor_cost(cost);
    site.answer_polls(Millis(500));
    AcceptedJob behind = job_of("behind");
    behind.queue.priority = 1;
    site.scheduler->job_announced(behind, version + hopeless);
    site.answer_polls(soon);
    BOOST_TEST(site.count_starts({ "behind", 0, 0, 0 }) == 1U);
}
