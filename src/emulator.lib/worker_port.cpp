// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/emulator/workers.h>
#include <pathport/ids.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::OrderAnswer;
using jobs::OrderStatus;

/// How often a waiting look sees whether a run has ended.
constexpr Millis look_interval { 10 };

} // namespace

WorkerPort::WorkerPort(Workers& workers, ProcessLoop& loop, std::string node)
    : m_workers(workers)
    , m_loop(loop)
    , m_node(std::move(node))
{
}

void WorkerPort::deliver(Millis delay, std::function<void()> work)
{
    m_loop.world().after(delay, [this, life = m_loop.life(), work = std::move(work)] {
        if (*life)
            m_loop.deliver(work);
    });
}

// What becomes of a call before it is carried out, if it isn't.
std::optional<OrderStatus> WorkerPort::early_status(const Workers::Life& life,
                                                    bool is_start)
{
    if (!life.up && (life.returns || (life.fallen && !m_workers.address_taken(life))))
        return life.down_silent ? OrderStatus::unknown : OrderStatus::refused;
    if (!life.up && m_workers.injected.dead_are_unresponsive
        && !m_workers.address_taken(life))
        return life.listed ? OrderStatus::unknown : OrderStatus::unreachable;
    if (life.up && m_workers.declines(life, is_start))
        return OrderStatus::declined;
    if (is_start && m_workers.has(life, WorkerFault::refuses_starts))
        return OrderStatus::unreachable;
    if (is_start && m_workers.has(life, WorkerFault::drops_starts))
        return OrderStatus::unknown;
    return std::nullopt;
}

bool WorkerPort::carried_out_late()
{
    const double share = m_workers.injected.delayed_share;
    return share > 0 && m_loop.world().chance(share);
}

Millis WorkerPort::lateness()
{
    return Millis(2000 + int64_t(m_loop.world().random_below(10000)));
}

// What a worker holds back ends with its process, and so do the connections that brought
// it: the next life of its name carries out only what was sent while it was up.
void WorkerPort::carry_out_late(const std::string& worker,
                                std::function<OrderAnswer()> work)
{
    const Millis born = m_workers.find(worker)->born;
    m_loop.world().after(lateness(),
                         [&workers = m_workers, worker, born, work = std::move(work)] {
                             if (workers.find(worker)->born != born)
                                 return;
                             workers.m_carries_out_late = true;
                             work();
                             workers.m_carries_out_late = false;
                         });
}

void WorkerPort::order(const std::string& worker, Millis timeout, bool is_start,
                       std::function<OrderAnswer()> work,
                       std::function<void(OrderAnswer)> done)
{
    World& world = m_loop.world();
    const auto* life = m_workers.find(worker);
    const Millis way(1 + int64_t(world.random_below(3)));
    if (m_connections[worker].drops_call(world.now(), Millis(0), timeout)) {
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    if (life == nullptr || !m_workers.reachable(*life, m_node)) {
        // What is on its way through a cut may arrive or not.
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    const auto early = early_status(*life, is_start);
    if (early) {
        deliver(*early == OrderStatus::unknown ? timeout : Millis(2),
                [done, status = *early] {
                    done(OrderAnswer { status, 0 });
                });
        return;
    }
    if (m_workers.has(*life, WorkerFault::answers_lost)) {
        world.after(way, [work] { work(); });
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    if (carried_out_late() || world.chance(m_workers.injected.unanswered_share)) {
        carry_out_late(worker, work);
        deliver(timeout, [done] { done(OrderAnswer()); });
        return;
    }
    world.after(way, [this, life = m_loop.life(), work, done, way] {
        const OrderAnswer answer = work();
        if (*life)
            deliver(way, [done, answer] { done(answer); });
    });
}

void WorkerPort::start(const jobs::WorkerInfo& worker, const jobs::StartOrder& start,
                       Millis timeout, std::function<void(OrderAnswer)> done)
{
    Workers& workers = m_workers;
    const std::string name = jobs::WorkerIncarnation::parse(worker.id).name;
    order(
        name, timeout, true,
        [&workers, name, start] { return workers.start_now(name, start); }, done);
}

void WorkerPort::stop(const jobs::WorkerInfo& worker, const jobs::RunOrder& stop,
                      Millis timeout, std::function<void(OrderAnswer)> done)
{
    Workers& workers = m_workers;
    const std::string name = jobs::WorkerIncarnation::parse(worker.id).name;
    order(
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
    const auto* life = m_workers.find(name);
    jobs::PollRequest look = order;
    // Which ends were seen goes only over a connection to the life that listed them.
    const auto answered = m_answered.find(name);
    if (answered == m_answered.end())
        look.acked_through = 0;
    const Millis bound_to = look.acked_through > 0 ? answered->second : Millis(0);
    if (life != nullptr && life->up && bound_to > Millis(0) && bound_to != life->born) {
        m_answered.erase(name);
        deliver(Millis(2), [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    PooledConnections& connections = m_connections[name];
    const Millis gives_up = m_loop.world().now() + timeout;
    if (connections.drops_call(m_loop.world().now(), look.wait, timeout)) {
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    if (life == nullptr || !m_workers.reachable(*life, m_node)) {
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    const auto early = early_status(*life, false);
    if (early) {
        deliver(*early == OrderStatus::unknown ? timeout : Millis(2),
                [done, status = *early] { done(status, std::nullopt); });
        return;
    }
    const bool lost = m_workers.has(*life, WorkerFault::answers_lost);
    if (lost || carried_out_late()) {
        m_loop.world().after(lost ? Millis(1) : lateness(),
                             [&workers = m_workers, name, look, born = life->born] {
                                 if (workers.find(name)->born != born)
                                     return;
                                 jobs::PollReport unread;
                                 workers.look_now(name, look, unread);
                             });
        deliver(timeout, [done] { done(OrderStatus::unknown, std::nullopt); });
        return;
    }
    m_loop.world().after(Millis(1),
                         [this, life = m_loop.life(), name, id = worker.id, look, done,
                          gives_up, bound_to, generation = connections.generation()] {
                             jobs::PollReport report;
                             OrderStatus status = OrderStatus::unknown;
                             if (bound_to == Millis(0)
                                 || m_workers.find(name)->born == bound_to)
                                 status = m_workers.look_now(name, look, report);
                             if (!*life)
                                 return;
                             if (status == OrderStatus::accepted && look.wait > Millis(0)
                                 && report.ended.empty()) {
                                 wait_for_end({ id, name, m_workers.find(name)->born, look,
                                                m_loop.world().now() + look.wait,
                                                generation, gives_up, done });
                                 return;
                             }
                             if (status == OrderStatus::accepted
                                 && !Workers::is_meant(id, *m_workers.find(name)))
                                 status = OrderStatus::replaced;
                             if (status == OrderStatus::accepted)
                                 m_answered[name] = m_workers.find(name)->born;
                             deliver(Millis(1), [done, status, report] {
                                 done(status,
                                      status == OrderStatus::accepted
                                          ? std::optional<jobs::PollReport>(report)
                                          : std::nullopt);
                             });
                         });
}

void WorkerPort::wait_for_end(const WaitingLook& look)
{
    m_loop.world().after(look_interval, [this, life = m_loop.life(), look] {
        if (!*life)
            return;
        const Millis now = m_loop.world().now();
        const LookReply& done = look.done;
        if (look.connections != m_connections[look.name].generation()) {
            deliver(std::max(Millis(1), look.gives_up - now),
                    [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        const auto* target = m_workers.find(look.name);
        if (target != nullptr
            && (target->returns || target->fallen || target->born != look.born)) {
            const bool hangs = !target->up && target->down_silent;
            deliver(hangs ? std::max(Millis(1), look.gives_up - now) : Millis(1),
                    [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        if (target == nullptr || !target->up || !m_workers.reachable(*target, m_node)) {
            deliver(Millis(500), [done] { done(OrderStatus::unknown, std::nullopt); });
            return;
        }
        if (target->ended.empty() && now < look.until) {
            wait_for_end(look);
            return;
        }
        // The waiting look shows what is there now, whoever has raised the fence since.
        jobs::PollRequest present = look.order;
        present.fence = target->fence;
        present.lease_until = 0;
        jobs::PollReport report;
        m_workers.look_now(look.name, present, report);
        if (!Workers::is_meant(look.worker, *target)) {
            deliver(Millis(1), [done] { done(OrderStatus::replaced, std::nullopt); });
            return;
        }
        m_answered[look.name] = target->born;
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
    std::vector<jobs::WorkerTicket> tickets;
    ++m_workers.m_questions;
    const Millis now = m_loop.world().now();
    m_advisor_free = std::max(now, m_advisor_free) + m_workers.advice_latency(step)
        + Millis(int64_t(workers.size()));
    const Millis until = m_advisor_free + m_workers.injected.ticket_validity;
    for (const std::string& worker : workers) {
        const std::string name = jobs::WorkerIncarnation::parse(worker).name;
        const auto* life = m_workers.find(name);
        if (life != nullptr && m_workers.is_allowed(step, name))
            tickets.push_back({ worker, Workers::ticket_for(*life, until) });
    }
    deliver(m_advisor_free - now, [done, tickets] { done(tickets); });
}

} // namespace pathport::emulator
