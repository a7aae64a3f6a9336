// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A scheduler that takes over one job on several workers, whose answers a test gives by
/// hand, late or out of order.

#pragma once

#include "take_over_fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Workers whose answers a test gives by hand, told apart by their ids.
class Hands : public WorkerClient {
public:
    struct Look {
        std::string worker;
        LookOrder order;
        std::function<void(OrderStatus, std::optional<LookReport>)> done;
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
    explicit Hands(emulator::World& world)
        : m_world(world)
    {
    }
    std::vector<Look> looks;
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
    void pace(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)>) override
    {
    }
    void look(const WorkerInfo& worker, const LookOrder& order, Millis,
              std::function<void(OrderStatus, std::optional<LookReport>)> done) override
    {
        looks.push_back({ worker.id, order, std::move(done) });
    }

private:
    emulator::World& m_world;
};

/// What a worker has to tell.
struct State {
    bool silent = false;
    bool reborn = false; ///< Another life of its name answers in its place.
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
    step.lasting = lasting;
    job.spec.steps.push_back(step);
    return job;
}

/// A scheduler that takes over one job; `placed` says where its tasks run, and `prepare`
/// changes the record of it that an earlier leader left.
struct Site {
    emulator::World world { 3 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "a" };
    emulator::Workers advisors { world };
    emulator::WorkerPort advisor { advisors, loop, "a" };
    NoPeers peers;
    AdvicePool advice { loop, advisor, peers };
    Metrics metrics;
    StoreClock store_clock;
    Hands hands { world };
    std::map<std::string, State> workers;
    std::unique_ptr<Scheduler> scheduler;
    const TaskId task { "job1", 0, 0, 0 };

    Site(const std::vector<std::string>& ids, const AcceptedJob& job,
         const std::vector<std::pair<std::string, int64_t>>& placed,
         const std::function<void(JobRecord&)>& prepare = {})
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
            workers[placed[i].first].running.push_back(running_task(id, placed[i].second));
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
        SchedulerParts parts { loop,
                               port,
                               port,
                               hands,
                               advice,
                               [] { return int64_t(0); },
                               [] { return int64_t(0); },
                               metrics,
                               WorkerBounds() };
        parts.store_clock = &store_clock;
        scheduler = std::make_unique<Scheduler>(parts, claim, [] {});
        scheduler->begin();
    }
    /// The store's clock is known from now on; until then no times of it are told.
    void learn_store_clock()
    {
        store_clock.note(world.now().count(), world.now(), world.now());
    }

    /// From now on the list names these lives.
    void list(const std::vector<std::string>& ids)
    {
        std::vector<WorkerInfo> infos;
        for (const std::string& id : ids) {
            infos.push_back(worker_info(id));
            workers[id];
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

    /// What the worker would answer to this order now.
    LookReport report_of(const Hands::Look& look)
    {
        LookReport report = report_at(world.now());
        const State& state = workers[look.worker];
        report.running = state.running;
        for (const EndedTask& end : state.ended) {
            if (end.number > look.order.seen_through)
                report.ended.push_back(end);
        }
        return report;
    }
    void answer(size_t index)
    {
        hands.looks[index].answered = true;
        const auto look = hands.looks[index];
        if (workers[look.worker].silent)
            look.done(OrderStatus::unknown, std::nullopt);
        else if (workers[look.worker].reborn)
            look.done(OrderStatus::reborn, std::nullopt);
        else
            look.done(OrderStatus::accepted, report_of(look));
    }
    /// Answers all looks that are open, then again after each `step`.
    void serve(Millis span, Millis step = Millis(50))
    {
        const Millis until = world.now() + span;
        while (world.now() < until) {
            for (size_t i = 0; i < hands.looks.size(); ++i) {
                if (!hands.looks[i].answered)
                    answer(i);
            }
            world.run_for(step);
        }
    }
    /// Starts that were ordered of the job's task.
    size_t starts_of(const TaskId& id) const
    {
        return size_t(
            std::count_if(hands.starts.begin(), hands.starts.end(),
                          [&](const auto& start) { return start.order.task == id; }));
    }
    /// A start is under way without an answer, with a waiting look before it and a look
    /// under a raised fence after it. The two looks are answered as of one millisecond of
    /// the worker's clock, the one after the end of the run first.
    void crossing_reports(EndKind kind, Millis apart = Millis(0))
    {
        serve(Millis(200));
        for (size_t i = 0; i < hands.looks.size(); ++i) {
            if (!hands.looks[i].answered)
                answer(i);
        }
        world.run_for(Millis(20));
        BOOST_REQUIRE(hands.starts.size() == 1);
        const size_t waiting = hands.looks.size() - 1;
        BOOST_REQUIRE(!hands.looks[waiting].answered);
        store.trouble.slow = 60;
        const int64_t run = hands.starts[0].order.run;
        hands.starts[0].done(OrderAnswer());
        const size_t raised = hands.looks.size() - 1;
        BOOST_REQUIRE(raised == waiting + 1);
        State& state = workers["w1"];
        state.running.push_back(running_task(task, run));
        const LookReport before = report_of(hands.looks[raised]);
        state.running.clear();
        state.ended.push_back(ended_task(1, task, run, kind));
        world.run_for(apart);
        answer(waiting);
        hands.looks[raised].answered = true;
        hands.looks[raised].done(OrderStatus::accepted, before);
        // The worker answers each look truly from now on; the store gets well.
        serve(Millis(400), Millis(10));
        store.trouble.slow = 1;
        serve(Millis(8000));
    }
};

} // namespace pathport::jobs
