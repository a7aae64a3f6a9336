// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells of a few strong nodes and many weak ones.
///
/// Guards against a weak leader: after an outage of the store, while the leader that lived
/// through it reads what has come in meanwhile, one of the many weak nodes claims its
/// place, and keeps it although strong nodes follow it. Its processor does not suffice for
/// the cell, so all accepted work stands.

#define BOOST_TEST_MODULE weak_successor
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "followers.h"
#include "leadership.h"

#include <map>

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::ProcessorCost;

namespace {

constexpr int strong_nodes = 3;
constexpr int weak_nodes = 21;
constexpr int strong_millicores = 500;
constexpr int weak_millicores = 120;
constexpr int workers = 100;
constexpr int tasks_per_job = 10;
constexpr Millis event_time { 2 }; ///< At a strong node.
constexpr Millis job_interval { 40 };
constexpr Millis outage { 4000 };
/// The users' limit on how long work with free capacity may stand.
constexpr Millis max_standstill { 3000 };

bool is_strong(const std::string& node)
{
    return node.size() == 2 && node[1] - '0' <= strong_nodes;
}

std::map<std::string, int> node_strengths()
{
    std::map<std::string, int> strengths;
    for (int i = 1; i <= strong_nodes + weak_nodes; ++i) {
        const std::string node = "n" + std::to_string(i);
        strengths[node] = is_strong(node) ? strong_millicores : weak_millicores;
    }
    return strengths;
}

/// Returns the node that the store's rows name as leader, which may be frozen.
std::string named_leader(const Cell& cell)
{
    const auto leader
        = jobs::decode_leader(cell.store.value(jobs::lead_row(jobs::leader_key)));
    return leader ? leader->identity.node : std::string();
}

/// A cell whose nodes are as fast as they are strong, with a steady load.
class UnequalCell {
public:
    explicit UnequalCell(uint64_t seed)
        : cell(seed, strong_nodes + weak_nodes, 1, node_strengths())
    {
        add_queues(cell);
        for (int i = 1; i < workers; ++i)
            cell.workers.add("pool", { 16000, 64000, 0 });
        cell.world.run_for(Millis(4000));
        for (const auto& [node, millicores] : node_strengths())
            cell.set_processor_speed(node, 100 * millicores / strong_millicores);
        ProcessorCost cost;
        cost.event = event_time;
        cell.set_processor_cost(cost);
        m_step = one_core_step(tasks_per_job, 1000);
        m_step.need = { 450, 528, 0 };
    }

    /// Submits jobs for `span` and notes who leads.
    void run(Millis span)
    {
        for (Millis at; at < span; at = at + job_interval) {
            submit(cell, "q2", "job" + std::to_string(m_jobs++), { m_step });
            cell.world.run_for(job_interval);
            const std::string leader = named_leader(cell);
            if (leader.empty() || is_strong(leader))
                m_weak_since = cell.world.now();
            m_longest_weak = std::max(m_longest_weak, cell.world.now() - m_weak_since);
        }
    }

    /// Returns the longest time for which a weak node led without a break.
    Millis longest_weak_leadership() const { return m_longest_weak; }
    void forget_weak_leadership()
    {
        m_longest_weak = Millis(0);
        m_weak_since = cell.world.now();
    }

    /// Returns the number of accepted jobs that are not done.
    int unfinished() const
    {
        int count = 0;
        for (const auto& [id, job] : cell.jobs())
            count += job.accepted && !cell.workers.all_done(id, 0, tasks_per_job, false)
                ? 1
                : 0;
        return count;
    }

    Cell cell;

private:
    StepModel m_step;
    int m_jobs = 0;
    Millis m_weak_since;
    Millis m_longest_weak;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The strong nodes and the leader live through the outage, so no weak node may lead.
BOOST_AUTO_TEST_CASE(weak_node_does_not_lead_after_an_outage_beside_strong_ones)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        UnequalCell played(seed);
        Cell& cell = played.cell;
        played.run(Millis(5000));
        BOOST_REQUIRE_MESSAGE(is_strong(named_leader(cell)), "seed " << seed);
        played.forget_weak_leadership();
        cell.store.injected.refuse_calls = true;
        played.run(outage);
        cell.store.injected.refuse_calls = false;
        played.run(Millis(10000));
        BOOST_TEST((played.longest_weak_leadership() == Millis(0)),
                   "seed " << seed << ": a weak node led for "
                           << played.longest_weak_leadership().count() << " ms");
        cell.world.run_for(Millis(20000));
        BOOST_TEST(played.unfinished() == 0, "seed " << seed);
        const auto violations = cell.workers.violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}

// A weak node has to lead while no strong one can, and has to give the leadership up when
// they are back, however late its own processor is.
BOOST_AUTO_TEST_CASE(weak_leader_gives_way_to_strong_nodes_that_return)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        UnequalCell played(seed);
        Cell& cell = played.cell;
        played.run(Millis(4000));
        for (int i = 1; i <= strong_nodes; ++i)
            cell.freeze("n" + std::to_string(i), Millis(6000));
        played.run(Millis(6000));
        BOOST_REQUIRE_MESSAGE(!is_strong(named_leader(cell)),
                              "seed " << seed << ": " << named_leader(cell) << " leads");
        played.forget_weak_leadership();
        played.run(Millis(12000));
        BOOST_TEST((played.longest_weak_leadership() <= max_standstill),
                   "seed " << seed << ": a weak node led for "
                           << played.longest_weak_leadership().count() << " ms");
        BOOST_TEST(is_strong(named_leader(cell)), "seed " << seed);
        cell.world.run_for(Millis(20000));
        BOOST_TEST(played.unfinished() == 0, "seed " << seed);
        const auto violations = cell.workers.violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}

// Large cells send heartbeats rarely, so a weak node may notice that a leader has fallen
// silent long before the only other strong node does. A fixed wait does not cover that.
BOOST_AUTO_TEST_CASE(weak_nodes_leave_a_silent_leader_to_the_only_strong_one)
{
    constexpr int nodes = 130;
    constexpr int seeds = 20;
    const std::map<std::string, int> strengths = [] {
        std::map<std::string, int> result;
        for (int i = 1; i <= nodes; ++i)
            result["n" + std::to_string(i)] = i <= 2 ? strong_millicores : weak_millicores;
        return result;
    }();
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, nodes, 4, strengths);
        cell.world.run_for(Millis(3000));
        // Nodes that start at once would send their heartbeats at the same moments.
        constexpr uint64_t spread_ms = 2000;
        for (const auto& [node, millicores] : strengths)
            cell.world.after(
                Millis(static_cast<int64_t>(cell.world.random_below(spread_ms))),
                [&cell, node = node] { cell.kill(node, Millis(1)); });
        cell.world.run_for(Millis(12000));
        const std::string leader = named_leader(cell);
        BOOST_REQUIRE_MESSAGE(strengths.at(leader) == strong_millicores, "seed " << seed);
        const int64_t epoch = epoch_of(cell);
        cell.freeze(leader, Millis(60000));
        cell.world.run_for(Millis(5000));
        const std::string next = named_leader(cell);
        BOOST_TEST(strengths.at(next) == strong_millicores,
                   "seed " << seed << ": " << next << " leads");
        BOOST_TEST(epoch_of(cell) == epoch + 1, "seed " << seed);
    }
}

// Guards against a weak node that claims epoch after epoch beside strong ones: its process
// ends right after its claim, and the next one takes its own leader row for vacant and
// claims again before a strong node has noticed.
BOOST_AUTO_TEST_CASE(weak_node_restarted_after_its_claim_leaves_the_next_to_strong_ones)
{
    constexpr int seeds = 20;
    const Millis step(10);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, strong_nodes + weak_nodes, 4, node_strengths());
        cell.world.run_for(Millis(12000));
        BOOST_REQUIRE_MESSAGE(is_strong(named_leader(cell)), "seed " << seed);
        // The strong nodes stand until a weak one claims, and go on within this time.
        const Millis frozen(120);
        const Millis end = cell.world.now() + Millis(10000);
        while (is_strong(named_leader(cell)) && cell.world.now() < end) {
            for (int i = 1; i <= strong_nodes; ++i)
                cell.freeze("n" + std::to_string(i), frozen);
            cell.world.run_for(step);
        }
        const std::string weak = named_leader(cell);
        const int64_t epoch = epoch_of(cell);
        BOOST_REQUIRE_MESSAGE(!is_strong(weak), "seed " << seed << ": no weak node claims");
        cell.kill(weak, frozen);
        for (Millis at; at < max_standstill && epoch_of(cell) == epoch; at = at + step)
            cell.world.run_for(step);
        BOOST_TEST(epoch_of(cell) == epoch + 1, "seed " << seed);
        BOOST_TEST(is_strong(named_leader(cell)),
                   "seed " << seed << ": " << named_leader(cell) << " follows " << weak);
    }
}

// A planned stop must leave the row no worse than a claim does: the successor's process may
// end before anyone has heard from it.
BOOST_AUTO_TEST_CASE(hand_over_keeps_the_candidates_in_the_leader_row)
{
    Cell cell(1, strong_nodes + weak_nodes, 4, node_strengths());
    cell.world.run_for(Millis(12000));
    const std::string leader = named_leader(cell);
    BOOST_REQUIRE(is_strong(leader));
    cell.stop(leader, Millis(60000));
    cell.world.run_for(Millis(1000));
    const auto row
        = jobs::decode_leader(cell.store.value(jobs::lead_row(jobs::leader_key)));
    BOOST_REQUIRE(row.has_value());
    BOOST_REQUIRE(is_strong(row->identity.node));
    BOOST_REQUIRE(row->identity.node != leader);
    BOOST_REQUIRE(!row->candidates.empty());
    BOOST_TEST(row->candidates[0].cpu_millicores == strong_millicores);
    for (const jobs::Candidate& candidate : row->candidates)
        BOOST_TEST(candidate.address != row->identity.address);
}

// Guards against a leader that names only dead nodes as candidates: those that died before
// an outage of the store had been served last, and ranked above live ones that it refuses.
// When that leader is gone too, a weak node finds no candidate and claims.
BOOST_AUTO_TEST_CASE(candidates_are_live_rather_than_served_once)
{
    const auto follower = [](int64_t heard_ms, int millicores, bool served) {
        jobs::Follower result;
        result.last_heard = Millis(heard_ms);
        result.cpu_millicores = millicores;
        result.store_served = served;
        return result;
    };
    jobs::Followers followers;
    for (const char* const dead : { "a", "b", "c" })
        followers.note(dead, follower(1000, strong_millicores, true));
    followers.note("d", follower(9000, strong_millicores, false));
    followers.note("e", follower(9000, weak_millicores, true));
    followers.refresh(Millis(0), Millis(8400));
    const auto candidates = followers.strongest(3, Millis(8400));
    BOOST_REQUIRE(candidates.size() == 3U);
    const jobs::Candidate live { "d", strong_millicores };
    BOOST_TEST((candidates[0] == live));
}

// Guards against a leader that resigns because of what a follower saw before the outage, or
// saw just before the leader could: followers claim, and all open jobs are read once more.
BOOST_AUTO_TEST_CASE(leader_stays_through_an_outage_for_all_nodes)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        UnequalCell played(seed);
        Cell& cell = played.cell;
        played.run(Millis(5000));
        const int64_t epoch = epoch_of(cell);
        cell.store.injected.refuse_calls = true;
        played.run(outage);
        cell.store.injected.refuse_calls = false;
        played.run(Millis(5000));
        BOOST_TEST(epoch_of(cell) == epoch,
                   "seed " << seed << ": epoch " << epoch_of(cell) << " after " << epoch);
    }
}

// Guards against a leader that stays although the store fails only it: the followers, which
// the store serves, hear its answers and don't claim.
BOOST_AUTO_TEST_CASE(leader_that_the_store_fails_alone_gives_way)
{
    for (const int nodes : { 2, 3, 5, 24 }) {
        for (const bool refused : { false, true }) {
            for (uint64_t seed = 1; seed <= 5; ++seed) {
                Cell cell(seed, nodes, 8);
                cell.world.run_for(Millis(3000));
                const std::string leader = cell.leader();
                auto& failing = refused ? cell.store.injected.refused_nodes
                                        : cell.store.injected.partitioned_nodes;
                failing.insert(leader);
                for (Millis at; at < max_standstill; at = at + job_interval) {
                    submit_plain(cell, "job" + std::to_string(at.count()),
                                 small_step(1, 200));
                    cell.world.run_for(job_interval);
                }
                BOOST_TEST(named_leader(cell) != leader,
                           nodes << " nodes, " << (refused ? "refused" : "unanswered")
                                 << ", seed " << seed);
            }
        }
    }
}
