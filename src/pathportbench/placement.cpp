// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "bench.h"

#include <pathport/placer.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

namespace bench {

using namespace pathport;

namespace {

constexpr int box_count = 480;
constexpr int accelerated_boxes = 178; ///< With 710 accelerators among them.
constexpr int running_tasks = 4000;
constexpr int decisions = 20000;
constexpr uint64_t seed = 20261202;

// A program of the kind that the two deployments want: it ranks, keeps batch work from
// crowding a box with services, and protects urgent work.
constexpr char program[] = R"(
function rank(t)
  if t.is_service then return 10000 + t.priority end
  return t.priority
end
function may_share(t, b)
  if t.is_service then return true end
  for _, o in ipairs(b.tasks) do
    if o.is_service and b.free.cpu_millis < b.capacity.cpu_millis / 8 then return false end
  end
  return true
end
function may_stop(v, t)
  return v.stoppable and not v.is_service and v.priority < t.priority
end
)";

using SteadyClock = std::chrono::steady_clock;

double micros_since(SteadyClock::time_point start)
{
    return std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count();
}

BoxInfo make_box(int index)
{
    BoxInfo info;
    info.id = "box-" + std::to_string(index);
    info.domain = "d" + std::to_string(index % 8);
    info.rack = "k" + std::to_string(index / 48);
    info.capacity = { 16000, 65536, index < accelerated_boxes ? 4 : 0 };
    return info;
}

// Each of 50 services and 200 jobs has a team and needs of its own, the same for all its
// tasks.
PolicyTask make_task(std::mt19937_64& choice, bool service)
{
    const uint64_t number = choice() % (service ? 50 : 200);
    std::mt19937_64 random(number + (service ? 1000 : 0));
    PolicyTask task;
    task.name = (service ? "service-" : "job-") + std::to_string(number);
    task.team = "team-" + std::to_string(random() % 74);
    task.is_service = service;
    task.priority = service ? 100 : 10;
    task.stoppable = !service;
    const auto cpu = static_cast<int64_t>(250 * (1 + random() % 8));
    const auto memory = static_cast<int64_t>(512 * (1 + random() % 12));
    task.resources = { cpu, memory, !service && random() % 10 == 0 ? 1 : 0 };
    return task;
}

struct Cell {
    Placer placer;
    std::vector<std::pair<std::string, std::string>> running; ///< Box and task id.
};

void fill(Cell& cell, std::mt19937_64& random)
{
    const DefaultPolicy policy;
    for (int i = 0; i < box_count; ++i)
        cell.placer.set_box(make_box(i), true);
    for (int i = 0; i < running_tasks; ++i) {
        PlaceRequest request;
        request.task = make_task(random, i % 5 == 0);
        Failure reason;
        const auto box = cell.placer.choose(request, policy, reason);
        if (!box)
            continue;
        const std::string id = "t" + std::to_string(i);
        cell.placer.allocate(*box, id, request.task);
        cell.running.emplace_back(*box, id);
    }
}

void measure_decisions(const char* name, const Policy& policy)
{
    std::mt19937_64 random(seed);
    Cell cell;
    fill(cell, random);
    std::vector<double> times;
    const auto start = SteadyClock::now();
    for (int i = 0; i < decisions; ++i) {
        // One task ends and another takes a place, so that the cell stays as full as it is.
        const size_t victim = random() % cell.running.size();
        cell.placer.free(cell.running[victim].first, cell.running[victim].second);
        PlaceRequest request;
        request.task = make_task(random, i % 5 == 0);
        Failure reason;
        const auto one = SteadyClock::now();
        const auto box = cell.placer.choose(request, policy, reason);
        times.push_back(micros_since(one));
        const std::string id = "n" + std::to_string(i);
        if (box && cell.placer.allocate(*box, id, request.task))
            cell.running[victim] = { *box, id };
        else
            cell.running[victim] = { "", "" };
    }
    const double total = micros_since(start);
    std::sort(times.begin(), times.end());
    std::printf(
        "placement %-8s %d boxes, %d tasks: %.0f decisions/s, p50 %.1f us, p99 %.1f us,"
        " p99.9 %.1f us\n",
        name, box_count, running_tasks, decisions / total * 1e6, percentile(times, 0.5),
        percentile(times, 0.99), percentile(times, 0.999));
}

// Places tasks until `boxes` are needed; returns how many boxes hold all of them.
template <typename Choose>
int boxes_needed(const std::vector<PolicyTask>& tasks, Choose choose)
{
    Placer placer;
    int used = 0;
    for (size_t i = 0; i < tasks.size(); ++i) {
        auto box = choose(placer, tasks[i]);
        if (!box) {
            BoxInfo info = make_box(box_count + used);
            info.id = "p" + std::to_string(1000 + used++);
            placer.set_box(info, true);
            box = info.id;
        }
        placer.allocate(*box, "t" + std::to_string(i), tasks[i]);
    }
    return used;
}

std::optional<std::string> first_fit(const Placer& placer, const PolicyTask& task)
{
    for (const auto& box : placer.boxes()) {
        if (task.resources.fits_in(box.second.free()))
            return box.first;
    }
    return std::nullopt;
}

void measure_packing()
{
    std::mt19937_64 random(seed);
    std::vector<PolicyTask> tasks;
    int64_t cpu = 0;
    int64_t memory = 0;
    for (int i = 0; i < running_tasks; ++i) {
        PolicyTask task = make_task(random, false);
        task.resources.accelerators = 0;
        // Memory-heavy and processor-heavy work, as in the two deployments.
        if (i % 2 == 0)
            task.resources.memory_mb *= 2;
        cpu += task.resources.cpu_millis;
        memory += task.resources.memory_mb;
        tasks.push_back(task);
    }
    const BoxInfo box = make_box(box_count);
    const auto bound = static_cast<int>(
        std::max((cpu + box.capacity.cpu_millis - 1) / box.capacity.cpu_millis,
                 (memory + box.capacity.memory_mb - 1) / box.capacity.memory_mb));
    const DefaultPolicy policy;
    const int ours = boxes_needed(tasks, [&](const Placer& placer, const PolicyTask& task) {
        PlaceRequest request;
        request.task = task;
        Failure reason;
        return placer.choose(request, policy, reason);
    });
    const int baseline = boxes_needed(tasks, first_fit);
    std::printf("packing: volume bound %d boxes, pathport %d (%.1f%% over), first fit %d "
                "(%.1f%% over)\n",
                bound, ours, 100.0 * (ours - bound) / bound, baseline,
                100.0 * (baseline - bound) / bound);
}

} // namespace

void run_placement()
{
    Failure reason;
    const auto policy = LuaPolicy::compile(program, reason);
    measure_decisions("built-in", DefaultPolicy());
    measure_decisions("program", *policy);
    std::printf("policy calls %lld, failures %lld\n",
                static_cast<long long>(policy->health().calls),
                static_cast<long long>(policy->health().failures));
    measure_packing();
}

} // namespace bench
