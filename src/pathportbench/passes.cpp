// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "bench.h"

#include <pathport/emulator/cell.h>
#include <pathport/log.h>

#include <chrono>
#include <cstdio>

namespace bench {

using namespace pathport;
using emulator::Cell;
using emulator::StepModel;

namespace {

constexpr int nodes = 3;
/// Of a worker of the cell.
constexpr Resources whole_worker { 8000, 100, 0 };

/// What the waiting steps lack.
enum class Lack {
    room, ///< All workers are full, and the steps need no advice.
    answers, ///< The advisor takes minutes for an answer.
};

jobs::Configuration with_queue(jobs::Configuration configuration, bool advised)
{
    jobs::Queue queue;
    queue.name = "bench";
    queue.host = "cell";
    queue.path_prefix = "/bench/";
    queue.service = "pool";
    queue.slo_ms = 1000;
    if (advised)
        queue.advice = jobs::AdviceRule { 100000, 1, 2000 };
    configuration.queues.push_back(queue);
    ++configuration.version;
    return configuration;
}

void submit(Cell& cell, const std::string& id, int tasks, const Resources& need,
            const std::string& queue)
{
    StepModel model;
    model.count = tasks;
    model.run_ms = 10000000;
    model.need = need;
    model.payload = "p";
    jobs::StepSpec step;
    step.count = tasks;
    step.need = need;
    step.expected_ms = model.run_ms;
    jobs::JobSpec spec;
    spec.payload = model.payload;
    spec.steps.push_back(step);
    cell.submit_on(queue, id, spec, { model });
}

/// Returns the real time that the cell takes for a second, in ms.
double ms_per_second(Cell& cell)
{
    constexpr int seconds = 4;
    const auto begun = std::chrono::steady_clock::now();
    cell.world.run_for(Millis(int64_t(1000) * seconds));
    const std::chrono::duration<double, std::milli> took
        = std::chrono::steady_clock::now() - begun;
    return took.count() / seconds;
}

void fill(Cell& cell, int workers)
{
    constexpr int tasks_per_job = 50;
    for (int filled = 0; filled < workers; filled += tasks_per_job)
        submit(cell, "filling" + std::to_string(filled),
               std::min(tasks_per_job, workers - filled), whole_worker,
               cell.queue(false).name);
    cell.world.run_for(Millis(10000));
}

/// Prints what a second with this many waiting steps costs beyond one without them.
void run_passes(int workers, int steps, Lack lack)
{
    Cell cell(1, nodes, workers);
    cell.store.configure(with_queue(cell.store.configuration(), lack == Lack::answers));
    cell.world.run_for(Millis(4000));
    if (lack == Lack::room)
        fill(cell, workers);
    const double idle_ms = ms_per_second(cell);
    for (int i = 0; i < steps; ++i)
        submit(cell, "waiting" + std::to_string(i), 4, { 4000, 50, 0 }, "bench");
    cell.world.run_for(Millis(2000));
    const double examined_before = cell.counter("pathport_pass_workers_examined_total");
    const double tried_before = cell.counter("pathport_pass_steps_total");
    const double busy_ms = ms_per_second(cell);
    const double tried = cell.counter("pathport_pass_steps_total") - tried_before;
    const double examined
        = cell.counter("pathport_pass_workers_examined_total") - examined_before;
    std::printf("%8d %8d %10s %14.0f %14.1f %16.2f\n", workers, steps,
                lack == Lack::room ? "room" : "answers", tried,
                tried == 0 ? 0 : examined / tried,
                tried == 0 ? 0 : (busy_ms - idle_ms) * 4000 / tried);
}

} // namespace

void run_passes()
{
    start_log("bench", LogLevel::error);
    std::printf(
        "\nScheduling passes over waiting steps that lack room or the advisor's "
        "answers. The cost of a\nstep is the real time beyond that of the same cell "
        "without waiting steps.\n");
    std::printf("%8s %8s %10s %14s %14s %16s\n", "workers", "steps", "they lack",
                "steps tried", "workers/step", "us per step");
    for (const Lack lack : { Lack::room, Lack::answers }) {
        for (const int workers : { 350, 1100, 6000 }) {
            for (const int steps : { 30, 300, 3000 })
                run_passes(workers, steps, lack);
        }
    }
}

} // namespace bench
