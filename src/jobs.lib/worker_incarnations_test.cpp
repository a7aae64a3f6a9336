// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against state that outlives a restart of a worker: completed tasks ran again
/// although their ends had been recorded, and others were never started again after a
/// crash. A worker was back within a second under the same id, unnoticed by the list, with
/// its clock and its end numbers reset. The leader kept the session of the earlier
/// incarnation: it acknowledged the first ends of the new one, skipped them itself, and
/// considered its reports outdated. State is now kept per incarnation; without that the
/// cases here fail.

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

/// Submits a job of short tasks with a dependent step, a gang and a job of long tasks every
/// 250 ms.
void submit_load(Cell& cell)
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

using Disturbance = std::function<void(Cell& cell)>;

/// Runs a cell under load, calls `disturb` after 2 s, and returns violations: those that
/// the workers see, and jobs that could run and do not once the cell is calm again.
std::vector<std::string> run_cell(uint64_t seed, const Disturbance& disturb,
                                  int workers = 6)
{
    constexpr Millis settling_time { 8000 };
    Cell cell(seed, 3, workers);
    add_queues(cell);
    cell.workers.allowed_tenths = 9;
    cell.world.run_for(Millis(1500));
    cell.note_disturbance(load_time, settling_time);
    cell.watch_jobs();
    submit_load(cell);
    cell.world.run_for(Millis(2000 + int64_t(seed) * 37));
    disturb(cell);
    cell.world.run_for(Millis(35000));
    return cell.final_violations();
}

void expect_no_violations(const Disturbance& disturb)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto violations = run_cell(seed, disturb);
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}

/// Returns a restart whose clock begins at 0, or far ahead of the earlier one.
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

BOOST_AUTO_TEST_CASE(a_clock_that_is_reset)
{
    expect_no_violations([](Cell& cell) { restart_all(cell, comeback(Millis(300))); });
}

BOOST_AUTO_TEST_CASE(a_clock_that_is_ahead)
{
    expect_no_violations(
        [](Cell& cell) { restart_all(cell, comeback(Millis(300), true)); });
}

// The worker is back before a poll can fail.
BOOST_AUTO_TEST_CASE(an_immediate_restart)
{
    expect_no_violations([](Cell& cell) { restart_all(cell, comeback(Millis(1))); });
}

BOOST_AUTO_TEST_CASE(a_restart_without_power)
{
    expect_no_violations([](Cell& cell) {
        RestartOptions how = comeback(Millis(250));
        how.unresponsive = true;
        restart_all(cell, how);
    });
}

BOOST_AUTO_TEST_CASE(twice_in_a_row)
{
    expect_no_violations([](Cell& cell) {
        restart_all(cell, comeback(Millis(100)));
        cell.world.after(Millis(350),
                         [&cell] { restart_all(cell, comeback(Millis(100), true)); });
        cell.world.after(Millis(2500),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(single_members_of_gangs)
{
    expect_no_violations([](Cell& cell) {
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
    expect_no_violations([](Cell& cell) {
        restart_all(cell, comeback(Millis(300)));
        cell.kill(cell.leader(), Millis(2000));
    });
}

BOOST_AUTO_TEST_CASE(before_the_next_leader_polls)
{
    expect_no_violations([](Cell& cell) {
        cell.kill(cell.leader(), Millis(2000));
        cell.world.after(Millis(150),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(while_the_leader_is_frozen)
{
    expect_no_violations([](Cell& cell) {
        cell.freeze(cell.leader(), Millis(900));
        cell.world.after(Millis(300),
                         [&cell] { restart_all(cell, comeback(Millis(100))); });
    });
}

BOOST_AUTO_TEST_CASE(while_the_store_is_down)
{
    expect_no_violations([](Cell& cell) {
        cell.store.injected.refuse_calls = true;
        cell.world.after(Millis(2500),
                         [&cell] { cell.store.injected.refuse_calls = false; });
        cell.world.after(Millis(300),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

BOOST_AUTO_TEST_CASE(behind_a_partition)
{
    expect_no_violations([](Cell& cell) {
        for (const std::string& id : cell.workers.ids())
            cell.workers.partition(id, Millis(1500));
        cell.world.after(Millis(500),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

// Some orders to each incarnation get no answer, and are executed seconds later if it is
// still alive.
BOOST_AUTO_TEST_CASE(earlier_orders_in_flight)
{
    expect_no_violations([](Cell& cell) {
        cell.workers.injected.unanswered_share = 0.3;
        cell.world.after(Millis(1500),
                         [&cell] { cell.workers.injected.unanswered_share = 0; });
        cell.world.after(Millis(400),
                         [&cell] { restart_all(cell, comeback(Millis(200))); });
    });
}

BOOST_AUTO_TEST_CASE(as_another_kind_of_machine)
{
    expect_no_violations([](Cell& cell) {
        RestartOptions how = comeback(Millis(300));
        how.capacity = Resources { 3000, 6000, 0 };
        restart_all(cell, how);
    });
}
