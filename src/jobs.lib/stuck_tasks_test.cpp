// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Faults that left tasks standing, each as a schedule of its own. They were found by
/// reading and by the schedules of liveness_test.

#define BOOST_TEST_MODULE stuck_tasks
#include <boost/test/unit_test.hpp>

#include "head_log.h"
#include "liveness_fixture.h"
#include "store_keys.h"

using namespace pathport;
using namespace pathport::liveness;

namespace {

int64_t epoch_of(const Cell& cell)
{
    const auto head = jobs::decode_head(cell.store.value(jobs::lead_row(jobs::head_key)));
    return head ? head->epoch : 0;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

// The list forgets an idle worker that answers, and names it again: the worker's session
// was dropped, and the next one began with a fence below the one that the first had raised.
// The worker refused it, and the leader took that for a later leader's fence and gave up.
BOOST_AUTO_TEST_CASE(worker_that_is_listed_again_deposes_no_leader)
{
    Cell cell(1, 3, 1);
    add_queues(cell);
    cell.world.run_for(Millis(2000));
    // Two starts without an answer raise the fence.
    cell.workers.trouble.unanswered = 1;
    submit(cell, "q0", "job0", { simple_facts(2, 300) });
    cell.world.run_for(Millis(600));
    cell.workers.trouble.unanswered = 0;
    cell.world.run_for(Millis(3000));
    const int64_t epoch = epoch_of(cell);
    for (const std::string& id : cell.workers.ids())
        cell.workers.afflict(id, WorkerFault::unlisted, Millis(2000));
    cell.world.run_for(Millis(6000));
    BOOST_TEST(epoch_of(cell) == epoch);
    const auto wrong = cell.verdict();
    BOOST_TEST(wrong.empty(), joined(wrong));
}

// A worker that answers looks and declines all starts is chosen again and again for the
// tasks of one job, although others are free: it was only left alone once it had surprised
// two jobs in a row.
BOOST_AUTO_TEST_CASE(task_that_one_worker_declines_runs_elsewhere)
{
    Cell cell(2, 3, 4);
    add_queues(cell);
    cell.watch_jobs();
    cell.world.run_for(Millis(2000));
    cell.workers.afflict("w1", WorkerFault::declines_starts, Millis(60000));
    submit(cell, "q2", "job0", { simple_facts(1, 500) });
    cell.world.run_for(Millis(10000));
    const auto wrong = cell.verdict();
    BOOST_TEST(wrong.empty(), joined(wrong));
}

// The same for the other ways in which all starts on one worker come to nothing.
BOOST_AUTO_TEST_CASE(task_that_never_starts_on_one_worker_runs_elsewhere)
{
    for (const WorkerFault fault :
         { WorkerFault::refuses_starts, WorkerFault::swallows_starts }) {
        for (const char* const queue : { "q2", "a2" }) {
            Cell cell(2, 3, 4);
            add_queues(cell);
            cell.watch_jobs();
            cell.world.run_for(Millis(2000));
            // Two of four, since a task may only remember where it failed last.
            for (const char* const id : { "w1", "w2" })
                cell.workers.afflict(id, fault, Millis(60000));
            submit(cell, queue, "job0", { simple_facts(1, 500) });
            cell.world.run_for(Millis(10000));
            const auto wrong = cell.verdict();
            BOOST_TEST(wrong.empty(), queue << joined(wrong));
        }
    }
}

// The same for a worker on which tasks stand still: the stopped task went there again.
BOOST_AUTO_TEST_CASE(task_that_stood_still_on_one_worker_runs_elsewhere)
{
    Cell cell(3, 3, 4);
    add_queues(cell);
    cell.world.run_for(Millis(2000));
    cell.workers.afflict("w1", WorkerFault::stands_still, Millis(60000));
    submit(cell, "q2", "job0", { simple_facts(1, 500) });
    cell.world.run_for(Millis(15000));
    const auto wrong = cell.verdict();
    BOOST_TEST(wrong.empty(), joined(wrong));
}
