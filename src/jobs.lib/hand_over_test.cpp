// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Planned stops of the leader. It names its successor in its last write, so that no time
/// is lost on failure detection or on competing claims.

#define BOOST_TEST_MODULE hand_over
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "leadership.h"

#include <algorithm>

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

/// Limit on the time from the last order of a stopping leader to the first one of its
/// successor, with an undisturbed store.
constexpr Millis max_hand_over_time { 100 };

// Submits a job every 5 ms for `span` and returns the longest time without a start.
Millis longest_gap(Cell& cell, Millis span)
{
    const Millis begun = cell.world.now();
    Millis started = begun;
    Millis longest;
    for (int i = 0; cell.world.now() - begun < span; ++i) {
        if (i % 5 == 0)
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
        const int64_t before = cell.workers.starts();
        cell.world.run_for(Millis(1));
        if (cell.workers.starts() > before)
            started = cell.world.now();
        longest = std::max(longest, cell.world.now() - started);
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_CASE(successor_orders_soon_after_a_planned_stop)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        const int64_t epoch = epoch_of(cell);
        cell.stop(leader, Millis(500));
        const Millis pause = longest_gap(cell, Millis(600));
        BOOST_TEST((pause <= max_hand_over_time),
                   "seed " << seed << ": " << pause.count() << " ms");
        BOOST_TEST(epoch_of(cell) == epoch + 1, "seed " << seed);
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// A takeover has to read all open jobs, so a stopping leader keeps its role while the store
// is slow, as long as its grace period allows.
BOOST_AUTO_TEST_CASE(leader_that_stops_waits_for_a_slow_store)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.injected.latency_factor = 90;
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "early" + std::to_string(i), small_step(1, 200));
            cell.world.run_for(Millis(150));
        }
        cell.stop(leader, Millis(500));
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
            cell.world.run_for(Millis(150));
            BOOST_TEST(cell.leader() == leader, "seed " << seed << ", job " << i);
        }
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(1500));
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// If the store stays slow, it still hands over within the grace period.
BOOST_AUTO_TEST_CASE(leader_that_stops_hands_over_within_its_grace)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.injected.latency_factor = 60;
        for (int i = 0; i < 30; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
            if (i == 5)
                cell.stop(leader, Millis(500));
            cell.world.run_for(Millis(150));
        }
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(15000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// All nodes are restarted one after the other, also while the store loses replies.
BOOST_AUTO_TEST_CASE(rolling_restarts_lose_and_repeat_nothing)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 5, 8);
        cell.world.run_for(Millis(2500));
        int submitted = 0;
        for (const std::string& node : cell.node_names()) {
            cell.store.injected.lost_write_replies = seed % 2 == 0 ? 0.4 : 0;
            cell.store.injected.delay_lost_writes = seed % 4 == 0;
            cell.stop(node, Millis(300));
            if (seed % 3 == 0)
                cell.stop(cell.leader(), Millis(300));
            for (int i = 0; i < 15; ++i) {
                submit_plain(cell, "job" + std::to_string(submitted++), small_step(2, 300));
                cell.world.run_for(Millis(100));
            }
        }
        cell.store.injected.lost_write_replies = 0;
        cell.world.run_for(Millis(30000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// Guards against tasks that run twice, or ends that are lost, when an overloaded leader
// names its successor in a write that leaves out rows of tasks that run already.
BOOST_AUTO_TEST_CASE(hand_over_with_rows_left_out_loses_and_repeats_nothing)
{
    constexpr int seeds = 20;
    int rows_left_out = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        // One row in each write: the log falls behind under any load, as one with a slow
        // processor does.
        Cell cell(seed, 5, 12, { { "n1", 400 }, { "n2", 2000 } }, 0, Millis(0),
                  jobs::Mechanisms().without(jobs::Mechanism::write_batching));
        for (const std::string& node : cell.node_names())
            cell.set_processor_speed(node, node == "n1" ? 30 : 100);
        emulator::ProcessorCost cost;
        cost.event = Millis(1);
        cell.set_processor_cost(cost);
        // A weak node has to lead until the strong ones are back.
        for (const std::string& node : cell.node_names()) {
            if (node != "n1")
                cell.freeze(node, Millis(4000));
        }
        cell.world.run_for(Millis(3500));
        BOOST_REQUIRE_MESSAGE(cell.leader() == "n1",
                              "seed " << seed << ": " << cell.leader() << " leads");
        int submitted = 0;
        int64_t epoch = epoch_of(cell);
        const auto play = [&](Millis span) {
            const Millis end = cell.world.now() + span;
            for (int i = 0; cell.world.now() < end; ++i) {
                if (i % 20 == 0) {
                    StepModel first = small_step(2, 120);
                    StepModel second = small_step(1, 150);
                    second.after = { 0 };
                    cell.submit("job" + std::to_string(submitted++),
                                spec_of({ first, second }), { first, second }, false);
                }
                cell.world.run_for(Millis(1));
                const auto head
                    = jobs::decode_head(cell.store.value(jobs::lead_row(jobs::head_key)));
                if (!head || head->epoch == epoch)
                    continue;
                epoch = head->epoch;
                const bool left_out
                    = head->handed_over() && !head->unrecorded_task_workers.empty();
                rows_left_out += left_out ? 1 : 0;
                // A worker in doubt may be lost before it reports to the successor.
                if (left_out && seed % 4 == 3)
                    cell.workers.crash(head->unrecorded_task_workers.front(), Millis(700));
            }
        };
        cell.store.injected.latency_factor = seed % 2 == 0 ? 40 : 1;
        cell.store.injected.lost_write_replies = seed % 5 == 0 ? 0.3 : 0;
        cell.store.injected.delay_lost_writes = seed % 10 == 0;
        play(Millis(3000));
        if (cell.leader() == "n1")
            cell.stop("n1", Millis(1000));
        play(Millis(4000));
        cell.store.injected.latency_factor = 1;
        cell.store.injected.lost_write_replies = 0;
        cell.world.run_for(Millis(60000));
        const auto violations = cell.workers.violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
    BOOST_TEST_MESSAGE("hand-overs with rows left out: " << rows_left_out);
    BOOST_TEST(rows_left_out >= seeds / 2);
}

// Guards against a weak leader that stays because its strong followers, which have no
// reason to call the store, still tell how slow it was long ago.
BOOST_AUTO_TEST_CASE(weak_leader_gives_way_to_followers_that_make_no_calls)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Cell cell(seed, 3, 8, { { "n1", 120 }, { "n2", 500 }, { "n3", 500 } });
        cell.freeze("n2", Millis(4000));
        cell.freeze("n3", Millis(4000));
        cell.world.run_for(Millis(3500));
        BOOST_REQUIRE_MESSAGE(cell.leader() == "n1",
                              "seed " << seed << ": " << cell.leader() << " leads");
        cell.store.injected.latency_factor = 60;
        cell.world.run_for(Millis(3000));
        emulator::ProcessorCost cost;
        cost.event = Millis(2);
        cell.set_processor_cost(cost);
        cell.set_processor_speed("n1", 10);
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(10000));
        BOOST_TEST(cell.leader() != "n1", "seed " << seed);
    }
}

// Guards against tasks that run twice when leadership passes through a weak node that never
// schedules: what its claim inherited, orders without a record and silent workers, has to
// reach the strong node that it names.
BOOST_AUTO_TEST_CASE(weak_leader_that_never_scheduled_hands_on_what_it_inherited)
{
    constexpr int seeds = 20;
    // A leader with a silent worker waits for its first report this long.
    constexpr Millis earliest_schedule { 250 };
    int with_unrecorded = 0;
    int with_silent = 0;
    int handed_on = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, 4, 6,
                  { { "n1", 500 }, { "n2", 500 }, { "n3", 120 }, { "n4", 120 } });
        add_queues(cell);
        cell.world.run_for(Millis(2000));
        cell.store.injected.latency_factor = 80;
        cell.world.run_for(Millis(2000));
        for (int i = 0; i < 10; ++i) {
            submit(cell, "q0", "job" + std::to_string(i), { one_core_step(2, 5000) });
            cell.world.run_for(Millis(100));
        }
        cell.workers.partition("w1", Millis(4000 + 500 * static_cast<int64_t>(seed % 5)));
        cell.world.run_for(Millis(1500));
        for (int i = 0; i < 6; ++i) {
            submit(cell, "q1", "late" + std::to_string(i), { one_core_step(2, 4000) });
            cell.world.run_for(Millis(60));
        }
        const int64_t epoch = epoch_of(cell);
        const std::string strong = cell.leader();
        cell.store.injected.refused_nodes = { "n1", "n2" };
        cell.kill(strong, Millis(300));
        cell.store.injected.latency_factor = 1;
        cell.note_disturbance(Millis(5000), Millis(15000));
        const auto head_row = [&cell] {
            return jobs::decode_head(cell.store.value(jobs::lead_row(jobs::head_key)));
        };
        for (int i = 0; i < 8000 && epoch_of(cell) == epoch; ++i)
            cell.world.run_for(Millis(1));
        const auto claimed = head_row();
        BOOST_REQUIRE_MESSAGE(claimed && claimed->epoch == epoch + 1, "seed " << seed);
        cell.store.injected.refused_nodes.clear();
        const Millis elected = cell.world.now();
        for (int i = 0; i < 3000 && epoch_of(cell) == epoch + 1; ++i)
            cell.world.run_for(Millis(1));
        const auto handed_over = head_row();
        const Millis led = cell.world.now() - elected;
        BOOST_REQUIRE(handed_over.has_value());
        BOOST_TEST(handed_over->epoch == epoch + 2, "seed " << seed);
        BOOST_TEST(handed_over->handed_over(), "seed " << seed);
        BOOST_TEST((led < earliest_schedule),
                   "seed " << seed << ": led for " << led.count() << " ms");
        // Only a worker that has reported to the weak leader, and so has seen its fence,
        // has no tasks without a record.
        const auto& left = handed_over->unrecorded_task_workers;
        const auto& inherited = claimed->unrecorded_task_workers;
        BOOST_TEST(
            std::includes(inherited.begin(), inherited.end(), left.begin(), left.end()),
            "seed " << seed);
        constexpr int64_t fences_per_epoch = int64_t(1) << 20;
        for (const std::string& worker : inherited) {
            const bool reported
                = cell.workers.highest_fence(worker) >= (epoch + 1) * fences_per_epoch;
            BOOST_TEST((reported || handed_over->may_run_unrecorded(worker)),
                       "seed " << seed << ": " << worker << " was left out");
        }
        handed_on += left.empty() ? 0 : 1;
        BOOST_TEST((handed_over->silent == claimed->silent), "seed " << seed);
        with_unrecorded += claimed->unrecorded_task_workers.empty() ? 0 : 1;
        with_silent += claimed->silent == jobs::SilentWorkers() ? 0 : 1;
        cell.world.run_for(Millis(40000));
        const auto violations = cell.workers.violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
    BOOST_TEST(with_unrecorded >= seeds / 2);
    BOOST_TEST(with_silent >= seeds / 2);
    BOOST_TEST(handed_on > 0);
}

// Guards against a leader that names a node as its successor which has died since: a write
// that hangs holds up the one that names it, and the cell waits for the dead node's turn.
BOOST_AUTO_TEST_CASE(leader_that_stops_does_not_name_a_successor_that_died)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 3, 8, { { "n1", 500 }, { "n2", 400 }, { "n3", 300 } });
        cell.world.run_for(Millis(4000));
        BOOST_REQUIRE_MESSAGE(cell.leader() == "n1", "seed " << seed);
        const int64_t epoch = epoch_of(cell);
        const auto head
            = [&cell] { return cell.store.value(jobs::lead_row(jobs::head_key)); };
        for (const std::string before = head(); head() == before;)
            cell.world.run_for(Millis(1));
        // Only the leader's calls hang: that which renews its lease and what follows.
        cell.store.injected.partitioned_nodes = { "n1" };
        cell.world.run_for(Millis(430));
        cell.stop("n1", Millis(500));
        cell.world.run_for(Millis(1));
        cell.kill("n2", Millis(60000));
        cell.world.run_for(Millis(700));
        cell.store.injected.partitioned_nodes.clear();
        for (int i = 0; i < 4000 && epoch_of(cell) == epoch; ++i)
            cell.world.run_for(Millis(1));
        const auto next
            = jobs::decode_leader(cell.store.value(jobs::lead_row(jobs::leader_key)));
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->identity.node == "n3", "seed " << seed);
        cell.world.run_for(Millis(20000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}
