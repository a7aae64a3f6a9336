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

constexpr int virtual_seconds = 20;
constexpr Millis step { 10 };

/// A size of cell, and the jobs that come to it each second.
struct Load {
    int nodes = 0;
    int workers = 0;
    int quotes = 0; ///< Jobs of three short tasks.
    int batches = 0; ///< Jobs of 25 tasks.
    int gangs = 0; ///< Jobs of 20 tasks that run together.
};

StepModel facts_of(int count, int64_t run_ms, int64_t cpu_millis, bool gang)
{
    StepModel facts;
    facts.count = count;
    facts.run_ms = run_ms;
    facts.need = { cpu_millis, 1000, 0 };
    facts.gang = gang;
    facts.payload = "p";
    return facts;
}

jobs::JobSpec spec_of(const StepModel& facts)
{
    jobs::StepSpec entry;
    entry.count = facts.count;
    entry.need = facts.need;
    entry.gang = facts.gang;
    entry.expected_ms = facts.run_ms;
    jobs::JobSpec spec;
    spec.payload = facts.payload;
    spec.steps.push_back(entry);
    return spec;
}

void submit(Cell& cell, int& number, const StepModel& facts, bool advised)
{
    cell.submit("job" + std::to_string(number++), spec_of(facts), { facts }, advised);
}

void run_load(const Load& load)
{
    Cell cell(1, load.nodes, load.workers);
    cell.workers.default_advice_latency = Millis(20);
    cell.world.run_for(Millis(2000));
    const auto begun = std::chrono::steady_clock::now();
    int number = 0;
    for (int tick = 0; tick < virtual_seconds * 100; ++tick) {
        const auto due = [&](int per_second) {
            return (tick + 1) * per_second / 100 - tick * per_second / 100;
        };
        for (int i = 0; i < due(load.quotes); ++i)
            submit(cell, number, facts_of(3, 640, 1200, false), false);
        for (int i = 0; i < due(load.batches); ++i)
            submit(cell, number, facts_of(25, 2200, 900, false), true);
        for (int i = 0; i < due(load.gangs); ++i)
            submit(cell, number, facts_of(20, 4000, 2500, true), true);
        cell.world.run_for(step);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    const auto starts = double(cell.workers.starts());
    std::printf("%7d %8d %8d %10.0f %16.1f %16.3f\n", load.nodes, load.workers, number,
                starts / virtual_seconds, took.count() / starts * 1e6,
                took.count() / virtual_seconds);
}

} // namespace

void run_cell()
{
    start_log("bench", LogLevel::error);
    std::printf(
        "\nA whole cell in the emulator, %d s of virtual time. The time taken is that "
        "of\nall nodes, workers and the store; most of it is the leader's.\n",
        virtual_seconds);
    std::printf("%7s %8s %8s %10s %16s %16s\n", "nodes", "workers", "jobs", "starts/s",
                "us per start", "real/virtual");
    run_load({ 6, 48, 40, 2, 1 });
    run_load({ 32, 350, 125, 10, 3 });
    run_load({ 32, 350, 125, 18, 7 });
    run_load({ 147, 1100, 250, 28, 10 });
}

} // namespace bench
