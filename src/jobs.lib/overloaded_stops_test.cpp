// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against tasks of a cancelled job that run on since the leader never asks their
/// worker to stop them, though the cancellation was acknowledged. Three ways lead there:
/// - A worker whose polls go unanswered, or whose answers are read too late, counts as
///   silent, and at most two stops are sent to it at a time. A stop that was sent is
///   repeated until a report shows that the run has ended, and reports are what is missing:
///   the retries of the first two stops fall due first and take both places each time, so
///   a third run on that worker is never asked to stop.
/// - A run whose start is in doubt gets no stop until a report resolves the doubt.
/// - A new leader knows no runs until it has loaded the jobs. If it lacks processor time it
///   sends its reads again before it has read the answers, takes longer for it than
///   followers wait for a leader, and is replaced by one that begins anew.

#define BOOST_TEST_MODULE overloaded_stops
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "single_worker_fixture.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

using namespace pathport;
using namespace pathport::jobs;

using cell_tests::Cell;
using cell_tests::LogFixture;
using emulator::ProcessorCost;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr int runs = 8;
/// Time within which the tasks of a cancelled job have to be stopped.
constexpr Millis cancel_time { 3000 };

/// A worker that carries out stops, and whose polls are not answered in time.
class PollsUnanswered : public ManualWorker {
public:
    /// Answers to stops are read if `answers_stops`, otherwise they are too late.
    PollsUnanswered(emulator::World& world, bool answers_stops)
        : m_world(world)
        , m_answers_stops(answers_stops)
    {
    }

    void poll(const WorkerInfo& info, const PollRequest& order, Millis timeout,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        if (answers_polls) {
            ManualWorker::poll(info, order, timeout, std::move(done));
            return;
        }
        m_world.after(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
    }
    void stop(const WorkerInfo&, const RunOrder& order, Millis timeout,
              std::function<void(OrderAnswer)> done) override
    {
        stopped.insert(order.task.to_string());
        ++stops;
        OrderAnswer answer;
        answer.status = m_answers_stops ? OrderStatus::accepted : OrderStatus::unknown;
        m_world.after(m_answers_stops ? Millis(5) : timeout,
                      [done, answer] { done(answer); });
    }

    bool answers_polls = true;
    std::set<std::string> stopped; ///< Tasks whose stop has reached the worker.

private:
    emulator::World& m_world;
    bool m_answers_stops;
};

/// Returns the number of runs that the worker was asked to stop, of a job that is closed
/// while the worker counts as silent.
size_t stops_that_arrive(bool answers_stops)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    PollsUnanswered worker(world, answers_stops);
    RecordingListener listener;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, listener, info, 1, 0, WorkerTimeouts(),
                          world.now());
    session.start_polling();
    worker.answers_polls = false;
    worker.polls.at(0).second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(4000)); // Long enough for two polls without an answer.
    for (int i = 0; i < runs; ++i)
        session.stop({ "job", 0, 0, i }, 1 + i, StopReason::job_closed);
    world.run_for(cancel_time);
    BOOST_TEST_MESSAGE("stops sent: " << worker.stops
                                      << ", runs: " << worker.stopped.size());
    return worker.stopped.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(each_run_at_a_silent_worker_is_asked_to_stop)
{
    BOOST_TEST(stops_that_arrive(true) == size_t(runs));
}

BOOST_AUTO_TEST_CASE(each_run_is_asked_to_stop_though_answers_are_read_too_late)
{
    BOOST_TEST(stops_that_arrive(false) == size_t(runs));
}

// The answer to a start is lost, and polls go unanswered, so nothing tells whether the run
// exists. It does.
BOOST_AUTO_TEST_CASE(a_run_whose_start_is_in_doubt_is_asked_to_stop)
{
    SingleWorkerTakeOver take_over;
    // The worker does not list the run that the earlier leader placed: the task is placed
    // anew.
    take_over.report(report_at(take_over.world.now()));
    for (int i = 0; i < 4 && take_over.worker.starts.empty(); ++i)
        take_over.report(report_at(take_over.world.now()));
    BOOST_REQUIRE(take_over.worker.starts.size() == 1U);
    take_over.worker.starts.back()(OrderAnswer { OrderStatus::unknown, 0 });
    take_over.scheduler->job_canceled(take_over.task.job, "test");
    const Millis until = take_over.world.now() + cancel_time;
    size_t answered = 0;
    while (take_over.world.now() < until) {
        for (; answered < take_over.worker.polls.size(); ++answered)
            take_over.worker.polls[answered].second(OrderStatus::unknown, std::nullopt);
        take_over.world.run_for(Millis(50));
    }
    BOOST_TEST(take_over.worker.stops > 0);
}

// All nodes lack processor time while jobs come ten times a second, so a new leader takes
// longer to load the jobs than followers wait for it. Nothing else is disturbed.
BOOST_AUTO_TEST_CASE(tasks_of_canceled_jobs_end_in_time_though_the_nodes_are_overloaded)
{
    constexpr int nodes = 4;
    constexpr int workers = 40;
    constexpr int canceled_jobs = 8;
    constexpr uint64_t first_seed = 1;
    constexpr uint64_t seeds = 3;
    constexpr int64_t first_cancel_ms = 3000;
    constexpr int64_t cancel_interval_ms = 1000;
    constexpr Millis job_interval { 100 };
    constexpr Millis span { 16000 };
    ProcessorCost cost;
    cost.event = Millis(12);
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        Cell cell(seed, nodes, workers);
        cell_tests::add_queues(cell);
        cell.world.run_for(Millis(6000));
        cell.watch_jobs();
        for (int i = 0; i < canceled_jobs; ++i)
            cell_tests::submit(cell, "q0", "long" + std::to_string(i),
                               { cell_tests::small_step(16, 60000) });
        cell.world.run_for(Millis(2000));
        cell.set_processor_cost(cost);
        const Millis begun = cell.world.now();
        int canceled = 0;
        for (int i = 0; cell.world.now() < begun + span; ++i) {
            cell_tests::submit(cell, "q" + std::to_string(i % 3), "job" + std::to_string(i),
                               { cell_tests::small_step(8, 2000) });
            cell.world.run_for(job_interval);
            const Millis cancel_at
                = begun + Millis(first_cancel_ms + cancel_interval_ms * canceled);
            if (canceled < canceled_jobs && cell.world.now() > cancel_at)
                cell.cancel("long" + std::to_string(canceled++));
        }
        // Stalls are not judged here: the cell has more work than it can place.
        for (const std::string& violation : cell.liveness_violations())
            BOOST_TEST(violation.find("is still running") == std::string::npos,
                       "seed " << seed << ": " << violation);
    }
}
