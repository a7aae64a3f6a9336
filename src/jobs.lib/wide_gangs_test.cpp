// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gangs of so many tasks that they need more workers than one query to the advisor may
/// name, or a large part of the workers that may be reserved. Such a gang was served less
/// often than the small gangs of its queue, however urgent it was.

#define BOOST_TEST_MODULE wide_gangs
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr int64_t gang_run_ms = 4000;
constexpr double gang_stretch = 2.2;
constexpr int64_t gang_slo_ms = 1000;
/// A gang that runs for `gang_run_ms` is in time when it ends this long after its
/// submission.
constexpr Millis gang_deadline { int64_t(gang_stretch * gang_run_ms) + gang_slo_ms };
constexpr int64_t batch_run_ms = 2500;
constexpr int64_t quote_run_ms = 300;
constexpr Millis start_up { 3000 };

/// A cell with queues of gangs, with and without advice, of less urgent batches and of more
/// urgent quotes. One task fits on a worker.
class GangCell {
public:
    GangCell(int nodes, int workers)
        : cell(1, nodes, workers)
        , m_workers(workers)
    {
        jobs::Configuration configuration = cell.store.configuration();
        ++configuration.version;
        configuration.queues.push_back(queue_of("quotes", 0));
        configuration.queues.push_back(queue_of("gangs", 1));
        configuration.queues.push_back(queue_of("batches", 2));
        configuration.queues.push_back(queue_of("advised", 1));
        configuration.queues.back().advice = jobs::AdviceRule { 390, 1, 2000 };
        cell.configure(configuration);
        cell.workers.injected.ticket_validity = Millis(2000);
        cell.workers.default_advice_latency = Millis(390);
        cell.workers.allowed_tenths = 9;
        cell.world.run_for(start_up);
    }

    void submit_gang(const std::string& queue, const std::string& id, int width)
    {
        StepModel gang = step_of(width, gang_run_ms);
        gang.gang = true;
        submit(cell, queue, id, { gang });
    }

    /// Takes all workers for `run_ms`.
    void fill(int64_t run_ms)
    {
        submit(cell, "gangs", "filler", { step_of(m_workers, run_ms) });
    }

    /// Runs the cell for `span`. Each 10 ms a quote arrives, and more batches than there is
    /// room for.
    void run_with_load(Millis span)
    {
        const double workers_per_tick = double(m_workers) * tick.count() / batch_run_ms;
        const int batch_tasks = int(1 + workers_per_tick);
        for (int64_t i = 0; i < span.count() / tick.count(); ++i) {
            const std::string number = std::to_string(m_ticks++);
            submit(cell, "quotes", "quote" + number, { step_of(1, quote_run_ms) });
            submit(cell, "batches", "batch" + number,
                   { step_of(batch_tasks, batch_run_ms) });
            cell.world.run_for(tick);
        }
    }

    bool done(const std::string& id, int width) const
    {
        return cell.workers.all_done(id, 0, width, true);
    }

    Cell cell;

private:
    static constexpr Millis tick { 10 };

    static jobs::Queue queue_of(const std::string& name, int priority)
    {
        jobs::Queue queue;
        queue.name = name;
        queue.host = "cell";
        queue.path_prefix = "/" + name + "/";
        queue.service = "pool";
        queue.priority = priority;
        queue.max_failures = 4;
        queue.stretch = gang_stretch;
        queue.slo_ms = gang_slo_ms;
        return queue;
    }

    static StepModel step_of(int count, int64_t run_ms)
    {
        StepModel model;
        model.count = count;
        model.run_ms = run_ms;
        model.need = { 5000, 500, 0 };
        return model;
    }

    int m_workers;
    int m_ticks = 0;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A query may name 100 workers. A gang that needs more, and whose first tickets expired
// while the cell was full, asked for tickets for the same 100 again and again and never
// started.
BOOST_AUTO_TEST_CASE(gang_that_needs_tickets_for_many_workers_is_in_time)
{
    for (const int width : { 120, 240 }) {
        GangCell gangs(12, width * 4 / 3);
        gangs.fill(3000);
        gangs.cell.world.run_for(Millis(500));
        gangs.submit_gang("advised", "gang", width);
        gangs.cell.world.run_for(gang_deadline);
        BOOST_TEST(gangs.done("gang", width), "width " << width);
        BOOST_TEST(gangs.cell.workers.violations().empty());
    }
}

// Of the workers reserved for a gang only the first 100 stayed reserved while it waited for
// tickets. Batches and quotes took the rest, so a wider gang never had all of them.
BOOST_AUTO_TEST_CASE(gang_keeps_all_reserved_workers_while_it_waits_for_tickets)
{
    constexpr int width = 125;
    GangCell gangs(12, 520);
    gangs.run_with_load(Millis(4000));
    gangs.submit_gang("advised", "gang", width);
    gangs.run_with_load(gang_deadline);
    BOOST_TEST(gangs.done("gang", width));
}

// Two gangs that together need more workers than may be reserved. Each counted its own
// reserved workers against the limit, so both lost them in every other pass.
BOOST_AUTO_TEST_CASE(gangs_at_the_reservation_limit_keep_their_workers)
{
    constexpr int width = 18;
    GangCell gangs(3, 120);
    gangs.run_with_load(Millis(4000));
    gangs.submit_gang("gangs", "first", width);
    gangs.submit_gang("gangs", "second", width);
    gangs.run_with_load(gang_deadline);
    BOOST_TEST(gangs.done("first", width));
    gangs.run_with_load(gang_deadline);
    BOOST_TEST(gangs.done("second", width));
}
