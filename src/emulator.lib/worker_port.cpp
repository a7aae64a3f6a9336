// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/emulator/workers.h>
#include <pathport/ids.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::OrderAnswer;
using jobs::OrderStatus;

/// Interval at which a waiting poll checks for ended runs.
constexpr Millis poll_interval { 10 };
/// Workers that one query to the advisor may name.
constexpr size_t max_workers_in_advice = 100;

} // namespace

WorkerPort::WorkerPort(Workers& workers, ProcessLoop& loop, std::string node)
    : m_workers(workers)
    , m_loop(loop)
    , m_node(std::move(node))
{
}

void WorkerPort::deliver(Millis delay, std::function<void()> work)
{
    m_loop.world().after(delay,
                         [this, alive = m_loop.alive_flag(), work = std::move(work)] {
                             if (*alive)
                                 m_loop.deliver(work);
                         });
}

// Returns the status of a call that fails before it is executed.
std::optional<OrderStatus>
WorkerPort::immediate_status(const Workers::Incarnation& incarnation, bool is_start)
{
    if (!incarnation.up
        && (incarnation.restarting
            || (incarnation.crashed_by_task && !m_workers.address_taken(incarnation))))
        return incarnation.down_unresponsive ? OrderStatus::unknown : OrderStatus::refused;
    if (!incarnation.up && m_workers.injected.dead_are_unresponsive
        && !m_workers.address_taken(incarnation))
        return incarnation.listed ? OrderStatus::unknown : OrderStatus::unreachable;
    if (incarnation.up && m_workers.declines(incarnation, is_start))
        return OrderStatus::declined;
    if (is_start && m_workers.has_fault(incarnation, WorkerFault::refuses_starts))
        return OrderStatus::unreachable;
    if (is_start && m_workers.has_fault(incarnation, WorkerFault::drops_starts))
        return OrderStatus::unknown;
    return std::nullopt;
}

// Returns the status of a call over a partitioned link; nothing if it gets through.
std::optional<OrderStatus>
WorkerPort::partition_status(const Workers::Incarnation& incarnation)
{
    const Partition* const partition = m_workers.partition_of(incarnation, m_node);
    if (partition == nullptr)
        return std::nullopt;
    switch (partition->mode) {
    case PartitionMode::refuses:
        return OrderStatus::refused;
    case PartitionMode::refuses_new:
        if (m_loop.world().chance(0.5))
            return std::nullopt;
        return OrderStatus::refused;
    case PartitionMode::drops:
        break;
    }
    // Whether a call into a partition was executed is unknown to the caller.
    return OrderStatus::unknown;
}

bool WorkerPort::is_delayed()
{
    const double share = m_workers.injected.delayed_share;
    return share > 0 && m_loop.world().chance(share);
}

Millis WorkerPort::random_delay()
{
    return Millis(2000 + int64_t(m_loop.world().random_below(10000)));
}

// Delayed calls and their connections end with the worker's process: the next incarnation
// of the name executes only calls that were sent to it.
void WorkerPort::execute_delayed(const std::string& worker,
                                 std::function<OrderAnswer()> work)
{
    const Millis started_at = m_workers.find(worker)->started_at;
    m_loop.world().after(
        random_delay(), [&workers = m_workers, worker, started_at, work = std::move(work)] {
            if (workers.find(worker)->started_at != started_at)
                return;
            workers.m_executing_delayed = true;
            work();
            workers.m_executing_delayed = false;
        });
}

void WorkerPort::send_order(const std::string& worker, Millis timeout, bool is_start,
                            std::function<OrderAnswer()> work,
                            std::function<void(OrderAnswer)> done)
{
    World& world = m_loop.world();
    const auto* incarnation = m_workers.find(worker);
    const Millis transit(1 + int64_t(world.random_below(3)));
    if (m_connections[worker].drops_call(world.now(), Millis(0), timeout)) {
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    if (incarnation == nullptr) {
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    auto immediate = partition_status(*incarnation);
    if (!immediate)
        immediate = immediate_status(*incarnation, is_start);
    if (immediate) {
        deliver(*immediate == OrderStatus::unknown ? timeout : Millis(2),
                [done, status = *immediate] {
                    done(OrderAnswer { status, 0 });
                });
        return;
    }
    if (m_workers.has_fault(*incarnation, WorkerFault::answers_lost)) {
        world.after(transit, [work] { work(); });
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    if (is_delayed() || world.chance(m_workers.injected.unanswered_share)) {
        execute_delayed(worker, work);
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    world.after(transit, [this, alive = m_loop.alive_flag(), work, done, transit] {
        const OrderAnswer answer = work();
        if (*alive)
            deliver(transit, [done, answer] { done(answer); });
    });
}

void WorkerPort::start(const jobs::WorkerInfo& worker, const jobs::StartOrder& start,
                       Millis timeout, std::function<void(OrderAnswer)> done)
{
    Workers& workers = m_workers;
    const std::string name = jobs::WorkerIncarnation::parse(worker.id).name;
    send_order(
        name, timeout, true,
        [&workers, name, start] { return workers.start_now(name, start); }, done);
}

void WorkerPort::stop(const jobs::WorkerInfo& worker, const jobs::RunOrder& stop,
                      Millis timeout, std::function<void(OrderAnswer)> done)
{
    Workers& workers = m_workers;
    const std::string name = jobs::WorkerIncarnation::parse(worker.id).name;
    send_order(
        name, timeout, false,
        [&workers, name, stop] { return workers.stop_now(name, stop); }, done);
}

void WorkerPort::set_speed(const jobs::WorkerInfo&, const jobs::RunOrder&, Millis,
                           std::function<void(OrderAnswer)> done)
{
    deliver(Millis(2), [done] { done(OrderAnswer { OrderStatus::accepted, 0 }); });
}

void WorkerPort::poll(
    const jobs::WorkerInfo& worker, const jobs::PollRequest& order, Millis timeout,
    std::function<void(OrderStatus, std::optional<jobs::PollReport>)> done)
{
    const std::string name = jobs::WorkerIncarnation::parse(worker.id).name;
    const auto* incarnation = m_workers.find(name);
    jobs::PollRequest pending = order;
    // Acknowledgements are sent only over a connection to the incarnation that reported the
    // ends.
    const auto answered = m_last_polled_start.find(name);
    if (answered == m_last_polled_start.end())
        pending.acked_through = 0;
    const Millis bound_start = pending.acked_through > 0 ? answered->second : Millis(0);
    if (incarnation != nullptr && incarnation->up && bound_start > Millis(0)
        && bound_start != incarnation->started_at) {
        m_last_polled_start.erase(name);
        deliver(Millis(2), [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    PooledConnections& connections = m_connections[name];
    const Millis deadline = m_loop.world().now() + timeout;
    if (connections.drops_call(m_loop.world().now(), pending.wait, timeout)) {
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    if (incarnation == nullptr) {
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    auto immediate = partition_status(*incarnation);
    if (!immediate)
        immediate = immediate_status(*incarnation, false);
    if (immediate) {
        deliver(*immediate == OrderStatus::unknown ? timeout : Millis(2),
                [done, status = *immediate] { done(status, std::nullopt); });
        return;
    }
    const bool lost = m_workers.has_fault(*incarnation, WorkerFault::answers_lost);
    if (lost || is_delayed()) {
        m_loop.world().after(
            lost ? Millis(1) : random_delay(),
            [&workers = m_workers, name, pending, started_at = incarnation->started_at] {
                if (workers.find(name)->started_at != started_at)
                    return;
                jobs::PollReport unread;
                workers.poll_now(name, pending, unread);
            });
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    m_loop.world().after(
        Millis(1),
        [this, alive = m_loop.alive_flag(), name, id = worker.id, pending, done, deadline,
         bound_start, generation = connections.generation()] {
            jobs::PollReport report;
            OrderStatus status = OrderStatus::unknown;
            if (bound_start == Millis(0) || m_workers.find(name)->started_at == bound_start)
                status = m_workers.poll_now(name, pending, report);
            if (!*alive)
                return;
            if (status == OrderStatus::accepted && pending.wait > Millis(0)
                && report.ended.empty()) {
                wait_for_end({ id, name, m_workers.find(name)->started_at, pending,
                               m_loop.world().now() + pending.wait, generation, deadline,
                               done });
                return;
            }
            if (status == OrderStatus::accepted
                && !Workers::matches_id(id, *m_workers.find(name)))
                status = OrderStatus::replaced;
            if (status == OrderStatus::accepted)
                m_last_polled_start[name] = m_workers.find(name)->started_at;
            deliver(Millis(1), [done, status, report] {
                done(status,
                     status == OrderStatus::accepted
                         ? std::optional<jobs::PollReport>(report)
                         : std::nullopt);
            });
        });
}

void WorkerPort::wait_for_end(const WaitingPoll& pending)
{
    m_loop.world().after(poll_interval, [this, alive = m_loop.alive_flag(), pending] {
        if (!*alive)
            return;
        const Millis now = m_loop.world().now();
        const PollReply& done = pending.done;
        if (pending.connections != m_connections[pending.name].generation()) {
            deliver(std::max(Millis(1), pending.deadline - now),
                    [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        const auto* target = m_workers.find(pending.name);
        if (target != nullptr
            && (target->restarting || target->crashed_by_task
                || target->started_at != pending.started_at)) {
            const bool hangs = !target->up && target->down_unresponsive;
            deliver(hangs ? std::max(Millis(1), pending.deadline - now) : Millis(1),
                    [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        const Partition* const partition
            = target == nullptr ? nullptr : m_workers.partition_of(*target, m_node);
        const bool reset
            = partition != nullptr && partition->mode == PartitionMode::refuses;
        const bool held = partition != nullptr && partition->mode == PartitionMode::drops;
        if (target == nullptr || !target->up || reset || held) {
            deliver(reset ? Millis(1) : Millis(500),
                    [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        if (target->ended.empty() && now < pending.until) {
            wait_for_end(pending);
            return;
        }
        // The reply shows the present state, even if the fence has been raised since.
        jobs::PollRequest present = pending.order;
        present.fence = target->fence;
        present.lease_until = 0;
        jobs::PollReport report;
        m_workers.poll_now(pending.name, present, report);
        if (!Workers::matches_id(pending.worker, *target)) {
            deliver(Millis(1), [done] { done(OrderStatus::replaced, std::nullopt); });
            return;
        }
        m_last_polled_start[pending.name] = target->started_at;
        deliver(Millis(1), [done, report] { done(OrderStatus::accepted, report); });
    });
}

void WorkerPort::blackhole_connections(int kept)
{
    for (auto& [worker, connections] : m_connections)
        connections.blackhole(kept);
    m_advisor_connections.blackhole(kept);
}

// A hash decides which workers may run a step, so the answer never changes.
void WorkerPort::ask(
    const std::string& step, const std::vector<std::string>& workers, Millis timeout,
    std::function<void(std::optional<std::vector<jobs::WorkerTicket>>)> done)
{
    if (m_advisor_connections.drops_call(m_loop.world().now(), timeout, timeout)) {
        deliver(timeout, [done] { done(std::nullopt); });
        return;
    }
    if (workers.size() > max_workers_in_advice)
        m_workers.note_violation("advice: " + std::to_string(workers.size())
                                 + " workers named for " + step);
    std::vector<jobs::WorkerTicket> tickets;
    ++m_workers.m_advice_requests;
    const Millis now = m_loop.world().now();
    m_advisor_free_at = std::max(now, m_advisor_free_at) + m_workers.advice_latency(step)
        + Millis(int64_t(workers.size()));
    const Millis until = m_advisor_free_at + m_workers.injected.ticket_validity;
    for (const std::string& worker : workers) {
        const std::string name = jobs::WorkerIncarnation::parse(worker).name;
        const auto* incarnation = m_workers.find(name);
        if (incarnation != nullptr && m_workers.is_allowed(step, name))
            tickets.push_back({ worker, Workers::ticket_for(*incarnation, until) });
    }
    deliver(m_advisor_free_at - now, [done, tickets] { done(tickets); });
}

} // namespace pathport::emulator
