// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a leader concludes from workers that list many ends or can't be reached.

#define BOOST_TEST_MODULE worker_session
#include <boost/test/unit_test.hpp>

#include "scheduler.h"
#include "store_keys.h"
#include "worker_session.h"

#include <pathport/emulator/cell.h>
#include <pathport/log.h>

#include <cstdlib>
#include <optional>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct QuietLog {
    QuietLog()
    {
        const char* const level = std::getenv("PATHPORT_LOG");
        start_log("test", log_level_from(level == nullptr ? "error" : level));
    }
};

/// A worker whose answers are given by hand.
class HeldWorker : public WorkerClient {
public:
    std::vector<
        std::pair<LookOrder, std::function<void(OrderStatus, std::optional<LookReport>)>>>
        looks;
    std::vector<std::function<void(OrderAnswer)>> starts;
    void start(const WorkerInfo&, const StartOrder&, Millis,
               std::function<void(OrderAnswer)> done) override
    {
        starts.push_back(std::move(done));
    }
    int stops = 0;
    void stop(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)>) override
    {
        ++stops;
    }
    void pace(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)>) override
    {
    }
    void look(const WorkerInfo&, const LookOrder& order, Millis,
              std::function<void(OrderStatus, std::optional<LookReport>)> done) override
    {
        looks.emplace_back(order, std::move(done));
    }
};

/// Nobody answers.
class NoPeers : public PeerClient {
public:
    void send(const std::string&, const PeerRequest&, Millis, PeerReply) override { }
};

/// Counts what a session concludes.
class Heard : public SessionListener {
public:
    int over = 0;
    int lapsed = 0;
    bool may_order() const override { return true; }
    void answer_missing() override { ++missing; }
    bool answers_go_missing() const override { return missing > 0; }
    int missing = 0; ///< Calls that were not answered.
    void reported(WorkerSession&, const LookReport&, ReportStage) override { }
    void life_over(WorkerSession&) override { ++over; }
    void lease_lapsed(WorkerSession&) override { ++lapsed; }
    void fenced_off(WorkerSession&) override { }
};

LookReport report_at(Millis now)
{
    LookReport report;
    report.clock_ms = now.count();
    return report;
}

/// Returns as many ends of other tasks as a report lists at most (PROTOCOL.md).
LookReport full_report_at(Millis now)
{
    constexpr int listed_at_most = 500;
    LookReport report = report_at(now);
    for (int i = 1; i <= listed_at_most; ++i) {
        EndedTask end;
        end.number = i;
        end.task = { "other", 0, 0, i };
        end.run = 1;
        report.ended.push_back(end);
    }
    return report;
}

/// A scheduler that takes over the job "job1", whose task runs as run 7 on its only worker.
struct TakeOver {
    emulator::World world { 3 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "a" };
    emulator::Workers advisors { world };
    emulator::WorkerPort advisor { advisors, loop, "a" };
    NoPeers peers;
    AdvicePool advice { loop, advisor, peers };
    Metrics metrics;
    HeldWorker worker;
    const TaskId task { "job1", 0, 0, 0 };
    static constexpr int64_t run = 7;
    std::unique_ptr<Scheduler> scheduler;

    TakeOver()
    {
        WorkerInfo info;
        info.id = "w1";
        info.service = "s";
        info.capacity = { 4000, 4000, 0 };
        store.list_workers = [info] { return std::vector<WorkerInfo> { info }; };
        const Claim claim { HeadValue { 1, 0, "x", {} }, put_rows(), world.now(),
                            world.now() };
        scheduler = std::make_unique<Scheduler>(
            SchedulerParts { loop, port, port, worker, advice, [] { return int64_t(0); },
                             [] { return int64_t(0); }, metrics, WorkerBounds() },
            claim, [] {});
        scheduler->begin();
        world.run_for(Millis(100));
    }
    /// Answers the last look; then the worker has nothing to tell for a while.
    void report(const LookReport& report)
    {
        worker.looks.back().second(OrderStatus::accepted, report);
        world.run_for(Millis(1000));
    }

private:
    /// Returns the version of the head row.
    int64_t put_rows()
    {
        AcceptedJob job;
        job.id = task.job;
        job.queue.service = "s";
        job.spec.payload = "p";
        StepSpec step;
        step.count = 1;
        step.need = { 450, 500, 0 };
        job.spec.steps.push_back(step);
        JobRecord record(job, world.now());
        record.begin_repeat();
        Task& placed = *record.task(task);
        placed.phase = TaskPhase::running;
        placed.worker = "w1";
        placed.run = run;
        StoreWrite write;
        write.puts.push_back({ job_row(job.id), encode(job) });
        write.puts.push_back({ progress_row(job.id), record.encode_progress() });
        write.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 0, "x", {} }) });
        return store.write_now(write).version;
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

// The worker lists 500 ends at once (PROTOCOL). A run that is not among them may be the
// next; it is not to be started again.
BOOST_AUTO_TEST_CASE(full_list_of_ends_does_not_say_that_a_run_is_missing)
{
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    HeldWorker worker;
    Heard heard;
    WorkerInfo info;
    info.id = "w1";
    WorkerSession session(loop, worker, heard, info, 1, 0, WorkerBounds(),
                          world.now() + Millis(9000));
    session.begin();
    worker.looks.at(0).second(OrderStatus::accepted, report_at(world.now()));
    world.run_for(Millis(5));
    std::optional<StartResult> result;
    const TaskId task { "job", 0, 0, 0 };
    session.start(task, 7, "p", "", "",
                  [&result](StartResult found, OrderStatus) { result = found; });
    const size_t looks = worker.looks.size();
    worker.starts.at(0)(OrderAnswer()); // No answer; it was done, and the run ended.
    BOOST_REQUIRE(worker.looks.size() > looks);
    worker.looks.back().second(OrderStatus::accepted, full_report_at(world.now()));
    BOOST_TEST((!result || *result != StartResult::not_started));
}

// The same at a take-over: the run's end is the next one, and comes with the next look.
BOOST_AUTO_TEST_CASE(full_first_list_of_ends_frees_no_task)
{
    TakeOver over;
    LookReport full = full_report_at(over.world.now());
    over.report(full);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST((over.scheduler->state_of("job1") == JobState::pending));
    LookReport rest = report_at(over.world.now());
    EndedTask end;
    end.number = full.ended.back().number + 1;
    end.task = over.task;
    end.run = over.run;
    rest.ended.push_back(end);
    over.report(rest);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST((over.scheduler->state_of("job1") == JobState::completed));
}

// What runs is in each report; it is adopted once, whichever report lists all ends.
BOOST_AUTO_TEST_CASE(run_beside_a_full_first_list_is_adopted_once)
{
    TakeOver over;
    LookReport full = full_report_at(over.world.now());
    RunningTask running;
    running.task = over.task;
    running.run = over.run;
    full.running.push_back(running);
    over.report(full);
    LookReport rest = report_at(over.world.now());
    rest.running.push_back(running);
    over.report(rest);
    BOOST_TEST(over.worker.starts.empty());
    BOOST_TEST(over.worker.stops == 0);
}

// With a list that is not full, a task that is not in it is free.
BOOST_AUTO_TEST_CASE(short_first_list_of_ends_frees_a_task)
{
    TakeOver over;
    over.report(report_at(over.world.now()));
    BOOST_TEST(over.worker.starts.size() == 1U);
}

namespace {

/// A session with a draining worker that has gone from the list while its lease still
/// holds.
struct LeftWorker {
    emulator::World world { 7 };
    emulator::ProcessLoop loop { world };
    HeldWorker worker;
    Heard heard;
    std::unique_ptr<WorkerSession> session;

    LeftWorker()
    {
        WorkerInfo info;
        info.id = "w1";
        info.draining = true;
        session = std::make_unique<WorkerSession>(loop, worker, heard, info, 1, 0,
                                                  WorkerBounds(), world.now());
        session->begin();
        worker.looks.at(0).second(OrderStatus::accepted, report_at(world.now()));
        world.run_for(Millis(5)); // The next look leases for 5.85 s.
        BOOST_REQUIRE(worker.looks.at(1).first.hold_until > world.now().count() + 5000);
        session->left();
        worker.looks.at(1).second(OrderStatus::unknown, std::nullopt);
        world.run_for(Millis(500));
    }
    void answer_look(OrderStatus status)
    {
        worker.looks.back().second(status, std::nullopt);
    }
};

} // namespace

// The worker has gone from the list, since it was cut off for three heartbeats, and
// connecting to it times out. Its lease has not run out, so what runs there may run on.
BOOST_AUTO_TEST_CASE(worker_that_cannot_be_reached_within_its_lease_is_not_over)
{
    LeftWorker left;
    left.answer_look(OrderStatus::unreachable);
    BOOST_TEST(left.heard.over == 0);
    BOOST_TEST(left.heard.lapsed == 0);
    for (int i = 0; i < 30; ++i) {
        left.world.run_for(Millis(250));
        left.answer_look(OrderStatus::unreachable);
    }
    BOOST_TEST(left.heard.over == 0);
    BOOST_TEST(left.heard.lapsed == 1);
}

// Nothing listens there any more, as it had announced.
BOOST_AUTO_TEST_CASE(worker_that_has_left_and_refuses_connections_is_over)
{
    LeftWorker left;
    left.answer_look(OrderStatus::refused);
    BOOST_TEST(left.heard.over == 1);
}
