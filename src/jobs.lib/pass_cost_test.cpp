// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells of different sizes with the same waiting work, and a leader whose passes take time
/// for each worker that they examine. Guards against passes whose cost follows the number
/// of workers: each step that was to be placed or to ask the advisor examined all of them,
/// so that passes ended at their time limit, most steps were not reached, and accepted work
/// waited while most of the cell and the advisor were idle.

#define BOOST_TEST_MODULE pass_cost
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

#include <set>
#include <string>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;
using emulator::ProcessorCost;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

constexpr int cell_sizes[] = { 350, 1100, 6000 };
constexpr Millis load_line_interval { 2000 }; ///< Counters are updated that often.

/// What a waiting job is like.
enum class Kind { plain, gang, advised, advised_gang };

std::vector<std::string> worker_ids(int count)
{
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i)
        ids.push_back("w" + std::to_string(i));
    return ids;
}

/// A leader of idle workers, each with room for eight tasks.
class IdleCell {
public:
    explicit IdleCell(int workers)
        : m_take_over(worker_ids(workers), job_of("first"), {})
    {
        run_for(Millis(2000));
    }

    /// Lets time pass; workers hold polls for a while.
    void run_for(Millis span)
    {
        constexpr Millis step { 400 };
        const Millis until = m_take_over.world.now() + span;
        while (m_take_over.world.now() < until) {
            const size_t open = polls().size();
            for (; m_next_poll < open; ++m_next_poll)
                m_take_over.answer(m_next_poll);
            m_take_over.world.run_for(step);
        }
    }

    /// Announces jobs of eight tasks.
    void submit(Kind kind, int jobs)
    {
        constexpr int tasks = 8;
        for (int i = 0; i < jobs; ++i) {
            AcceptedJob job = job_of("job" + std::to_string(m_version), tasks);
            job.spec.steps.front().gang = kind == Kind::gang || kind == Kind::advised_gang;
            if (kind == Kind::advised || kind == Kind::advised_gang)
                job.queue.advice = AdviceRule { 2, 1, 2000 };
            m_take_over.scheduler->job_announced(job, m_version++);
        }
    }

    void set_entries_per_ms(int64_t entries)
    {
        ProcessorCost cost;
        cost.entries_per_ms = entries;
        m_take_over.loop.set_processor_cost(cost);
    }

    /// Returns how many workers the passes examined for each step that they tried.
    double examined_per_step()
    {
        const double examined = counter("pathport_pass_workers_examined_total");
        const double tried = counter("pathport_pass_steps_total");
        return tried == 0 ? 0 : examined / tried;
    }

    /// Returns the number of tasks that were ordered to start.
    size_t started_tasks() const
    {
        std::set<std::string> tasks;
        for (const auto& start : m_take_over.manual_workers.starts)
            tasks.insert(start.order.task.to_string());
        return tasks.size();
    }

private:
    const std::vector<ManualWorkers::Poll>& polls() const
    {
        return m_take_over.manual_workers.polls;
    }
    double counter(const std::string& name) const
    {
        return m_take_over.metrics.counter_value(name);
    }

    MultiWorkerTakeOver m_take_over;
    size_t m_next_poll = 0;
    int64_t m_version = 1000;
};

double examined_per_step(int workers, Kind kind)
{
    IdleCell cell(workers);
    cell.submit(kind, 100);
    cell.run_for(Millis(2 * load_line_interval.count()));
    return cell.examined_per_step();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A query names up to 100 workers, and a step that needs no advice starts at once.
BOOST_AUTO_TEST_CASE(a_step_examines_as_many_workers_in_a_cell_of_any_size)
{
    constexpr double most = 120;
    for (const Kind kind : { Kind::plain, Kind::gang, Kind::advised, Kind::advised_gang }) {
        for (const int workers : cell_sizes) {
            const double examined = examined_per_step(workers, kind);
            BOOST_TEST(examined <= most,
                       "kind " << int(kind) << ", " << workers << " workers: " << examined
                               << " examined for a step");
        }
    }
}

// In the time that a pass may take, the leader examines 240 workers.
BOOST_AUTO_TEST_CASE(a_weak_leader_starts_what_waits_in_a_cell_of_any_size)
{
    constexpr size_t tasks = 1600;
    for (const Kind kind : { Kind::plain, Kind::gang }) {
        for (const int workers : cell_sizes) {
            IdleCell cell(workers);
            const size_t before = cell.started_tasks();
            cell.set_entries_per_ms(20);
            cell.submit(kind, 200);
            cell.run_for(Millis(2000));
            const size_t started = cell.started_tasks() - before;
            BOOST_TEST(started == tasks,
                       "kind " << int(kind) << ", " << workers << " workers: " << started
                               << " of " << tasks << " tasks started");
        }
    }
}
