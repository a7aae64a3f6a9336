// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Seen: tasks that were done ran again, though their ends had been taken note of; others
/// were never started again after their worker had crashed.
/// Course: the worker came back within a second under the id that it had, unseen by the
/// list, with a clock and a count of ends that began anew. Its leader went on with the
/// session of the life before: it told the new life that its first ends were seen, passed
/// over them itself, and took its reports for older than those of before.
/// Cause: whatever was kept of a worker was kept by its id, over its lives.
/// Proof: the cases here failed in this way; with lives told apart, none does.

#define BOOST_TEST_MODULE worker_restarts
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::RestartOptions;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr uint64_t seeds = 4;
constexpr Millis load_time { 6000 };

/// Hands in a job of short tasks, a gang and a task with work after it, each 250 ms.
void load(Cell& cell)
{
    for (int i = 0; i < load_time.count() / 250; ++i) {
        cell.world.after(Millis(int64_t(250) * i), [&cell, i] {
            StepModel gang = one_core_step(3, 900);
            gang.gang = true;
            StepModel after = one_core_step(2, 150);
            after.after = { 0 };
            const std::string number = std::to_string(i);
            submit(cell, "q0", "short" + number, { one_core_step(4, 120), after });
            submit(cell, "q1", "gang" + number, { gang });
            submit(cell, "a1", "long" + number, { one_core_step(2, 1800) });
        });
    }
}

using Trouble = std::function<void(Cell& cell)>;

/// Plays a cell under load in which `trouble` is brought about at 2 s, and returns what is
/// wrong: a job that could run and doesn't in the calm after it as well as all that the
/// workers see.
std::vector<std::string> play(uint64_t seed, const Trouble& trouble, int workers = 6)
{
    constexpr Millis settles_in { 8000 };
    Cell cell(seed, 3, workers);
    add_queues(cell);
    cell.workers.allowed_tenths = 9;
    cell.world.run_for(Millis(1500));
    cell.note_disturbance(load_time, settles_in);
    cell.watch_jobs();
    load(cell);
    cell.world.run_for(Millis(2000 + int64_t(seed) * 37));
    trouble(cell);
    cell.world.run_for(Millis(35000));
    return cell.final_violations();
}

void expect_none_wrong(const Trouble& trouble)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto wrong = play(seed, trouble);
        BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
    }
}

/// Returns a comeback with a clock that begins at 0, or far ahead of that of before.
RestartOptions comeback(Millis pause, bool ahead = false)
{
    RestartOptions how;
    how.downtime = pause;
    how.listed_after = Millis(600);
    how.start_clock_ms = ahead ? 5000000 : 0;
    return how;
}

void restart_all(Cell& cell, const RestartOptions& how)
{
    for (const std::string& id : cell.workers.ids())
        cell.workers.restart(id, how);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_clock_that_begins_anew)
{
    expect_none_wrong([](Cell& cell) { restart_all(cell, comeback(Millis(300))); });
}

BOOST_AUTO_TEST_CASE(a_clock_that_is_ahead)
{
    expect_none_wrong([](Cell& cell) { restart_all(cell, comeback(Millis(300), true)); });
}

// Back before a look could fail.
BOOST_AUTO_TEST_CASE(a_restart_in_no_time)
{
    expect_none_wrong([](Cell& cell) { restart_all(cell, comeback(Millis(1))); });
}

BOOST_AUTO_TEST_CASE(a_restart_without_power)
{
    expect_none_wrong([](Cell& cell) {
        RestartOptions how = comeback(Millis(250));
        how.unresponsive = true;
        restart_all(cell, how);
    });
}

BOOST_AUTO_TEST_CASE(twice_in_a_row)
{
    expect_none_wrong([](Cell& cell) {
        restart_all(cell, comeback(Millis(100)));
        cell.world.after(Millis(350),
                         [&cell] { restart_all(cell, comeback(Millis(100), true)); });
        cell.world.after(Millis(2500),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(single_members_of_gangs)
{
    expect_none_wrong([](Cell& cell) {
        const auto ids = cell.workers.ids();
        for (size_t i = 0; i < ids.size(); ++i) {
            cell.world.after(Millis(int64_t(i) * 400), [&cell, id = ids[i]] {
                cell.workers.restart(id, comeback(Millis(200)));
            });
        }
    });
}

BOOST_AUTO_TEST_CASE(while_the_leader_changes)
{
    expect_none_wrong([](Cell& cell) {
        restart_all(cell, comeback(Millis(300)));
        cell.kill(cell.leader(), Millis(2000));
    });
}

BOOST_AUTO_TEST_CASE(before_the_next_leader_looks)
{
    expect_none_wrong([](Cell& cell) {
        cell.kill(cell.leader(), Millis(2000));
        cell.world.after(Millis(150),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(while_the_leader_stands_still)
{
    expect_none_wrong([](Cell& cell) {
        cell.freeze(cell.leader(), Millis(900));
        cell.world.after(Millis(300),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(while_the_store_is_away)
{
    expect_none_wrong([](Cell& cell) {
        cell.store.injected.refuse_calls = true;
        cell.world.after(Millis(2500),
                         [&cell] { cell.store.injected.refuse_calls = false; });
        cell.world.after(Millis(300),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

BOOST_AUTO_TEST_CASE(behind_a_cut)
{
    expect_none_wrong([](Cell& cell) {
        for (const std::string& id : cell.workers.ids())
            cell.workers.partition(id, Millis(1500));
        cell.world.after(Millis(500),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

// Some orders to each life get no answer, and are carried out seconds later if it lives on.
BOOST_AUTO_TEST_CASE(orders_of_before_on_the_way)
{
    expect_none_wrong([](Cell& cell) {
        cell.workers.injected.unanswered_share = 0.3;
        cell.world.after(Millis(1500),
                         [&cell] { cell.workers.injected.unanswered_share = 0; });
        cell.world.after(Millis(400),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

BOOST_AUTO_TEST_CASE(as_another_kind_of_machine)
{
    expect_none_wrong([](Cell& cell) {
        RestartOptions how = comeback(Millis(300));
        how.capacity = Resources { 3000, 6000, 0 };
        restart_all(cell, how);
    });
}
