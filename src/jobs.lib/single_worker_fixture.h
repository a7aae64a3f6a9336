// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A worker that the test answers for by hand, a listener for one session, and a scheduler
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

/// Records calls to one worker, which the test answers by hand.
class ManualWorker : public WorkerClient {
public:
    std::vector<
        std::pair<PollRequest, std::function<void(OrderStatus, std::optional<PollReport>)>>>
        polls;
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
    void set_speed(const WorkerInfo&, const RunOrder&, Millis,
                   std::function<void(OrderAnswer)>) override
    {
    }
    void poll(const WorkerInfo&, const PollRequest& order, Millis,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        polls.emplace_back(order, std::move(done));
    }
};

/// Peers that never reply.
class NoPeers : public PeerClient {
public:
    void send(const std::string&, const PeerRequest&, Millis, PeerReply) override { }
};

/// Counts the events reported by a session.
class RecordingListener : public SessionListener {
public:
    int incarnations_ended = 0;
    int leases_lapsed = 0;
    int runs_gone = 0;
    bool orders_allowed() const override { return true; }
    void call_timed_out() override { ++missing_answers; }
    bool has_recent_timeouts() const override { return missing_answers > 0; }
    bool may_renew_lease(const WorkerSession&) const override { return true; }
    void worker_lost(WorkerSession&) override { }
    int missing_answers = 0; ///< Calls without a reply.
    void report_received(WorkerSession&, const PollReport&, ReportStage) override { }
    void incarnation_ended(WorkerSession&, EndEvidence) override { ++incarnations_ended; }
    void lease_expired(WorkerSession&) override { ++leases_lapsed; }
    void run_gone(WorkerSession&, const TaskId&, int64_t) override { ++runs_gone; }
    void fenced_off(WorkerSession&) override { }
};

inline PollReport report_at(Millis now)
{
    PollReport report;
    report.clock_ms = now.count();
    return report;
}

/// Returns a report with the maximum number of ended tasks (PROTOCOL.md), all of another
/// job.
inline PollReport full_report_at(Millis now)
{
    constexpr int listed_at_most = 500;
    PollReport report = report_at(now);
    for (int i = 1; i <= listed_at_most; ++i) {
        EndedTask end;
        end.number = i;
        end.task = { "other", 0, 0, i };
        end.run = 1;
        report.ended.push_back(end);
    }
    return report;
}

/// A scheduler that takes over "job1", whose only task is running as run 7 on worker "w1".
struct SingleWorkerTakeOver {
    emulator::World world { 3 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "a" };
    emulator::Workers advisors { world };
    emulator::WorkerPort advisor { advisors, loop, "a" };
    NoPeers peers;
    AdvicePool advice { loop, advisor, peers };
    Metrics metrics;
    ManualWorker worker;
    const TaskId task { "job1", 0, 0, 0 };
    static constexpr int64_t run = 7;
    std::unique_ptr<Scheduler> scheduler;

    /// `lists_unknown_service` adds a worker of an unknown service to the list.
    explicit SingleWorkerTakeOver(bool lists_unknown_service = false)
    {
        WorkerInfo info;
        info.id = "w1";
        info.service = "s";
        info.capacity = { 4000, 4000, 0 };
        std::vector<WorkerInfo> listed { info };
        if (lists_unknown_service) {
            info.id = "w2";
            info.service = "unknown";
            listed.push_back(info);
        }
        store.list_workers = [listed] { return listed; };
        const Claim claim { HeadValue { 1, 0, "x", {} }, put_rows(), world.now(),
                            world.now() };
        SchedulerContext parts { loop,
                                 port,
                                 port,
                                 worker,
                                 advice,
                                 [] { return int64_t(0); },
                                 [] { return int64_t(0); },
                                 metrics,
                                 WorkerTimeouts() };
        parts.knows_service = [](const std::string& service) { return service == "s"; };
        scheduler = std::make_unique<Scheduler>(parts, claim, [] {});
        scheduler->begin();
        world.run_for(Millis(100));
    }
    /// Answers the last poll and runs for one second without further replies.
    void report(const PollReport& report)
    {
        worker.polls.back().second(OrderStatus::accepted, report);
        world.run_for(Millis(1000));
    }

private:
    /// Writes the rows of the job and the leader, and returns the version of the head row.
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
