// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Waiting time and the share served in time, in virtual time: nine nodes with their
/// routers and dispatchers over fake targets, against two baselines over the same targets.
/// Loads that nodes tell each other are as old as heartbeats make them.

#include "bench.h"

#include <pathport/dispatcher.h>
#include <pathport/router.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <queue>
#include <random>

namespace bench {

using namespace pathport;

namespace {

// One tick of the clock stands for a tenth of a millisecond.
constexpr int64_t ticks_per_ms = 10;
constexpr int node_count = 9;
constexpr int box_count = 50;
constexpr int64_t slots = 8;
constexpr int64_t mean_service = 20 * ticks_per_ms;
constexpr int64_t window = 200 * ticks_per_ms;
constexpr int64_t beat = 500 * ticks_per_ms;
constexpr int64_t run_length = 20000 * ticks_per_ms;
constexpr uint64_t seed = 20261202;
constexpr char service[] = "settlement";

// Events in the order of their time.
class Events {
public:
    void at(int64_t time, std::function<void()> work)
    {
        m_queue.push(
            { time, m_next++, std::make_shared<std::function<void()>>(std::move(work)) });
    }

    void run(ManualClock& clock, int64_t end)
    {
        const int64_t start = clock.now().count();
        while (!m_queue.empty() && m_queue.top().time <= end) {
            const Event event = m_queue.top();
            m_queue.pop();
            clock.advance(Millis(start + event.time - clock.now().count()));
            (*event.work)();
        }
    }

private:
    struct Event {
        int64_t time;
        int64_t order;
        std::shared_ptr<std::function<void()>> work;
        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    std::priority_queue<Event> m_queue;
    int64_t m_next = 0;
};

int64_t draw_service(std::mt19937_64& random)
{
    std::uniform_int_distribution<int64_t> spread(mean_service / 2, mean_service * 3 / 2);
    return spread(random);
}

struct Figures {
    std::vector<double> waits; ///< In milliseconds, of requests served in time.
    int64_t offered = 0;
    int64_t in_time = 0;
    int64_t refused = 0;
};

// Arrivals at a share of the capacity, at one node after another.
void arrive(Events& events, std::mt19937_64& random, double load,
            const std::function<void(int64_t, int)>& take)
{
    const double per_tick = load * box_count * static_cast<double>(slots) / mean_service;
    std::exponential_distribution<double> gap(per_tick);
    double time = 1;
    int node = 0;
    while (time < run_length) {
        const auto at = static_cast<int64_t>(time);
        const int to = node++ % node_count;
        events.at(at, [&take, at, to] { take(at, to); });
        time += gap(random);
    }
}

class Targets : public TargetClient {
public:
    Targets(Events& events, const ManualClock& clock, int64_t start)
        : m_events(events)
        , m_clock(clock)
        , m_start(start)
        , m_random(seed + 1)
    {
    }

    void send(const BoxInfo& /*box*/, int64_t /*epoch*/, const ForwardRequest& request,
              std::function<void(ForwardAnswer)> done) override
    {
        const int64_t took = draw_service(m_random);
        const std::string id = request.request_id;
        m_events.at(m_clock.now().count() - m_start + took, [done = std::move(done), took] {
            ForwardAnswer answer;
            answer.outcome = RequestOutcome::answered;
            answer.status = static_cast<int>(took);
            done(answer);
        });
    }

private:
    Events& m_events;
    const ManualClock& m_clock;
    int64_t m_start;
    std::mt19937_64 m_random;
};

class Quiet : public DispatchListener {
public:
    void on_target_trouble(const std::string& /*box*/) override { }
};

struct World;

class Node : public RouteView, public RequestSink {
public:
    Node(World& world, int index);

    std::vector<Route> routes(const std::string& name) const override;
    std::optional<AdmissionOwner> admission_owner(int /*range*/) const override
    {
        return std::nullopt;
    }
    void dispatch_here(const ForwardRequest& request,
                       std::function<void(ForwardAnswer)> done) override
    {
        dispatcher->submit(request, done);
    }
    AdmissionVerdict admit_here(const ForwardRequest& /*request*/) override
    {
        return AdmissionVerdict::admitted;
    }
    void release_here(const ForwardRequest& /*request*/) override { }
    void forward(const std::string& address, const ForwardRequest& request,
                 std::function<void(ForwardAnswer)> done) override;

    World& world;
    int index;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<Router> router;
    Route told; ///< What the others know of this node.
};

struct World {
    Events events;
    ManualClock clock;
    int64_t start = clock.now().count();
    Targets targets { events, clock, start };
    Quiet quiet;
    std::vector<std::unique_ptr<Node>> nodes;
};

Node::Node(World& w, int i)
    : world(w)
    , index(i)
    , dispatcher(
          std::make_unique<Dispatcher>(w.clock, w.targets, w.quiet, DispatchLimits()))
    , router(
          std::make_unique<Router>(w.clock, *this, *this, seed + static_cast<uint64_t>(i)))
{
}

std::vector<Route> Node::routes(const std::string& /*name*/) const
{
    std::vector<Route> routes;
    for (const auto& node : world.nodes) {
        Route route = node->told;
        if (node->index == index) {
            const ServiceLoad load = dispatcher->load(service);
            route.address.clear();
            route.load = load.busy + load.queued;
        }
        routes.push_back(route);
    }
    return routes;
}

void Node::forward(const std::string& address, const ForwardRequest& request,
                   std::function<void(ForwardAnswer)> done)
{
    world.nodes[static_cast<size_t>(std::stoi(address))]->dispatcher->submit(request, done);
}

void tell(World& world, int64_t report)
{
    for (const auto& node : world.nodes) {
        const ServiceLoad load = node->dispatcher->load(service);
        node->told.node = std::to_string(node->index);
        node->told.address = node->told.node;
        node->told.same_region = true;
        node->told.slots = load.slots;
        node->told.load = load.busy + load.queued;
        node->told.report = report;
    }
}

Figures run_pathport(double load)
{
    World world;
    std::vector<std::vector<Target>> owned(node_count);
    for (int i = 0; i < box_count; ++i) {
        Target target;
        target.box.id = "box-" + std::to_string(i);
        target.box.incarnation = "1";
        target.box.slots = slots;
        target.services = { { service, 1 } };
        owned[static_cast<size_t>(i % node_count)].push_back(target);
    }
    for (int i = 0; i < node_count; ++i) {
        world.nodes.push_back(std::make_unique<Node>(world, i));
        world.nodes.back()->dispatcher->set_targets(owned[static_cast<size_t>(i)]);
    }
    tell(world, 0);
    for (int64_t t = beat; t < run_length; t += beat)
        world.events.at(t, [&world, t] { tell(world, t); });
    for (int64_t t = 0; t < run_length; t += 10 * ticks_per_ms) {
        world.events.at(t, [&world] {
            for (const auto& node : world.nodes)
                node->dispatcher->expire();
        });
    }
    Figures figures;
    std::mt19937_64 random(seed);
    const std::function<void(int64_t, int)> take = [&](int64_t at, int to) {
        ++figures.offered;
        ForwardRequest request;
        request.service = service;
        request.repeatable = true;
        request.time_left = Millis(window);
        world.nodes[static_cast<size_t>(to)]->router->route(
            request, [&, at](const ForwardAnswer& answer) {
                const int64_t took = world.clock.now().count() - world.start - at;
                if (answer.outcome != RequestOutcome::answered) {
                    ++figures.refused;
                } else if (took <= window) {
                    ++figures.in_time;
                    figures.waits.push_back(double(took - answer.status) / ticks_per_ms);
                }
            });
    };
    arrive(world.events, random, load, take);
    world.events.run(world.clock, run_length + window);
    return figures;
}

// Baselines: each target has a queue of its own without a limit, and nobody is refused.
Figures run_baseline(double load, bool round_robin)
{
    Events events;
    ManualClock clock;
    const int64_t start = clock.now().count();
    std::vector<std::vector<int64_t>> free_at(box_count, std::vector<int64_t>(slots, 0));
    Figures figures;
    std::mt19937_64 random(seed);
    std::mt19937_64 services(seed + 1);
    std::mt19937_64 choices(seed + 2);
    size_t turn = 0;
    const std::function<void(int64_t, int)> take = [&](int64_t at, int /*to*/) {
        ++figures.offered;
        const size_t box = round_robin ? turn++ % box_count : choices() % box_count;
        auto slot = std::min_element(free_at[box].begin(), free_at[box].end());
        const int64_t begin = std::max(at, *slot);
        const int64_t took = draw_service(services);
        *slot = begin + took;
        if (begin + took - at > window)
            return;
        ++figures.in_time;
        figures.waits.push_back(double(begin - at) / ticks_per_ms);
    };
    arrive(events, random, load, take);
    events.run(clock, start + run_length + window);
    return figures;
}

void print(const char* name, double load, Figures figures)
{
    std::sort(figures.waits.begin(), figures.waits.end());
    const double capacity = box_count * double(slots) / mean_service * double(run_length);
    std::printf(
        "  %-24s served in time %5.1f%% of offered, %5.1f%% of capacity; waiting p50 "
        "%.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
        name, 100.0 * double(figures.in_time) / double(figures.offered),
        100.0 * double(figures.in_time) / capacity, percentile(figures.waits, 0.5),
        percentile(figures.waits, 0.99), percentile(figures.waits, 0.999));
    (void)load;
}

} // namespace

void run_requests()
{
    std::printf(
        "requests: %d nodes, %d boxes of %lld slots, service 20 ms, window 200 ms\n",
        node_count, box_count, static_cast<long long>(slots));
    for (const double load : { 0.5, 0.9, 1.0, 3.0 }) {
        std::printf(" load %.0f%%\n", load * 100);
        print("pathport", load, run_pathport(load));
        print("random choice", load, run_baseline(load, false));
        print("round robin, no limit", load, run_baseline(load, true));
    }
}

} // namespace bench
