// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A worker whose answers a test gives by hand, a listener for one session, and a scheduler
/// that takes over one job from an earlier leader.

#pragma once

#include "scheduler.h"
#include "store_keys.h"
#include "worker_session.h"

#include <pathport/emulator/cell.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace pathport::jobs {

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
    std::vector<RunOrder> stop_orders;
    void stop(const WorkerInfo&, const RunOrder& order, Millis,
              std::function<void(OrderAnswer)>) override
    {
        ++stops;
        stop_orders.push_back(order);
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
    int gone = 0;
    bool may_order() const override { return true; }
    void answer_missing() override { ++missing; }
    bool answers_go_missing() const override { return missing > 0; }
    bool may_lease(const WorkerSession&) const override { return true; }
    void lost(WorkerSession&) override { }
    int missing = 0; ///< Calls that were not answered.
    void reported(WorkerSession&, const LookReport&, ReportStage) override { }
    void life_over(WorkerSession&) override { ++over; }
    void lease_lapsed(WorkerSession&) override { ++lapsed; }
    void run_gone(WorkerSession&, const TaskId&, int64_t) override { ++gone; }
    void fenced_off(WorkerSession&) override { }
};

inline LookReport report_at(Millis now)
{
    LookReport report;
    report.clock_ms = now.count();
    return report;
}

/// Returns as many ends of other tasks as a report lists at most (PROTOCOL.md).
inline LookReport full_report_at(Millis now)
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

    /// The list may name a worker of a service that the operators don't know as well.
    explicit TakeOver(bool lists_stranger = false)
    {
        WorkerInfo info;
        info.id = "w1";
        info.service = "s";
        info.capacity = { 4000, 4000, 0 };
        std::vector<WorkerInfo> listed { info };
        if (lists_stranger) {
            info.id = "w2";
            info.service = "unknown";
            listed.push_back(info);
        }
        store.list_workers = [listed] { return listed; };
        const Claim claim { HeadValue { 1, 0, "x", {} }, put_rows(), world.now(),
                            world.now() };
        SchedulerParts parts { loop,
                               port,
                               port,
                               worker,
                               advice,
                               [] { return int64_t(0); },
                               [] { return int64_t(0); },
                               metrics,
                               WorkerBounds() };
        parts.knows_service = [](const std::string& service) { return service == "s"; };
        scheduler = std::make_unique<Scheduler>(parts, claim, [] {});
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

} // namespace pathport::jobs
