// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Silent workers across changes of leaders.
///
/// Guards against tasks of lost workers that wait for the longest lease again under each
/// new leader: after two changes of leaders they waited 13.6 s with free capacity, 8.8 s of
/// it under the last leader. Each leader waited from its own claim on, since the time at
/// which the last lease of a silent worker ended was not passed on. Now the head row lists
/// silent workers with that time, and a leader renews no lease of a worker in the row. The
/// first case fails without the entries, the others if leases of listed workers are
/// renewed.

#define BOOST_TEST_MODULE silent_workers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <algorithm>
#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Longer than any case, so that a task that still runs at the end has been started again;
/// a task without progress for 2.6 s would be stopped.
constexpr int64_t endless_ms = 100000;
/// The last lease, the time for its kill, and that to place the freed tasks.
constexpr Millis recovery_bound { 8000 };
/// The same after the first claim: a claim takes 0.4 s, and the leader before it may have
/// sent orders for 2.5 s after that.
constexpr Millis recovery_bound_after_claim { 11000 };

/// A cell with endless tasks that share its first worker.
struct BusyCell {
    Cell cell;
    int tasks = 12;

    explicit BusyCell(uint64_t seed)
        : cell(seed, 5, 6)
    {
        cell.workers.injected.dead_are_unresponsive = true;
        cell.world.run_for(Millis(2000));
        for (int i = 0; i < tasks; ++i)
            submit_plain(cell, name(i), small_step(1, endless_ms));
        cell.world.run_for(Millis(2000 + int64_t(seed) * 37));
    }
    static std::string name(int number) { return "job" + std::to_string(number); }
    int running() const
    {
        int count = 0;
        for (int i = 0; i < tasks; ++i)
            count += cell.workers.has_running_task(name(i)) ? 1 : 0;
        return count;
    }
    /// Kills the current leader at each of these times from now on, and runs until the last
    /// one.
    void kill_leaders(const std::vector<int64_t>& times_ms)
    {
        const Millis started_at = cell.world.now();
        for (const int64_t at : times_ms) {
            cell.world.run_for(
                std::max(Millis(0), started_at + Millis(at) - cell.world.now()));
            cell.kill(cell.leader(), Millis(20000));
        }
    }
    void run_until(Millis time)
    {
        cell.world.run_for(std::max(Millis(0), time - cell.world.now()));
    }
};

using MakeSilent = std::function<void(Cell&, const std::string&)>;

void isolate(Cell& cell, const std::string& worker)
{
    cell.workers.partition_for_good(worker);
}

void crash(Cell& cell, const std::string& worker)
{
    cell.workers.crash(worker, Millis(8000));
}

/// Returns how many tasks run at `bound` after `make_silent` was applied to half of the
/// workers, with leaders killed at `kills_ms` after that.
int running_after(Millis bound, uint64_t seed, const std::vector<int64_t>& kills_ms,
                  const MakeSilent& make_silent)
{
    BusyCell busy(seed);
    const Millis started_at = busy.cell.world.now();
    for (const char* const worker : { "w1", "w2", "w3" })
        make_silent(busy.cell, worker);
    busy.kill_leaders(kills_ms);
    busy.run_until(started_at + bound);
    const auto found_violations = busy.cell.workers.violations();
    BOOST_TEST(found_violations.empty(), "seed " << seed << join_lines(found_violations));
    return busy.running();
}

const std::vector<int64_t> slow_kills { 1200, 3000, 5000 };
const std::vector<int64_t> quick_kills { 1200, 1900, 2600, 3300 };

/// Workers that one leader loses, reaches again, and loses for good just before that leader
/// ends. The store refuses all calls for `outage` meanwhile.
std::vector<std::string> lose_a_worker_twice(uint64_t seed, int64_t slow, Millis outage)
{
    BusyCell busy(seed);
    Cell& cell = busy.cell;
    const auto below = [&cell](uint64_t bound) {
        return Millis(int64_t(cell.world.random_below(bound)));
    };
    cell.store.injected.latency_factor = slow;
    cell.world.run_for(Millis(slow > 1 ? 2000 : 0));
    const std::string leader = cell.leader();
    for (const char* const worker : { "w1", "w2", "w3" })
        cell.workers.partition(worker, Millis(1500) + below(1200), leader);
    // They have been lost by then, and the row lists them.
    cell.world.run_for(Millis(1400));
    cell.store.injected.refuse_calls = outage > Millis(0);
    cell.world.run_for(Millis(1300) + outage + below(700));
    for (const char* const worker : { "w1", "w2", "w3" })
        cell.workers.partition(worker, Millis(60000));
    cell.kill(leader, Millis(20000));
    cell.store.injected.refuse_calls = false;
    cell.store.injected.latency_factor = 1;
    cell.world.run_for(Millis(15000));
    std::vector<std::string> found_violations = cell.workers.violations();
    if (busy.running() < busy.tasks)
        found_violations.push_back(std::to_string(busy.running()) + " tasks run");
    return found_violations;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(tasks_on_silent_workers_wait_for_one_lease_over_all_leaders)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto& kills : { slow_kills, quick_kills }) {
            const int after_isolation = running_after(recovery_bound, seed, kills, isolate);
            BOOST_TEST(after_isolation == 12,
                       "isolated, seed " << seed << ": " << after_isolation << " run");
            const int after_crashing = running_after(recovery_bound, seed, kills, crash);
            BOOST_TEST(after_crashing == 12,
                       "crashed, seed " << seed << ": " << after_crashing << " run");
        }
    }
}

// Planned stops: the last write of each leader names its successor and lists all silent
// workers.
BOOST_AUTO_TEST_CASE(leaders_that_hand_over_pass_on_what_they_know)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto& make_silent : { isolate, crash }) {
            BusyCell busy(seed);
            Cell& cell = busy.cell;
            const Millis started_at = cell.world.now();
            for (const char* const worker : { "w1", "w2", "w3" })
                make_silent(cell, worker);
            const int64_t epoch = epoch_of(cell);
            for (const int64_t stopped_at : { 1200, 3000, 5000 }) {
                busy.run_until(started_at + Millis(stopped_at));
                cell.stop(cell.leader(), Millis(20000));
            }
            busy.run_until(started_at + recovery_bound);
            BOOST_TEST(epoch_of(cell) == epoch + 3);
            BOOST_TEST(busy.running() == busy.tasks, "seed " << seed);
            const auto found_violations = cell.workers.violations();
            BOOST_TEST(found_violations.empty(),
                       "seed " << seed << join_lines(found_violations));
        }
    }
}

// The first leader ends before it has lost the workers, so the second one waits from its
// claim on, once for all that follow it, also for workers that are no longer listed.
BOOST_AUTO_TEST_CASE(bound_of_the_first_leader_that_misses_a_worker_holds_for_all)
{
    const std::vector<int64_t> kills { 60, 1700, 3400, 5100 };
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const int after_isolation
            = running_after(recovery_bound_after_claim, seed, kills, isolate);
        BOOST_TEST(after_isolation == 12,
                   "isolated, seed " << seed << ": " << after_isolation << " run");
        const int after_crashing
            = running_after(recovery_bound_after_claim, seed, kills, crash);
        BOOST_TEST(after_crashing == 12,
                   "crashed, seed " << seed << ": " << after_crashing << " run");
    }
}

BOOST_AUTO_TEST_CASE(worker_that_was_reached_again_keeps_its_lease)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        for (const int64_t slow : { 1, 40, 80 }) {
            const auto found_violations = lose_a_worker_twice(seed, slow, Millis(0));
            BOOST_TEST(found_violations.empty(),
                       "seed " << seed << ", slow " << slow
                               << join_lines(found_violations));
        }
    }
}

// The leader renews leases while the store is down and its peers promise not to claim; the
// row still lists workers that it has reached again since.
BOOST_AUTO_TEST_CASE(worker_that_was_reached_again_in_an_outage_is_not_counted_as_lapsed)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        const auto found_violations = lose_a_worker_twice(seed, 1, Millis(6000));
        BOOST_TEST(found_violations.empty(),
                   "seed " << seed << join_lines(found_violations));
    }
}
