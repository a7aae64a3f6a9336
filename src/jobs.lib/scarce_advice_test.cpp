// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells that most nodes leave for good, one after another, while jobs keep arriving.
///
/// The advisor serves one query at a time per calling node, so its rate falls with the
/// number of nodes. Guards against two failures: late steps that are ordered behind all
/// steps which can still meet their deadlines, so that accepted jobs had no query for 20 s
/// and more while later ones ran and most of the capacity was free; and nodes that accept
/// more jobs than the remaining advice can decide about.

#define BOOST_TEST_MODULE scarce_advice
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr int nodes = 6;
constexpr int workers = 16;
constexpr int64_t slow_ms = 450;
constexpr int64_t medium_ms = 40;
constexpr Millis forever { 1000000000 };

jobs::Queue queue_of(const std::string& name, int priority, int64_t decision_ms)
{
    jobs::Queue queue;
    queue.name = name;
    queue.host = "cell";
    queue.path_prefix = "/" + name + "/";
    queue.service = "pool";
    queue.priority = priority;
    queue.max_failures = 4;
    queue.stretch = 3;
    queue.slo_ms = 1000;
    queue.advice = jobs::AdviceRule { double(decision_ms), 1, 2000 };
    return queue;
}

StepModel facts_of(int count, int64_t run_ms, int64_t advice_ms, bool gang = false)
{
    StepModel facts;
    facts.count = count;
    facts.run_ms = run_ms;
    facts.need = { 400, 400, 0 };
    facts.advice_latency_ms = advice_ms;
    facts.gang = gang;
    return facts;
}

/// Three queues in the proportions of the users' kiosks: frequent fast queries, and slow
/// ones for gangs. Six nodes have advice for more than twice the load.
class LoadedCell {
public:
    explicit LoadedCell(uint64_t seed)
        : cell(seed, nodes, workers)
    {
        jobs::Configuration configuration = cell.store.configuration();
        ++configuration.version;
        configuration.queues.push_back(queue_of("quotes", 0, 5));
        configuration.queues.push_back(queue_of("closings", 1, slow_ms));
        configuration.queues.push_back(queue_of("checks", 2, medium_ms));
        cell.configure(configuration);
        cell.workers.injected.ticket_validity = Millis(2000);
        cell.workers.allowed_tenths = 4;
        cell.watch_jobs();
        cell.note_disturbance(Millis(3000));
        cell.world.run_for(Millis(3000));
    }

    /// Submits jobs for this long.
    void load(Millis span)
    {
        for (int64_t tenth = 0; tenth < span.count() / 100; ++tenth) {
            submit(cell, "quotes", "quote" + std::to_string(m_jobs),
                   { facts_of(2, 300, 5) });
            if (cell.world.chance(0.12))
                submit(cell, "closings", "closing" + std::to_string(m_jobs),
                       { facts_of(4, 1500, slow_ms, true) });
            if (cell.world.chance(0.6))
                submit(cell, "checks", "verification" + std::to_string(m_jobs),
                       { facts_of(5, 600, medium_ms), then(facts_of(3, 500, medium_ms)) });
            ++m_jobs;
            cell.world.run_for(Millis(100));
        }
    }

    /// Stops all but `left` nodes, one after another.
    void remove_nodes(int left)
    {
        for (const std::string& node : cell.node_names()) {
            if (--m_present < left)
                break;
            cell.stop(node, forever);
            cell.note_disturbance(Millis(5500));
            load(Millis(700));
        }
    }

    int accepted() const
    {
        int count = 0;
        for (const auto& [id, job] : cell.jobs())
            count += job.accepted ? 1 : 0;
        return count;
    }

    Cell cell;

private:
    static StepModel then(StepModel facts)
    {
        facts.after = { 0 };
        return facts;
    }

    int m_jobs = 0;
    int m_present = nodes;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(accepted_jobs_get_advice_when_few_nodes_are_left)
{
    for (const int left : { 2, 1 }) {
        for (uint64_t seed = 1; seed <= 2; ++seed) {
            LoadedCell loaded(seed);
            loaded.load(Millis(3000));
            loaded.remove_nodes(left);
            loaded.load(Millis(20000));
            const size_t stalled = loaded.cell.liveness_violations().size();
            loaded.cell.world.run_for(Millis(16000));
            const auto violations = loaded.cell.final_violations();
            BOOST_TEST(violations.empty(),
                       left << " nodes left, seed " << seed << ", " << loaded.accepted()
                            << " accepted, " << stalled << " stalled while jobs arrived"
                            << join_lines(violations));
        }
    }
}
