// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "bench.h"

#include "scheduler.h"
#include "store_keys.h"

#include <pathport/emulator/cell.h>
#include <pathport/log.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace bench {

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// Workers that hold each poll for a while and run nothing.
class IdleWorkers : public WorkerClient {
public:
    explicit IdleWorkers(emulator::World& world)
        : m_world(world)
    {
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
    void poll(const WorkerInfo&, const PollRequest&, Millis,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        constexpr Millis answer_delay { 1000 };
        m_world.after(answer_delay, [this, done = std::move(done)] {
            PollReport report;
            report.clock_ms = m_world.now().count();
            done(OrderStatus::accepted, report);
        });
    }

private:
    emulator::World& m_world;
};

/// Peers that never reply.
class SilentPeers : public PeerClient {
public:
    void send(const std::string&, const PeerRequest&, Millis, PeerReply) override { }
};

/// What the waiting steps lack.
enum class Lack {
    room, ///< They need more than any worker has, and no advice.
    permission, ///< The advisor allows no worker.
};

/// A leader in virtual time.
class Leader {
public:
    explicit Leader(int workers)
    {
        std::vector<WorkerInfo> listed;
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.id = "w" + std::to_string(i);
            info.service = "s";
            info.capacity = { 16000, 64000, 0 };
            listed.push_back(info);
        }
        m_store.list_workers = [listed] { return listed; };
        StoreWrite write;
        write.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 0, "x", {} }) });
        const Claim claim { HeadValue { 1, 0, "x", {} }, m_store.write_now(write).version,
                            m_world.now(), m_world.now() };
        SchedulerContext context { m_loop,
                                   m_port,
                                   m_port,
                                   m_workers,
                                   m_advice,
                                   [] { return int64_t(0); },
                                   [] { return int64_t(0); },
                                   m_metrics,
                                   WorkerTimeouts(),
                                   1,
                                   0,
                                   Mechanisms(),
                                   &m_store_clock,
                                   {},
                                   {},
                                   {} };
        m_scheduler = std::make_unique<Scheduler>(context, claim, [] {});
        m_scheduler->begin();
        m_world.run_for(Millis(3000));
    }

    void submit(int steps, Lack lack)
    {
        constexpr int64_t version = 1000;
        for (int i = 0; i < steps; ++i) {
            AcceptedJob job;
            job.id = "job" + std::to_string(i);
            job.queue.service = "s";
            job.queue.max_failures = 5;
            StepSpec step;
            step.count = 4;
            step.need = { lack == Lack::room ? 17000 : 4000, 500, 0 };
            if (lack == Lack::permission)
                job.queue.advice = AdviceRule { 5, 1, 2000 };
            job.spec.steps.push_back(step);
            m_scheduler->job_announced(job, version + i);
        }
        m_world.run_for(Millis(2000));
    }

    /// Submits one job of 100 steps with this many tasks each, which fit no worker.
    void submit_wide(int tasks)
    {
        constexpr int steps = 100;
        AcceptedJob job;
        job.id = "wide";
        job.queue.service = "s";
        job.queue.max_failures = 5;
        StepSpec step;
        step.count = tasks;
        step.need = { 17000, 500, 0 };
        job.spec.steps.assign(steps, step);
        constexpr int64_t version = 1000;
        m_scheduler->job_announced(job, version);
        m_world.run_for(Millis(2000));
    }

    /// Returns the real time that `span` of virtual time takes, in microseconds.
    double run(Millis span)
    {
        const auto begun = std::chrono::steady_clock::now();
        m_world.run_for(span);
        const std::chrono::duration<double, std::micro> took
            = std::chrono::steady_clock::now() - begun;
        return took.count();
    }

    double counter(const char* name) const { return m_metrics.counter_value(name); }

private:
    emulator::World m_world { 3 };
    emulator::Store m_store { m_world };
    emulator::ProcessLoop m_loop { m_world };
    emulator::StorePort m_port { m_store, m_loop, "a" };
    emulator::Workers m_advisor_workers { m_world };
    emulator::WorkerPort m_advisor { m_advisor_workers, m_loop, "a" };
    SilentPeers m_peers;
    AdvicePool m_advice { m_loop, m_advisor, m_peers };
    Metrics m_metrics;
    StoreClock m_store_clock;
    IdleWorkers m_workers { m_world };
    std::unique_ptr<Scheduler> m_scheduler;
};

/// Prints what each attempt to place one of the waiting steps costs, as the time beyond
/// that of the same leader without them.
void run_passes(int workers, int steps, Lack lack)
{
    constexpr Millis span { 4000 };
    Leader leader(workers);
    const double idle_us = leader.run(span);
    leader.submit(steps, lack);
    const double tried_before = leader.counter("pathport_pass_steps_total");
    const double examined_before = leader.counter("pathport_pass_workers_examined_total");
    const double busy_us = leader.run(span);
    const double tried = leader.counter("pathport_pass_steps_total") - tried_before;
    const double examined
        = leader.counter("pathport_pass_workers_examined_total") - examined_before;
    const double tries = tried > 0 ? tried : 1;
    std::printf("%8d %8d %12s %14.0f %14.1f %14.2f\n", workers, steps,
                lack == Lack::room ? "room" : "permission", tried, examined / tries,
                (busy_us - idle_us) / tries);
}

/// Prints what a wide job that waits costs a leader in each second.
void run_wide_job(int tasks)
{
    constexpr Millis span { 4000 };
    constexpr double seconds = double(span.count()) / 1000;
    Leader leader(350);
    const double idle_us = leader.run(span);
    leader.submit_wide(tasks);
    const double tried_before = leader.counter("pathport_pass_steps_total");
    const double busy_us = leader.run(span);
    const double tried = leader.counter("pathport_pass_steps_total") - tried_before;
    std::printf("%14d %14.0f %14.1f\n", 100 * tasks, tried / seconds,
                (busy_us - idle_us) / seconds / 1000);
}

} // namespace

void run_passes()
{
    start_log("bench", LogLevel::error);
    std::printf("\nScheduling passes over waiting steps, 4 s of virtual time. The time is "
                "that beyond the\nsame leader without waiting steps.\n");
    std::printf("%8s %8s %12s %14s %14s %14s\n", "workers", "steps", "they lack",
                "steps tried", "workers/step", "us per step");
    for (const Lack lack : { Lack::room, Lack::permission }) {
        for (const int workers : { 350, 1100, 6000 }) {
            for (const int steps : { 30, 300, 3000 })
                run_passes(workers, steps, lack);
        }
    }
    std::printf(
        "\nOne job of 100 steps that fit none of 350 workers: passes and ticks, beyond "
        "those of the same\nleader without the job.\n");
    std::printf("%14s %14s %14s\n", "tasks", "steps tried/s", "ms/s");
    for (const int tasks : { 1, 100, 10000 })
        run_wide_job(tasks);
}

} // namespace bench
