// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells of different sizes with the same waiting work, and a leader whose passes take time
/// for each worker that they examine. Guards against passes whose cost follows the number
/// of workers: each step that was to be placed or to ask the advisor examined all of them,
/// so that passes ended at their time limit, most steps were not reached, and accepted work
/// waited while most of the cell and the advisor were idle. Also guards against attempts
/// whose cost follows the number of verdicts: verdicts are kept for as long as a step
/// waits, so that those of a step that had asked several times about a busy cell were all
/// examined in each pass, although none of the workers had room.

#define BOOST_TEST_MODULE pass_cost
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
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

/// A cell whose workers have become full while steps asked about them.
class FullCell {
public:
    static constexpr int steps = 100;
    static constexpr int64_t spare_cpu_millis = 450; ///< Of each worker, once it is full.
    static constexpr int asked_about = 300; ///< Workers that each step asks about at least.

    /// `cpu_millis` is what each task of the waiting steps needs.
    FullCell(int workers, int64_t cpu_millis)
        : m_take_over(worker_ids(workers), job_of("first"), {})
        , m_workers(workers)
    {
        std::vector<std::string> addresses;
        for (int i = 0; i < 2 * steps; ++i)
            addresses.push_back("peer" + std::to_string(i));
        m_take_over.advice.set_peers(addresses);
        m_take_over.peers.on_request = [this](const PeerRequest& request, PeerReply done) {
            if (request.topic == PeerTopic::advice)
                answer_later(request, std::move(done));
        };
        run_for(Millis(2000));
        submit_advised(cpu_millis);
        for (int i = 0; i < 200 && least_asked() < asked_about; ++i)
            run_for(Millis(20));
        fill();
        run_for(Millis(2 * answer_time.count()));
    }

    /// Returns the lowest number of workers that a step has asked about.
    int least_asked() const
    {
        int least = m_asked.size() < size_t(steps) ? 0 : m_workers;
        for (const auto& [step, workers] : m_asked)
            least = std::min(least, int(workers.size()));
        return least;
    }
    /// Returns the number of steps that have been allowed a worker.
    size_t allowed_steps() const { return m_allowed.size(); }
    size_t full_workers() const { return m_full.size(); }

    /// Returns how many workers are examined for each attempt to place a step.
    double examined_per_step()
    {
        run_for(load_line_interval); // Counters then leave out what came before.
        const double examined = counter("pathport_pass_workers_examined_total");
        const double tried = counter("pathport_pass_steps_total");
        run_for(Millis(2 * load_line_interval.count()));
        const double attempts = counter("pathport_pass_steps_total") - tried;
        BOOST_TEST(attempts >= steps);
        return (counter("pathport_pass_workers_examined_total") - examined) / attempts;
    }

private:
    static constexpr Millis answer_time { 200 };

    void run_for(Millis span)
    {
        constexpr Millis step { 20 };
        const Millis until = m_take_over.world.now() + span;
        while (m_take_over.world.now() < until) {
            confirm_starts();
            const size_t open = m_take_over.manual_workers.polls.size();
            for (; m_next_poll < open; ++m_next_poll)
                m_polls.emplace_back(m_take_over.world.now() + poll_time, m_next_poll);
            for (; m_polls_answered < m_polls.size()
                 && m_polls[m_polls_answered].first <= m_take_over.world.now();
                 ++m_polls_answered)
                m_take_over.answer(m_polls[m_polls_answered].second);
            m_take_over.world.run_for(step);
        }
    }
    void confirm_starts()
    {
        for (; m_next_start < m_take_over.manual_workers.starts.size(); ++m_next_start) {
            const auto start = m_take_over.manual_workers.starts[m_next_start];
            m_take_over.worker_states[start.worker].running.push_back(
                running_task(start.order.task, start.order.run));
            m_full.insert(start.worker);
            start.done(OrderAnswer { OrderStatus::accepted, 0 });
        }
    }
    void submit_advised(int64_t cpu_millis)
    {
        for (int i = 0; i < steps; ++i) {
            AcceptedJob job = job_of("batch" + std::to_string(i), 8);
            job.spec.steps.front().need = { cpu_millis, 500, 0 };
            job.queue.name = "batches";
            job.queue.priority = 1;
            job.queue.advice = AdviceRule { 300, 1, 2000 };
            m_take_over.scheduler->job_announced(job, m_version++);
        }
    }
    /// Starts a task on each worker that leaves `spare_cpu_millis`.
    void fill()
    {
        constexpr int most = 500; // So that a job's progress fits in a row.
        for (int started = 0; started < m_workers; started += most) {
            AcceptedJob job = job_of("filler" + std::to_string(started),
                                     std::min(most, m_workers - started), true);
            job.spec.steps.front().need = { 4000 - spare_cpu_millis, 3500, 0 };
            m_take_over.scheduler->job_announced(job, m_version++);
        }
        m_filled = true;
    }
    /// Refuses all workers before the cell is full and allows them after that.
    void answer_later(const PeerRequest& request, PeerReply done)
    {
        m_take_over.loop.after(answer_time, [this, request, done = std::move(done)] {
            PeerAnswer answer;
            answer.served = true;
            for (const std::string& worker : request.workers) {
                m_asked[request.job].insert(worker);
                if (m_filled)
                    answer.tickets.push_back({ worker, "ticket" });
            }
            if (m_filled)
                m_allowed.insert(request.job);
            done(PeerEnd::answered, answer);
        });
    }
    double counter(const std::string& name) const
    {
        return m_take_over.metrics.counter_value(name);
    }

    static constexpr Millis poll_time { 400 };

    MultiWorkerTakeOver m_take_over;
    int m_workers = 0;
    bool m_filled = false;
    std::vector<std::pair<Millis, size_t>> m_polls; ///< By the time of the answer.
    size_t m_next_poll = 0;
    size_t m_polls_answered = 0;
    size_t m_next_start = 0;
    int64_t m_version = 1000;
    std::map<std::string, std::set<std::string>> m_asked; ///< By step.
    std::set<std::string> m_allowed;
    std::set<std::string> m_full; ///< Workers.
};

double examined_per_step(int workers, Kind kind)
{
    IdleCell cell(workers);
    cell.submit(kind, 100);
    cell.run_for(Millis(2 * load_line_interval.count()));
    return cell.examined_per_step();
}

/// Checks that an attempt examines about as many workers as a query may name, at most.
void check_full_cell(int workers, int64_t cpu_millis)
{
    constexpr double most = 120;
    FullCell cell(workers, cpu_millis);
    BOOST_TEST_REQUIRE(cell.least_asked() >= FullCell::asked_about);
    BOOST_TEST_REQUIRE(cell.allowed_steps() > 0u);
    BOOST_TEST_REQUIRE(cell.full_workers() == size_t(workers));
    const double examined = cell.examined_per_step();
    BOOST_TEST(examined <= most,
               workers << " workers: " << examined << " examined for a step");
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

// Steps whose verdicts are on workers without room cost no more than steps that are new.
BOOST_AUTO_TEST_CASE(verdicts_on_full_workers_are_not_examined_again_and_again)
{
    for (const int workers : cell_sizes)
        check_full_cell(workers, 2 * FullCell::spare_cpu_millis);
}

// Nor does it matter how little room the workers lack.
BOOST_AUTO_TEST_CASE(workers_that_lack_little_are_not_examined_again_and_again)
{
    for (const int workers : cell_sizes)
        check_full_cell(workers, FullCell::spare_cpu_millis + 50);
}
