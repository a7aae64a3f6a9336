// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a session and a scheduler conclude when a worker has started again under its name,
/// with answers that a test gives by hand.

#define BOOST_TEST_MODULE life_changes
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"
#include "worker_list_changes.h"

#include <pathport/log.h>

#include <cstdlib>

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

const std::string first_life = WorkerIncarnation { "w1", 1000 }.id();
const std::string second_life = WorkerIncarnation { "w1", 2000 }.id();
const std::string third_life = WorkerIncarnation { "w1", 3000 }.id();

/// Longer than any lease.
constexpr Millis lease_time { 8000 };

int64_t highest_fence(const MultiWorkerTakeOver& site, const std::string& worker)
{
    int64_t highest = 0;
    for (const auto& look : site.manual_workers.polls) {
        if (look.worker == worker)
            highest = std::max(highest, look.order.fence);
    }
    return highest;
}

int64_t first_fence(const MultiWorkerTakeOver& site, const std::string& worker)
{
    for (const auto& look : site.manual_workers.polls) {
        if (look.worker == worker)
            return look.order.fence;
    }
    return 0;
}

size_t looks_at(const MultiWorkerTakeOver& site, const std::string& worker)
{
    return size_t(std::count_if(site.manual_workers.polls.begin(),
                                site.manual_workers.polls.end(),
                                [&](const auto& look) { return look.worker == worker; }));
}

/// A scheduler that has ordered a start of the job's task at the first life, which has not
/// been answered; another life has come since.
struct StartUnderWay : MultiWorkerTakeOver {
    StartUnderWay()
        : MultiWorkerTakeOver({ first_life }, job_of("job1"), {})
    {
        answer_polls(Millis(300));
        BOOST_REQUIRE(manual_workers.starts.size() == 1);
        worker_states[first_life].restarted = true;
    }
    int64_t run() const { return manual_workers.starts[0].order.run; }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(ids_of_lives_are_read_back)
{
    const WorkerIncarnation lives[] = { { "i-1", 0 },     { "i-1", 1796250672589 },
                                        { "i~1", 0 },     { "i~1~2", 77 },
                                        { "~", 1 },       { "", 0 },
                                        { "i-1~zz", 12 }, { "i-1~zz", 0 } };
    for (const WorkerIncarnation& life : lives) {
        BOOST_TEST((WorkerIncarnation::parse(life.id()) == life), life.id());
        for (const WorkerIncarnation& other : lives)
            BOOST_TEST((life == other || life.id() != other.id()), life.id());
    }
    // Rows of earlier versions hold names.
    BOOST_TEST((WorkerIncarnation::parse("i-0e14171e78")
                == WorkerIncarnation { "i-0e14171e78", 0 }));
    BOOST_TEST((WorkerIncarnation::parse("i-1~-5").started_ms == 0));
    BOOST_TEST((WorkerIncarnation::parse("i-1~").started_ms == 0));
    BOOST_TEST((WorkerIncarnation::parse("i-1~zzzzzzzzzzzzzzzzzzzz").started_ms == 0));
}

// What a relay reads for a leader: a life that differs by its birth only is a change.
BOOST_AUTO_TEST_CASE(another_life_is_a_change_of_the_list)
{
    const WorkersById before { { first_life,
                                 MultiWorkerTakeOver::worker_info(first_life) } };
    const WorkersById now { { second_life,
                              MultiWorkerTakeOver::worker_info(second_life) } };
    WorkersById list = before;
    const auto told = decode_worker_list_changes(encode(changes_between(before, now)));
    BOOST_REQUIRE(told.has_value());
    apply(*told, list);
    BOOST_TEST((list == now));
}

// A run that the first life had listed died with it.
BOOST_AUTO_TEST_CASE(tasks_of_the_life_before_are_placed_anew_at_once)
{
    MultiWorkerTakeOver site({ first_life, "w2" }, job_of("job1"), { { first_life, 7 } });
    site.answer_polls(Millis(500));
    BOOST_TEST(site.manual_workers.starts.empty());
    site.worker_states[first_life].running.clear();
    site.worker_states[first_life].restarted = true;
    site.answer_polls(Millis(2500));
    BOOST_TEST(site.count_starts(site.task) > 0);
    BOOST_TEST(site.manual_workers.starts.at(0).worker == "w2");
}

// An order goes to whichever life has the name when it comes. Placed anew at once, the task
// would run twice.
BOOST_AUTO_TEST_CASE(a_start_that_may_have_reached_the_next_life_waits_for_its_report)
{
    StartUnderWay site;
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.manual_workers.starts.size() == 1U);
    site.list({ second_life, "w2" });
    site.worker_states[second_life].running.push_back(running_task(site.task, site.run()));
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.manual_workers.starts.size() == 1U);
    BOOST_TEST(site.manual_workers.stops.empty());
    site.worker_states[second_life].running.clear();
    site.worker_states[second_life].ended.push_back(
        ended_task(1, site.task, site.run(), EndKind::done));
    site.answer_polls(Millis(1000));
    BOOST_TEST((site.scheduler->state_of("job1") == JobState::completed));
    BOOST_TEST(site.manual_workers.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_start_that_the_next_life_does_not_report_is_ordered_again)
{
    StartUnderWay site;
    site.answer_polls(Millis(3000));
    site.list({ second_life, "w2" });
    site.answer_polls(Millis(2000));
    BOOST_TEST(site.manual_workers.starts.size() == 2U);
    // Whatever was sent to the first life is void at the second from its first look on.
    BOOST_TEST(first_fence(site, second_life) > highest_fence(site, first_life));
}

BOOST_AUTO_TEST_CASE(a_start_is_ordered_again_once_no_life_can_have_it)
{
    StartUnderWay site;
    site.list({ "w2" });
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.manual_workers.starts.size() == 1U);
    site.answer_polls(lease_time);
    BOOST_TEST(site.manual_workers.starts.size() == 2U);
}

// A run is listed again and again; a start that was accepted before the last look that the
// first life answered was carried out by it.
BOOST_AUTO_TEST_CASE(a_start_that_the_first_life_has_confirmed_died_with_it)
{
    StartUnderWay site;
    site.worker_states[first_life].restarted = false;
    site.manual_workers.starts[0].done({ OrderStatus::accepted, site.world.now().count() });
    site.worker_states[first_life].running.push_back(running_task(site.task, site.run()));
    site.answer_polls(Millis(800));
    site.worker_states[first_life].restarted = true;
    site.list({ "w2" });
    site.answer_polls(Millis(2500));
    BOOST_TEST(site.manual_workers.starts.size() == 2U);
}

// The list may be behind what a worker has answered itself.
BOOST_AUTO_TEST_CASE(a_life_that_is_over_is_not_looked_at_again)
{
    MultiWorkerTakeOver site({ first_life, "w2" }, job_of("job1"), { { first_life, 7 } });
    site.answer_polls(Millis(500));
    site.worker_states[first_life].restarted = true;
    site.answer_polls(Millis(1000));
    const size_t looks = looks_at(site, first_life);
    site.answer_polls(Millis(3000));
    BOOST_TEST(looks_at(site, first_life) == looks);
    site.list({ second_life, "w2" });
    site.answer_polls(Millis(1500));
    BOOST_TEST(looks_at(site, second_life) > 0U);
}

// The list tells sooner than a look, as while the worker can't be reached.
BOOST_AUTO_TEST_CASE(a_life_is_over_once_the_list_names_another)
{
    MultiWorkerTakeOver site({ first_life, "w2" }, job_of("job1"), { { first_life, 7 } });
    site.answer_polls(Millis(500));
    site.worker_states[first_life].unresponsive = true;
    site.worker_states[second_life].unresponsive = true;
    site.list({ second_life, "w2" });
    site.answer_polls(Millis(1500));
    BOOST_TEST(site.count_starts(site.task) > 0);
}

// A new leader doesn't know what was sent to the life of which the rows tell.
BOOST_AUTO_TEST_CASE(a_new_leader_asks_the_present_life_for_tasks_of_an_earlier_one)
{
    for (const bool runs_there : { true, false }) {
        MultiWorkerTakeOver site({ first_life, "w2" }, job_of("job1"),
                                 { { first_life, 7 } });
        site.worker_states[third_life].unresponsive = true;
        if (runs_there)
            site.worker_states[third_life].running.push_back(running_task(site.task, 7));
        site.list({ third_life, "w2" });
        site.answer_polls(Millis(3000));
        BOOST_TEST(site.manual_workers.starts.empty());
        site.worker_states[third_life].unresponsive = false;
        site.answer_polls(Millis(2000));
        BOOST_TEST(site.manual_workers.starts.empty() == runs_there);
        BOOST_TEST(site.manual_workers.stops.empty());
    }
}

// The list may be behind, so that the new leader asks the earlier life, and another one
// answers. The earlier leader's order may have reached that one.
BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_the_life_that_answers_in_place_of_a_listed_one)
{
    for (const bool runs_there : { true, false }) {
        MultiWorkerTakeOver site({ first_life, "w2" }, job_of("job1"),
                                 { { first_life, 7 } });
        site.learn_store_clock();
        site.worker_states[first_life].running.clear();
        site.worker_states[first_life].restarted = true;
        site.answer_polls(Millis(2000));
        BOOST_TEST(site.manual_workers.starts.empty());
        if (runs_there)
            site.worker_states[second_life].running.push_back(running_task(site.task, 7));
        site.list({ second_life, "w2" });
        site.answer_polls(Millis(2000));
        BOOST_TEST(site.manual_workers.starts.empty() == runs_there);
        BOOST_TEST(site.manual_workers.stops.empty());
    }
}

// Rows of earlier versions, and of workers that have learnt to tell their birth since.
BOOST_AUTO_TEST_CASE(a_new_leader_finds_tasks_that_rows_put_at_a_name)
{
    MultiWorkerTakeOver site({ "w1" }, job_of("job1"), { { "w1", 7 } });
    site.worker_states[first_life].running.push_back(running_task(site.task, 7));
    site.list({ first_life });
    site.answer_polls(Millis(2000));
    BOOST_TEST(site.manual_workers.starts.empty());
    BOOST_TEST(site.manual_workers.stops.empty());
}

// Names of which one begins with the other are two workers.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_with_a_longer_name_stay_there)
{
    const std::string longer = WorkerIncarnation { "w12", 1000 }.id();
    MultiWorkerTakeOver site({ first_life, longer }, job_of("job1", 2),
                             { { first_life, 7 }, { longer, 8 } });
    site.list({ second_life, longer });
    site.worker_states[longer].unresponsive = true;
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.count_starts({ "job1", 0, 0, 0 }) == 1U);
    BOOST_TEST(site.count_starts({ "job1", 0, 0, 1 }) == 0U);
}

// The number of ends that were seen is told until a report lacks them: over a new
// connection it isn't sent.
BOOST_AUTO_TEST_CASE(seen_ends_are_told_until_they_are_forgotten)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener heard;
    WorkerSession session(loop, worker, heard, MultiWorkerTakeOver::worker_info(first_life),
                          1, 0, WorkerTimeouts(), world.now());
    session.start_polling();
    PollReport report = report_at(world.now());
    report.ended.push_back(ended_task(1, { "job", 0, 0, 0 }, 7, EndKind::done));
    worker.polls.back().second(OrderStatus::accepted, report);
    session.ends_recorded(1);
    world.run_for(Millis(5));
    BOOST_TEST(worker.polls.back().first.acked_through == 1);
    report.clock_ms = world.now().count();
    worker.polls.back().second(OrderStatus::accepted, report);
    const size_t looks = worker.polls.size();
    world.run_for(Millis(500));
    BOOST_REQUIRE(worker.polls.size() == looks + 1);
    BOOST_TEST(worker.polls.back().first.acked_through == 1);
    worker.polls.back().second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(5));
    BOOST_TEST(worker.polls.back().first.acked_through == 0);
}
