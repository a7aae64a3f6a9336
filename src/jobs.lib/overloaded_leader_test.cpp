// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader that lacks processor time: it reads answers late, and its passes examine only
/// some of the waiting steps. Guards against an overload that keeps the leader from
/// working: late answers counted as lost, and their workers as silent; steps beyond the
/// time limit of a pass were never examined, although there was capacity for them.
///
/// Also guards against work that grows with the leader's own lateness. A worker is polled
/// every 120 ms while an end that it lists is not recorded, and such a poll returns at
/// once, so each end costs the more calls the later it is recorded. And how late answers
/// are read is learned from those that were read late, so when the lateness begins, the
/// answers that lie unread are taken for lost: their starts are in doubt, and their workers
/// are polled again under a higher fence.

#define BOOST_TEST_MODULE overloaded_leader
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"
#include "relay_fixture.h"

#include <pathport/log.h>

#include <algorithm>
#include <functional>
#include <optional>
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

/// Other work that keeps the processor of a process busy.
class BackgroundLoad {
public:
    explicit BackgroundLoad(emulator::ProcessLoop& loop)
        : m_loop(loop)
    {
        ProcessorCost cost;
        cost.event = work_time;
        loop.set_processor_cost(cost);
    }

    /// Delays the process by `late` from now on.
    void begin(Millis late)
    {
        m_waiting = static_cast<size_t>(late.count() / work_time.count());
        add_work();
    }
    /// Adds no more work.
    void end() { m_waiting = 0; }

private:
    static constexpr Millis work_time { 1 };

    void add_work()
    {
        if (m_waiting == 0)
            return;
        while (m_loop.waiting_work() < m_waiting)
            m_loop.deliver([] {});
        m_loop.world().after(work_time, [this] { add_work(); });
    }

    emulator::ProcessLoop& m_loop;
    size_t m_waiting = 0; ///< Number of work items kept waiting.
};

/// Starts a task twenty times a second.
void start_tasks(RelayFixture& fixture, Millis span)
{
    constexpr Millis pause { 50 };
    const Millis started_at = fixture.world.now();
    while (fixture.world.now() < started_at + span) {
        fixture.start("job" + std::to_string(fixture.world.now().count()), "p");
        fixture.world.run_for(pause);
    }
}

/// A worker that answers at once if it lists ends that are not acknowledged, and otherwise
/// when a run ends or the poll has waited.
class EndingWorker : public WorkerClient {
public:
    explicit EndingWorker(emulator::World& world)
        : m_world(world)
    {
    }

    /// Number of polls received.
    int poll_count() const { return m_poll_count; }
    /// Ends a run and answers the waiting polls.
    void end_run()
    {
        const int64_t number = ++m_last_end;
        EndedTask end;
        end.number = number;
        end.task = { "job", 0, 0, static_cast<int>(number) };
        end.run = number;
        m_ends.push_back(end);
        std::vector<Waiting> waiting;
        waiting.swap(m_waiting);
        for (const Waiting& poll : waiting)
            answer(poll.done);
    }

    void start(const WorkerInfo&, const StartOrder&, Millis,
               std::function<void(OrderAnswer)>) override
    {
    }
    void stop(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)>) override
    {
    }
    void set_speed(const WorkerInfo&, const RunOrder&, Millis,
                   std::function<void(OrderAnswer)>) override
    {
    }
    void poll(const WorkerInfo&, const PollRequest& order, Millis,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        ++m_poll_count;
        m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(),
                                    [&](const EndedTask& end) {
                                        return end.number <= order.acked_through;
                                    }),
                     m_ends.end());
        if (!m_ends.empty() || order.wait == Millis(0)) {
            answer(done);
            return;
        }
        const int64_t id = ++m_last_waiting;
        m_waiting.push_back({ id, std::move(done) });
        m_world.after(order.wait, [this, id] { answer_waiting(id); });
    }

private:
    using Done = std::function<void(OrderStatus, std::optional<PollReport>)>;
    struct Waiting {
        int64_t id = 0;
        Done done;
    };
    static constexpr Millis transit { 2 };

    void answer(const Done& done)
    {
        PollReport report = report_at(m_world.now());
        report.ended = m_ends;
        m_world.after(transit, [done, report] { done(OrderStatus::accepted, report); });
    }
    void answer_waiting(int64_t id)
    {
        const auto found
            = std::find_if(m_waiting.begin(), m_waiting.end(),
                           [id](const Waiting& waiting) { return waiting.id == id; });
        if (found == m_waiting.end())
            return;
        const Done done = std::move(found->done);
        m_waiting.erase(found);
        answer(done);
    }

    emulator::World& m_world;
    std::vector<EndedTask> m_ends; ///< Not acknowledged yet.
    std::vector<Waiting> m_waiting;
    int64_t m_last_end = 0;
    int64_t m_last_waiting = 0;
    int m_poll_count = 0;
};

/// Records each end `delay` after the report that lists it first.
class DelayedRecorder : public RecordingListener {
public:
    DelayedRecorder(emulator::World& world, Millis delay)
        : m_world(world)
        , m_delay(delay)
    {
    }
    void report_received(WorkerSession& session, const PollReport& report,
                         ReportStage) override
    {
        if (report.ended.empty())
            return;
        const int64_t last = report.ended.back().number;
        m_world.after(m_delay, [&session, last] { session.ends_recorded(last); });
    }
    Millis record_time() const override { return m_delay; }

private:
    emulator::World& m_world;
    Millis m_delay;
};

/// Returns the number of polls of a busy worker on which one run ends in each of ten
/// seconds, when ends are recorded `delay` after the leader learned of them.
int polls_in_ten_seconds(Millis delay)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    EndingWorker worker(world);
    DelayedRecorder listener(world, delay);
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, listener, info, 1, 0, WorkerTimeouts(),
                          world.now());
    session.set_busy(true);
    session.start_polling();
    world.run_for(Millis(3000));
    const int before = worker.poll_count();
    for (int i = 0; i < 10; ++i) {
        worker.end_run();
        world.run_for(Millis(1000));
    }
    return worker.poll_count() - before;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The worker and the relay answer at once; the leader reads the answer a second later.
BOOST_AUTO_TEST_CASE(answers_that_the_leader_reads_late_are_not_taken_for_lost)
{
    RelayFixture fixture;
    BackgroundLoad background(fixture.loop);
    background.begin(Millis(1000));
    start_tasks(fixture, Millis(4000)); // The leader learns how late answers are.
    fixture.world.run_for(Millis(3000));
    fixture.accepted = 0;
    fixture.unknown = 0;
    start_tasks(fixture, Millis(4000));
    fixture.world.run_for(Millis(3000));
    BOOST_TEST(fixture.accepted > 0);
    BOOST_TEST(fixture.unknown == 0);
}

// The same from the moment when the leader falls behind, before it has read a late answer.
BOOST_AUTO_TEST_CASE(
    answers_that_lie_unread_when_the_lateness_begins_are_not_taken_for_lost)
{
    RelayFixture fixture;
    start_tasks(fixture, Millis(4000));
    fixture.world.run_for(Millis(500));
    fixture.unknown = 0;
    BackgroundLoad background(fixture.loop);
    background.begin(Millis(1000));
    start_tasks(fixture, Millis(4000));
    fixture.world.run_for(Millis(3000));
    BOOST_TEST(fixture.accepted > 0);
    BOOST_TEST(fixture.unknown == 0);
}

// A leader that is late records late. That must not make it call its workers more often.
BOOST_AUTO_TEST_CASE(ends_that_are_recorded_late_cost_no_more_polls)
{
    const int in_time = polls_in_ten_seconds(Millis(20));
    for (const int delay : { 100, 200, 400, 800 }) {
        const int polls = polls_in_ten_seconds(Millis(delay));
        BOOST_TEST_MESSAGE("recorded after " << delay << " ms: " << polls
                                             << " polls; after 20 ms: " << in_time);
        BOOST_TEST(polls <= in_time);
    }
}

// Time-outs are longer only while answers are late.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_noticed_as_soon_as_before_once_answers_are_in_time)
{
    RelayFixture fixture;
    BackgroundLoad background(fixture.loop);
    background.begin(Millis(1000));
    start_tasks(fixture, Millis(4000));
    background.end();
    fixture.loop.set_processor_cost({});
    start_tasks(fixture, Millis(20000));
    fixture.world.run_for(Millis(50));
    fixture.unknown = 0;
    fixture.relay_client.silent = true;
    fixture.start("lost", "p");
    fixture.world.run_for(Millis(600));
    BOOST_TEST(fixture.unknown == 1);
}

// Steps that cannot be placed, since no worker has their label, use up each pass.
BOOST_AUTO_TEST_CASE(a_step_behind_hundreds_that_have_no_room_is_started)
{
    constexpr int unplaceable = 300;
    constexpr int64_t version = 1000;
    constexpr Millis soon { 3000 };
    MultiWorkerTakeOver take_over({ "w1" }, job_of("first"), {});
    take_over.answer_polls(Millis(1000));
    for (int i = 0; i < unplaceable; ++i) {
        AcceptedJob job = job_of("hopeless" + std::to_string(i));
        job.spec.steps.front().label = "nowhere";
        take_over.scheduler->job_announced(job, version + i);
    }
    ProcessorCost cost;
    cost.clock_reading = Millis(1);
    take_over.loop.set_processor_cost(cost);
    take_over.answer_polls(Millis(500));
    AcceptedJob behind = job_of("behind");
    behind.queue.priority = 1;
    take_over.scheduler->job_announced(behind, version + unplaceable);
    take_over.answer_polls(soon);
    BOOST_TEST(take_over.count_starts({ "behind", 0, 0, 0 }) == 1U);
}
