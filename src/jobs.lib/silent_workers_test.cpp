// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that are silent while leaders follow each other.
///
/// Seen: workers were lost, two leaders ended soon after, and all that had been placed
/// there stood for 13.6 s with free room all the while; 8.8 s of it counted by the last
/// leader. How: each leader waited from its own claim on for the longest lease that an
/// earlier one might have given, also at workers that none had reached since they were
/// lost. Cause: a leader that lost a worker knew when the last lease there ended, and did
/// not pass it on. Now the head row tells it of each worker that is silent, and a leader
/// renews no lease at a worker that the row names. Proof: the first case fails without the
/// entries, the others when leases are renewed at workers that the row names.

#define BOOST_TEST_MODULE silent_workers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <algorithm>
#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Longer than any case, so that a task that runs late has been started again; a task whose
/// progress does not move within 2.6 s would be stopped.
constexpr int64_t endless_ms = 100000;
/// The last lease, the time for its kill, and that to place what it frees.
constexpr Millis one_bound { 8000 };
/// The same after the first claim: that takes 0.4 s, and the leader before it may have
/// given orders for 2.5 s after that.
constexpr Millis bound_of_claim { 11000 };

/// A cell with endless tasks, which share its first worker.
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
    /// Kills whoever leads at each of these times from now on, and runs to the last one.
    void kill_leaders(const std::vector<int64_t>& times_ms)
    {
        const Millis begun = cell.world.now();
        for (const int64_t at : times_ms) {
            cell.world.run_for(std::max(Millis(0), begun + Millis(at) - cell.world.now()));
            cell.kill(cell.leader(), Millis(20000));
        }
    }
    void run_until(Millis time)
    {
        cell.world.run_for(std::max(Millis(0), time - cell.world.now()));
    }
};

using Silence = std::function<void(Cell&, const std::string&)>;

void vanish(Cell& cell, const std::string& worker)
{
    cell.workers.partition_for_good(worker);
}

void crash(Cell& cell, const std::string& worker)
{
    cell.workers.crash(worker, Millis(8000));
}

/// Returns how many tasks run at `bound` after half of the workers have become silent by
/// `silence`, when leaders end at `kills_ms` after that.
int running_after(Millis bound, uint64_t seed, const std::vector<int64_t>& kills_ms,
                  const Silence& silence)
{
    BusyCell busy(seed);
    const Millis begun = busy.cell.world.now();
    for (const char* const worker : { "w1", "w2", "w3" })
        silence(busy.cell, worker);
    busy.kill_leaders(kills_ms);
    busy.run_until(begun + bound);
    const auto wrong = busy.cell.workers.violations();
    BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
    return busy.running();
}

const std::vector<int64_t> slow_kills { 1200, 3000, 5000 };
const std::vector<int64_t> quick_kills { 1200, 1900, 2600, 3300 };

/// A worker that one leader loses, reaches again and loses for good just before that leader
/// ends. `outage` is for how long the store refuses all calls meanwhile.
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
    cell.world.run_for(Millis(1400)); // It has been lost by then, and the row says so.
    cell.store.injected.refuse_calls = outage > Millis(0);
    cell.world.run_for(Millis(1300) + outage + below(700));
    for (const char* const worker : { "w1", "w2", "w3" })
        cell.workers.partition(worker, Millis(60000));
    cell.kill(leader, Millis(20000));
    cell.store.injected.refuse_calls = false;
    cell.store.injected.latency_factor = 1;
    cell.world.run_for(Millis(15000));
    std::vector<std::string> wrong = cell.workers.violations();
    if (busy.running() < busy.tasks)
        wrong.push_back(std::to_string(busy.running()) + " tasks run");
    return wrong;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(tasks_on_silent_workers_wait_for_one_lease_over_all_leaders)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto& kills : { slow_kills, quick_kills }) {
            const int after_vanishing = running_after(one_bound, seed, kills, vanish);
            BOOST_TEST(after_vanishing == 12,
                       "vanished, seed " << seed << ": " << after_vanishing << " run");
            const int after_crashing = running_after(one_bound, seed, kills, crash);
            BOOST_TEST(after_crashing == 12,
                       "crashed, seed " << seed << ": " << after_crashing << " run");
        }
    }
}

// Planned stops: the last write of each leader names its successor, with all entries.
BOOST_AUTO_TEST_CASE(leaders_that_hand_over_pass_on_what_they_know)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto& silence : { vanish, crash }) {
            BusyCell busy(seed);
            Cell& cell = busy.cell;
            const Millis begun = cell.world.now();
            for (const char* const worker : { "w1", "w2", "w3" })
                silence(cell, worker);
            const int64_t epoch = epoch_of(cell);
            for (const int64_t stopped_at : { 1200, 3000, 5000 }) {
                busy.run_until(begun + Millis(stopped_at));
                cell.stop(cell.leader(), Millis(20000));
            }
            busy.run_until(begun + one_bound);
            BOOST_TEST(epoch_of(cell) == epoch + 3);
            BOOST_TEST(busy.running() == busy.tasks, "seed " << seed);
            const auto wrong = cell.workers.violations();
            BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
        }
    }
}

// The first leader ends before it has lost the workers, so the second one counts from its
// claim, once for all that follow it, also for workers that are not listed any more.
BOOST_AUTO_TEST_CASE(bound_of_the_first_leader_that_misses_a_worker_holds_for_all)
{
    const std::vector<int64_t> kills { 60, 1700, 3400, 5100 };
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const int after_vanishing = running_after(bound_of_claim, seed, kills, vanish);
        BOOST_TEST(after_vanishing == 12,
                   "vanished, seed " << seed << ": " << after_vanishing << " run");
        const int after_crashing = running_after(bound_of_claim, seed, kills, crash);
        BOOST_TEST(after_crashing == 12,
                   "crashed, seed " << seed << ": " << after_crashing << " run");
    }
}

BOOST_AUTO_TEST_CASE(worker_that_was_reached_again_keeps_its_lease)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        for (const int64_t slow : { 1, 40, 80 }) {
            const auto wrong = lose_a_worker_twice(seed, slow, Millis(0));
            BOOST_TEST(wrong.empty(),
                       "seed " << seed << ", slow " << slow << join_lines(wrong));
        }
    }
}

// The leader goes on renewing leases while the store is away and the others promise not to
// claim; the row still names workers that it has reached again since.
BOOST_AUTO_TEST_CASE(worker_that_was_reached_again_in_an_outage_is_not_counted_as_lapsed)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        const auto wrong = lose_a_worker_twice(seed, 1, Millis(6000));
        BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
    }
}
