// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a session and a scheduler handle a worker that has restarted under its name; the
/// test gives the answers of workers.

#define BOOST_TEST_MODULE incarnation_changes
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

const std::string first_incarnation = WorkerIncarnation { "w1", 1000 }.id();
const std::string second_incarnation = WorkerIncarnation { "w1", 2000 }.id();
const std::string third_incarnation = WorkerIncarnation { "w1", 3000 }.id();

/// Longer than any lease.
constexpr Millis lease_time { 8000 };

int64_t highest_fence(const MultiWorkerTakeOver& take_over, const std::string& worker)
{
    int64_t highest = 0;
    for (const auto& entry : take_over.manual_workers.polls) {
        if (entry.worker == worker)
            highest = std::max(highest, entry.order.fence);
    }
    return highest;
}

int64_t first_fence(const MultiWorkerTakeOver& take_over, const std::string& worker)
{
    for (const auto& entry : take_over.manual_workers.polls) {
        if (entry.worker == worker)
            return entry.order.fence;
    }
    return 0;
}

size_t count_polls(const MultiWorkerTakeOver& take_over, const std::string& worker)
{
    return size_t(std::count_if(take_over.manual_workers.polls.begin(),
                                take_over.manual_workers.polls.end(),
                                [&](const auto& entry) { return entry.worker == worker; }));
}

/// A scheduler that has ordered a start of the job's task at the first incarnation and got
/// no answer; another incarnation has replaced it since.
struct StartInFlight : MultiWorkerTakeOver {
    StartInFlight()
        : MultiWorkerTakeOver({ first_incarnation }, job_of("job1"), {})
    {
        answer_polls(Millis(300));
        BOOST_REQUIRE(manual_workers.starts.size() == 1);
        worker_states[first_incarnation].restarted = true;
    }
    int64_t run() const { return manual_workers.starts[0].order.run; }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(ids_of_incarnations_are_parsed_back)
{
    const WorkerIncarnation incarnations[] = { { "i-1", 0 },     { "i-1", 1796250672589 },
                                               { "i~1", 0 },     { "i~1~2", 77 },
                                               { "~", 1 },       { "", 0 },
                                               { "i-1~zz", 12 }, { "i-1~zz", 0 } };
    for (const WorkerIncarnation& incarnation : incarnations) {
        BOOST_TEST((WorkerIncarnation::parse(incarnation.id()) == incarnation),
                   incarnation.id());
        for (const WorkerIncarnation& other : incarnations)
            BOOST_TEST((incarnation == other || incarnation.id() != other.id()),
                       incarnation.id());
    }
    // Rows of earlier versions hold names.
    BOOST_TEST((WorkerIncarnation::parse("i-0e14171e78")
                == WorkerIncarnation { "i-0e14171e78", 0 }));
    BOOST_TEST((WorkerIncarnation::parse("i-1~-5").started_ms == 0));
    BOOST_TEST((WorkerIncarnation::parse("i-1~").started_ms == 0));
    BOOST_TEST((WorkerIncarnation::parse("i-1~zzzzzzzzzzzzzzzzzzzz").started_ms == 0));
}

// Through a relay too, an incarnation that differs only by its birth time is a change of
// the list.
BOOST_AUTO_TEST_CASE(another_incarnation_is_a_change_of_the_list)
{
    const WorkersById before { { first_incarnation,
                                 MultiWorkerTakeOver::worker_info(first_incarnation) } };
    const WorkersById now { { second_incarnation,
                              MultiWorkerTakeOver::worker_info(second_incarnation) } };
    WorkersById list = before;
    const auto received = decode_worker_list_changes(encode(changes_between(before, now)));
    BOOST_REQUIRE(received.has_value());
    apply(*received, list);
    BOOST_TEST((list == now));
}

// A run that the first incarnation had listed ended with it.
BOOST_AUTO_TEST_CASE(tasks_of_an_ended_incarnation_are_placed_again_at_once)
{
    MultiWorkerTakeOver take_over({ first_incarnation, "w2" }, job_of("job1"),
                                  { { first_incarnation, 7 } });
    take_over.answer_polls(Millis(500));
    BOOST_TEST(take_over.manual_workers.starts.empty());
    take_over.worker_states[first_incarnation].running.clear();
    take_over.worker_states[first_incarnation].restarted = true;
    take_over.answer_polls(Millis(2500));
    BOOST_TEST(take_over.count_starts(take_over.task) > 0);
    BOOST_TEST(take_over.manual_workers.starts.at(0).worker == "w2");
}

// An order goes to the incarnation that has the name when it arrives. If the task were
// placed again at once, it would run twice.
BOOST_AUTO_TEST_CASE(
    a_start_that_may_have_reached_the_next_incarnation_waits_for_its_report)
{
    StartInFlight take_over;
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
    take_over.list({ second_incarnation, "w2" });
    take_over.worker_states[second_incarnation].running.push_back(
        running_task(take_over.task, take_over.run()));
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
    BOOST_TEST(take_over.manual_workers.stops.empty());
    take_over.worker_states[second_incarnation].running.clear();
    take_over.worker_states[second_incarnation].ended.push_back(
        ended_task(1, take_over.task, take_over.run(), EndKind::done));
    take_over.answer_polls(Millis(1000));
    BOOST_TEST((take_over.scheduler->state_of("job1") == JobState::completed));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
}

// A suspect may crash the next incarnation as well, so no other one of its job is started
// meanwhile.
BOOST_AUTO_TEST_CASE(suspect_that_may_have_reached_the_next_incarnation_delays_others)
{
    const auto record_losses = [](JobRecord& job) {
        Step& step = *job.step(0, 0);
        for (int i = 0; i < step.tasks.size(); ++i) {
            Task& task = step.tasks.edit(i);
            task.crashes.add({ 1, 0, false, "lost1" });
            task.crashes.add({ 2, 0, false, "lost2" });
        }
        step.has_crashes = true;
    };
    MultiWorkerTakeOver take_over({ first_incarnation }, job_of("job1", 2), {},
                                  record_losses);
    take_over.answer_polls(Millis(500));
    BOOST_REQUIRE(take_over.manual_workers.starts.size() == 1U);
    take_over.list({ first_incarnation, "w2" });
    take_over.answer_polls(Millis(500));
    take_over.worker_states[first_incarnation].restarted = true;
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
    take_over.answer_polls(Millis(5000));
    BOOST_TEST(take_over.manual_workers.starts.size() > 1U);
}

BOOST_AUTO_TEST_CASE(a_start_that_the_next_incarnation_does_not_report_is_ordered_again)
{
    StartInFlight take_over;
    take_over.answer_polls(Millis(3000));
    take_over.list({ second_incarnation, "w2" });
    take_over.answer_polls(Millis(2000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 2U);
    // Orders to the first incarnation are void at the second one from its first poll on.
    BOOST_TEST(first_fence(take_over, second_incarnation)
               > highest_fence(take_over, first_incarnation));
}

// The worker restarts once more before its next incarnation has reported, so the order may
// have reached any of the three. Leases of the earlier leader, which end sooner, do not
// shorten the wait.
BOOST_AUTO_TEST_CASE(a_start_in_doubt_waits_as_long_after_a_second_restart)
{
    MultiWorkerTakeOver take_over({}, job_of("job1"), {});
    take_over.answer_polls(Millis(5000));
    take_over.list({ first_incarnation });
    take_over.answer_polls(Millis(500));
    BOOST_REQUIRE(take_over.manual_workers.starts.size() == 1U);
    take_over.worker_states[first_incarnation].restarted = true;
    take_over.worker_states[second_incarnation].restarted = true;
    take_over.list({ second_incarnation, "w2" });
    take_over.answer_polls(Millis(1000));
    take_over.worker_states[third_incarnation].unresponsive = true;
    take_over.list({ third_incarnation, "w2" });
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
    take_over.answer_polls(lease_time);
    BOOST_TEST(take_over.manual_workers.starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_start_is_ordered_again_once_no_incarnation_can_have_it)
{
    StartInFlight take_over;
    take_over.list({ "w2" });
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.manual_workers.starts.size() == 1U);
    take_over.answer_polls(lease_time);
    BOOST_TEST(take_over.manual_workers.starts.size() == 2U);
}

// A start that was accepted before the last poll that the first incarnation answered was
// executed by that incarnation.
BOOST_AUTO_TEST_CASE(a_start_that_the_first_incarnation_confirmed_ended_with_it)
{
    StartInFlight take_over;
    take_over.worker_states[first_incarnation].restarted = false;
    take_over.manual_workers.starts[0].done(
        { OrderStatus::accepted, take_over.world.now().count() });
    take_over.worker_states[first_incarnation].running.push_back(
        running_task(take_over.task, take_over.run()));
    take_over.answer_polls(Millis(800));
    take_over.worker_states[first_incarnation].restarted = true;
    take_over.list({ "w2" });
    take_over.answer_polls(Millis(2500));
    BOOST_TEST(take_over.manual_workers.starts.size() == 2U);
}

// The list may be older than the worker's own answer.
BOOST_AUTO_TEST_CASE(an_ended_incarnation_is_not_polled_again)
{
    MultiWorkerTakeOver take_over({ first_incarnation, "w2" }, job_of("job1"),
                                  { { first_incarnation, 7 } });
    take_over.answer_polls(Millis(500));
    take_over.worker_states[first_incarnation].restarted = true;
    take_over.answer_polls(Millis(1000));
    const size_t poll_count = count_polls(take_over, first_incarnation);
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(count_polls(take_over, first_incarnation) == poll_count);
    take_over.list({ second_incarnation, "w2" });
    take_over.answer_polls(Millis(1500));
    BOOST_TEST(count_polls(take_over, second_incarnation) > 0U);
}

// The list may report the new incarnation before a poll does, for example while the worker
// cannot be reached.
BOOST_AUTO_TEST_CASE(an_incarnation_has_ended_once_the_list_names_another)
{
    MultiWorkerTakeOver take_over({ first_incarnation, "w2" }, job_of("job1"),
                                  { { first_incarnation, 7 } });
    take_over.answer_polls(Millis(500));
    take_over.worker_states[first_incarnation].unresponsive = true;
    take_over.worker_states[second_incarnation].unresponsive = true;
    take_over.list({ second_incarnation, "w2" });
    take_over.answer_polls(Millis(1500));
    BOOST_TEST(take_over.count_starts(take_over.task) > 0);
}

// A new leader does not know which orders were sent to the incarnation in the rows.
BOOST_AUTO_TEST_CASE(a_new_leader_asks_the_current_incarnation_for_tasks_of_an_earlier_one)
{
    for (const bool runs_there : { true, false }) {
        MultiWorkerTakeOver take_over({ first_incarnation, "w2" }, job_of("job1"),
                                      { { first_incarnation, 7 } });
        take_over.worker_states[third_incarnation].unresponsive = true;
        if (runs_there)
            take_over.worker_states[third_incarnation].running.push_back(
                running_task(take_over.task, 7));
        take_over.list({ third_incarnation, "w2" });
        take_over.answer_polls(Millis(3000));
        BOOST_TEST(take_over.manual_workers.starts.empty());
        take_over.worker_states[third_incarnation].unresponsive = false;
        take_over.answer_polls(Millis(2000));
        BOOST_TEST(take_over.manual_workers.starts.empty() == runs_there);
        BOOST_TEST(take_over.manual_workers.stops.empty());
    }
}

// The list may be old, so that the new leader polls the earlier incarnation and another one
// answers, which may have received the earlier leader's order.
BOOST_AUTO_TEST_CASE(
    a_new_leader_waits_for_the_incarnation_that_answers_instead_of_a_listed_one)
{
    for (const bool runs_there : { true, false }) {
        MultiWorkerTakeOver take_over({ first_incarnation, "w2" }, job_of("job1"),
                                      { { first_incarnation, 7 } });
        take_over.learn_store_clock();
        take_over.worker_states[first_incarnation].running.clear();
        take_over.worker_states[first_incarnation].restarted = true;
        take_over.answer_polls(Millis(2000));
        BOOST_TEST(take_over.manual_workers.starts.empty());
        if (runs_there)
            take_over.worker_states[second_incarnation].running.push_back(
                running_task(take_over.task, 7));
        take_over.list({ second_incarnation, "w2" });
        take_over.answer_polls(Millis(2000));
        BOOST_TEST(take_over.manual_workers.starts.empty() == runs_there);
        BOOST_TEST(take_over.manual_workers.stops.empty());
    }
}

// Rows of earlier versions, and rows of workers that did not report their birth time
// before.
BOOST_AUTO_TEST_CASE(a_new_leader_finds_tasks_that_rows_place_at_a_name)
{
    MultiWorkerTakeOver take_over({ "w1" }, job_of("job1"), { { "w1", 7 } });
    take_over.worker_states[first_incarnation].running.push_back(
        running_task(take_over.task, 7));
    take_over.list({ first_incarnation });
    take_over.answer_polls(Millis(2000));
    BOOST_TEST(take_over.manual_workers.starts.empty());
    BOOST_TEST(take_over.manual_workers.stops.empty());
}

// Two workers, where the name of one is a prefix of the other's.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_with_a_longer_name_stay_there)
{
    const std::string longer_id = WorkerIncarnation { "w12", 1000 }.id();
    MultiWorkerTakeOver take_over({ first_incarnation, longer_id }, job_of("job1", 2),
                                  { { first_incarnation, 7 }, { longer_id, 8 } });
    take_over.list({ second_incarnation, longer_id });
    take_over.worker_states[longer_id].unresponsive = true;
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.count_starts({ "job1", 0, 0, 0 }) == 1U);
    BOOST_TEST(take_over.count_starts({ "job1", 0, 0, 1 }) == 0U);
}

// The number of recorded ends is sent until a report no longer lists them: over a new
// connection it is not sent.
BOOST_AUTO_TEST_CASE(recorded_ends_are_acknowledged_until_discarded)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    ManualWorker worker;
    RecordingListener listener;
    WorkerSession session(loop, worker, listener,
                          MultiWorkerTakeOver::worker_info(first_incarnation), 1, 0,
                          WorkerTimeouts(), world.now());
    session.start_polling();
    PollReport report = report_at(world.now());
    report.ended.push_back(ended_task(1, { "job", 0, 0, 0 }, 7, EndKind::done));
    worker.polls.back().second(OrderStatus::accepted, report);
    session.ends_recorded(1);
    world.run_for(Millis(5));
    BOOST_TEST(worker.polls.back().first.acked_through == 1);
    report.clock_ms = world.now().count();
    worker.polls.back().second(OrderStatus::accepted, report);
    const size_t poll_count = worker.polls.size();
    world.run_for(Millis(500));
    BOOST_REQUIRE(worker.polls.size() == poll_count + 1);
    BOOST_TEST(worker.polls.back().first.acked_through == 1);
    worker.polls.back().second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(5));
    BOOST_TEST(worker.polls.back().first.acked_through == 0);
}

// An entry that lacks the start time, as one of another writer may, was taken for the next
// incarnation's, and the tasks of the one that ran were started again.
BOOST_AUTO_TEST_CASE(entry_without_start_time_ends_no_incarnation)
{
    MultiWorkerTakeOver take_over({ first_incarnation, "w2~a" }, job_of("job1"),
                                  { { first_incarnation, 7 } });
    take_over.answer_polls(Millis(1000));
    BOOST_TEST(take_over.count_starts(take_over.task) == 0U);
    take_over.list({ "w1", "w2~a" });
    take_over.worker_states["w1"] = take_over.worker_states[first_incarnation];
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.count_starts(take_over.task) == 0U);
}
