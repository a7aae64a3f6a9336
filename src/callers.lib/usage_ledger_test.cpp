// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Number of tasks that workspaces' bounds allow, compared with a simple model that sums up
/// all running tasks each time.

#define BOOST_TEST_MODULE usage_ledger
#include <boost/test/unit_test.hpp>

#include <pathport/callers/usage_ledger.h>

#include <random>

using namespace pathport;
using namespace pathport::callers;

namespace {

constexpr int max_count = 1000;

Workspace bounded(const std::string& name, Resources bound)
{
    Workspace workspace;
    workspace.name = name;
    workspace.bound = bound;
    return workspace;
}

Workspaces with_bounds(const std::vector<Workspace>& list)
{
    Workspaces workspaces { KeyHasher(1) };
    for (const Workspace& workspace : list)
        workspaces.add(workspace);
    return workspaces;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_resources_limited_by_a_bound_count)
{
    UsageLedger ledger;
    ledger.configure(with_bounds({ bounded("a", { 4000, 0, 0 }), bounded("b", {}) }));
    const auto a = ledger.number_of("a");
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 50000, 8 }, max_count) == 4);
    BOOST_TEST(ledger.tasks_allowed(a, { 0, 50000, 8 }, max_count) == max_count);
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 1, 0 }, 3) == 3);
    const auto b = ledger.number_of("b");
    BOOST_TEST(!ledger.is_bounded(b));
    BOOST_TEST(ledger.tasks_allowed(b, { 1000, 50000, 8 }, max_count) == max_count);
    BOOST_TEST(ledger.tasks_allowed(UsageLedger::none, { 1000, 1, 1 }, max_count)
               == max_count);
}

BOOST_AUTO_TEST_CASE(bound_below_running_usage_allows_no_start)
{
    UsageLedger ledger;
    ledger.configure(with_bounds({ bounded("a", { 4000, 0, 0 }) }));
    const auto a = ledger.number_of("a");
    ledger.charge(a, { 3000, 10, 0 });
    ledger.configure(with_bounds({ bounded("a", { 1000, 0, 0 }) }));
    BOOST_TEST(ledger.tasks_allowed(a, { 100, 1, 0 }, max_count) == 0);
    ledger.configure(with_bounds({ bounded("a", { 5000, 0, 0 }) }));
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 1, 0 }, max_count) == 2);
    ledger.configure(with_bounds({}));
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 1, 0 }, max_count) == max_count);
}

BOOST_AUTO_TEST_CASE(usage_of_unknown_workspace_counts_against_each_bound)
{
    UsageLedger ledger;
    ledger.configure(
        with_bounds({ bounded("a", { 4000, 0, 0 }), bounded("b", { 2000, 0, 0 }) }));
    ledger.charge(UsageLedger::unknown, { 1000, 0, 0 });
    ledger.add_in_doubt(UsageLedger::unknown, { 1000, 0, 0 });
    BOOST_TEST(ledger.tasks_allowed(ledger.number_of("a"), { 1000, 0, 0 }, max_count) == 2);
    BOOST_TEST(ledger.tasks_allowed(ledger.number_of("b"), { 1000, 0, 0 }, max_count) == 0);
    ledger.clear_in_doubt();
    BOOST_TEST(ledger.tasks_allowed(ledger.number_of("b"), { 1000, 0, 0 }, max_count) == 1);
}

BOOST_AUTO_TEST_CASE(reservation_lasts_until_cleared)
{
    UsageLedger ledger;
    ledger.configure(with_bounds({ bounded("a", { 4000, 0, 0 }) }));
    const auto a = ledger.number_of("a");
    ledger.clear_reservations();
    ledger.reserve(a, { 3000, 0, 0 });
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 0, 0 }, max_count) == 1);
    ledger.clear_reservations();
    BOOST_TEST(ledger.tasks_allowed(a, { 1000, 0, 0 }, max_count) == 4);
}

// Starts, ends and losses of tasks, new leaders that learn of runs only by reports, and
// changing bounds, in random order.
BOOST_AUTO_TEST_CASE(random_sequences_agree_with_a_plain_sum)
{
    struct Run {
        size_t workspace;
        Resources need;
        bool in_doubt;
    };
    constexpr int sequences = 40;
    constexpr int steps = 400;
    constexpr size_t workspaces = 4;
    for (int sequence = 0; sequence < sequences; ++sequence) {
        std::mt19937 random(static_cast<unsigned>(sequence));
        const auto below
            = [&](int64_t bound) { return int64_t(random() % uint64_t(bound)); };
        UsageLedger ledger;
        std::vector<Resources> bounds(workspaces);
        std::vector<Run> runs;
        for (int step = 0; step < steps; ++step) {
            const size_t workspace_index = size_t(below(workspaces));
            const auto number = ledger.number_of("w" + std::to_string(workspace_index));
            const int64_t action = below(10);
            if (action == 0) {
                bounds[workspace_index]
                    = { below(3) * 4000, below(3) * 6000, below(3) * 5 };
                std::vector<Workspace> list;
                for (size_t i = 0; i < workspaces; ++i)
                    list.push_back(bounded("w" + std::to_string(i), bounds[i]));
                ledger.configure(with_bounds(list));
            } else if (action < 6) {
                const Resources need { 1 + below(900), 1 + below(900), below(3) };
                Resources sum;
                for (const Run& run : runs) {
                    if (run.workspace == workspace_index)
                        sum = sum + run.need;
                }
                const int allowed = ledger.tasks_allowed(number, need, 1);
                const Resources after = sum + need;
                const auto& bound = bounds[workspace_index];
                const bool within
                    = (bound.cpu_millis == 0 || after.cpu_millis <= bound.cpu_millis)
                    && (bound.memory_mb == 0 || after.memory_mb <= bound.memory_mb)
                    && (bound.accelerators == 0 || need.accelerators == 0
                        || after.accelerators <= bound.accelerators);
                BOOST_REQUIRE_EQUAL(allowed, within ? 1 : 0);
                if (allowed == 1) {
                    ledger.charge(number, need);
                    runs.push_back({ workspace_index, need, false });
                }
            } else if (action < 9 && !runs.empty()) {
                const size_t ended = size_t(below(int64_t(runs.size())));
                if (!runs[ended].in_doubt) {
                    const auto& run = runs[ended];
                    ledger.discharge(ledger.number_of("w" + std::to_string(run.workspace)),
                                     run.need);
                    runs.erase(runs.begin() + int64_t(ended));
                }
            } else {
                // A new leader: all runs are in doubt until they are reported.
                ledger.clear_in_doubt();
                for (Run& run : runs) {
                    const auto of = ledger.number_of("w" + std::to_string(run.workspace));
                    if (!run.in_doubt)
                        ledger.discharge(of, run.need);
                    run.in_doubt = below(2) == 0;
                    if (run.in_doubt)
                        ledger.add_in_doubt(of, run.need);
                    else
                        ledger.charge(of, run.need);
                }
            }
        }
    }
}
