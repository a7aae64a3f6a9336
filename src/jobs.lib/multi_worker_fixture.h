// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A scheduler that takes over one job on several workers, whose replies the test delivers
/// by hand, also late or out of order.

#pragma once

#include "single_worker_fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Records calls to workers, which the test answers by hand.
class ManualWorkers : public WorkerClient {
public:
    struct Poll {
        std::string worker;
        PollRequest order;
        std::function<void(OrderStatus, std::optional<PollReport>)> done;
        bool answered = false;
    };
    struct Start {
        std::string worker;
        StartOrder order;
        std::function<void(OrderAnswer)> done;
        Millis at;
    };
    struct Stop {
        std::string worker;
        RunOrder order;
    };
    explicit ManualWorkers(emulator::World& world)
        : m_world(world)
    {
    }
    std::vector<Poll> polls;
    std::vector<Start> starts;
    std::vector<Stop> stops;
    void start(const WorkerInfo& worker, const StartOrder& order, Millis,
               std::function<void(OrderAnswer)> done) override
    {
        starts.push_back({ worker.id, order, std::move(done), m_world.now() });
    }
    void stop(const WorkerInfo& worker, const RunOrder& order, Millis,
              std::function<void(OrderAnswer)>) override
    {
        stops.push_back({ worker.id, order });
    }
    void set_speed(const WorkerInfo&, const RunOrder&, Millis,
                   std::function<void(OrderAnswer)>) override
    {
    }
    void poll(const WorkerInfo& worker, const PollRequest& order, Millis,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        polls.push_back({ worker.id, order, std::move(done) });
    }

private:
    emulator::World& m_world;
};

/// Peers that pass requests to the test; they never reply unless it does.
class ManualPeers : public PeerClient {
public:
    std::function<void(const PeerRequest&, PeerReply)> on_request;
    void send(const std::string&, const PeerRequest& request, Millis,
              PeerReply done) override
    {
        if (on_request)
            on_request(request, std::move(done));
    }
};

/// The state that a worker reports.
struct ManualWorkerState {
    bool unresponsive = false;
    bool restarted = false; ///< Another incarnation replies under its name.
    bool address_taken = false; ///< Another worker replies at its address.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

inline RunningTask running_task(const TaskId& task, int64_t run)
{
    RunningTask running;
    running.task = task;
    running.run = run;
    return running;
}

inline EndedTask ended_task(int64_t number, const TaskId& task, int64_t run, EndKind kind)
{
    EndedTask end;
    end.number = number;
    end.task = task;
    end.run = run;
    end.kind = kind;
    return end;
}

inline AcceptedJob job_of(const std::string& id, int tasks = 1, bool lasting = false)
{
    AcceptedJob job;
    job.id = id;
    job.queue.service = "s";
    job.queue.max_failures = 5;
    job.spec.payload = "p";
    StepSpec step;
    step.count = tasks;
    step.need = { 450, 500, 0 };
    step.long_running = lasting;
    job.spec.steps.push_back(step);
    return job;
}

/// A scheduler that takes over one job. `placed` lists the worker and run of its tasks, and
/// `prepare` changes the progress that the earlier leader recorded. `mechanisms` are those
/// that the scheduler uses.
struct MultiWorkerTakeOver {
    emulator::World world { 3 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "a" };
    emulator::Workers advisors { world };
    emulator::WorkerPort advisor { advisors, loop, "a" };
    ManualPeers peers;
    AdvicePool advice { loop, advisor, peers };
    Metrics metrics;
    StoreClock store_clock;
    ManualWorkers manual_workers { world };
    std::map<std::string, ManualWorkerState> worker_states;
    std::unique_ptr<Scheduler> scheduler;
    const TaskId task { "job1", 0, 0, 0 };

    MultiWorkerTakeOver(const std::vector<std::string>& ids, const AcceptedJob& job,
                        const std::vector<std::pair<std::string, int64_t>>& placed,
                        const std::function<void(JobRecord&)>& prepare = {},
                        Mechanisms mechanisms = {})
    {
        list(ids);
        JobRecord record(job, world.now());
        record.begin_repeat();
        for (size_t i = 0; i < placed.size(); ++i) {
            const TaskId id { job.id, 0, 0, int(i) };
            Task& there = *record.task(id);
            there.phase = TaskPhase::running;
            there.worker = placed[i].first;
            there.run = placed[i].second;
            worker_states[placed[i].first].running.push_back(
                running_task(id, placed[i].second));
        }
        if (prepare)
            prepare(record);
        StoreWrite write;
        write.puts.push_back({ job_row(job.id), encode(job) });
        if (!placed.empty() || prepare)
            write.puts.push_back({ progress_row(job.id), record.encode_progress() });
        write.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 0, "x", {} }) });
        const Claim claim { HeadValue { 1, 0, "x", {} }, store.write_now(write).version,
                            world.now(), world.now() };
        SchedulerContext parts { loop,
                                 port,
                                 port,
                                 manual_workers,
                                 advice,
                                 [] { return int64_t(0); },
                                 [] { return int64_t(0); },
                                 metrics,
                                 WorkerTimeouts() };
        parts.store_clock = &store_clock;
        parts.mechanisms = mechanisms;
        scheduler = std::make_unique<Scheduler>(parts, claim, [] {});
        scheduler->begin();
    }
    /// Sets the store clock, which is unknown until then.
    void learn_store_clock()
    {
        store_clock.update(world.now().count(), world.now(), world.now());
    }

    /// Makes the worker list return workers of these ids.
    void list(const std::vector<std::string>& ids)
    {
        std::vector<WorkerInfo> infos;
        for (const std::string& id : ids) {
            infos.push_back(worker_info(id));
            worker_states[id];
        }
        store.list_workers = [infos] { return infos; };
    }
    static WorkerInfo worker_info(const std::string& id)
    {
        WorkerInfo info;
        info.id = id;
        info.service = "s";
        info.capacity = { 4000, 4000, 0 };
        return info;
    }

    /// Returns the worker's present reply to a poll.
    PollReport report_of(const ManualWorkers::Poll& call)
    {
        PollReport report = report_at(world.now());
        const ManualWorkerState& state = worker_states[call.worker];
        report.running = state.running;
        for (const EndedTask& end : state.ended) {
            if (end.number > call.order.acked_through)
                report.ended.push_back(end);
        }
        return report;
    }
    void answer(size_t index)
    {
        manual_workers.polls[index].answered = true;
        const auto call = manual_workers.polls[index];
        if (worker_states[call.worker].unresponsive)
            call.done(OrderStatus::unknown, std::nullopt);
        else if (worker_states[call.worker].restarted)
            call.done(OrderStatus::replaced, std::nullopt);
        else if (worker_states[call.worker].address_taken)
            call.done(OrderStatus::wrong_incarnation, std::nullopt);
        else
            call.done(OrderStatus::accepted, report_of(call));
    }
    /// Answers all open polls, and again after each `step`, for `span`.
    void answer_polls(Millis span, Millis step = Millis(50))
    {
        const Millis until = world.now() + span;
        while (world.now() < until) {
            for (size_t i = 0; i < manual_workers.polls.size(); ++i) {
                if (!manual_workers.polls[i].answered)
                    answer(i);
            }
            world.run_for(step);
        }
    }
    /// Returns the number of start orders for a task.
    size_t count_starts(const TaskId& id) const
    {
        return size_t(
            std::count_if(manual_workers.starts.begin(), manual_workers.starts.end(),
                          [&](const auto& start) { return start.order.task == id; }));
    }
    /// Delivers two reports in reverse order. A start order gets no reply; a waiting poll
    /// was sent before it and a poll with a raised fence after it. The reports are made
    /// `apart` from each other, and the one that shows the end of the run is delivered
    /// first.
    void deliver_reports_out_of_order(EndKind kind, Millis apart = Millis(0))
    {
        answer_polls(Millis(200));
        for (size_t i = 0; i < manual_workers.polls.size(); ++i) {
            if (!manual_workers.polls[i].answered)
                answer(i);
        }
        world.run_for(Millis(20));
        BOOST_REQUIRE(manual_workers.starts.size() == 1);
        const size_t waiting = manual_workers.polls.size() - 1;
        BOOST_REQUIRE(!manual_workers.polls[waiting].answered);
        store.injected.latency_factor = 60;
        const int64_t run = manual_workers.starts[0].order.run;
        manual_workers.starts[0].done(OrderAnswer());
        const size_t raised = manual_workers.polls.size() - 1;
        BOOST_REQUIRE(raised == waiting + 1);
        ManualWorkerState& state = worker_states["w1"];
        state.running.push_back(running_task(task, run));
        const PollReport before = report_of(manual_workers.polls[raised]);
        state.running.clear();
        state.ended.push_back(ended_task(1, task, run, kind));
        world.run_for(apart);
        answer(waiting);
        manual_workers.polls[raised].answered = true;
        manual_workers.polls[raised].done(OrderStatus::accepted, before);
        // From here on the worker reports its actual state, and the store recovers.
        answer_polls(Millis(400), Millis(10));
        store.injected.latency_factor = 1;
        answer_polls(Millis(8000));
    }
};

} // namespace pathport::jobs
