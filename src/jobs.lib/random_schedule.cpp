// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "random_schedule.h"

#include "cell_fixture.h"
#include "schedule_style.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>

namespace pathport::cell_tests {

namespace {

/// Returns the mask of fault kinds to inject; PATHPORT_TROUBLES sets it.
uint64_t fault_mask()
{
    const char* const text = std::getenv("PATHPORT_TROUBLES");
    return text == nullptr ? ~uint64_t(0) : std::strtoull(text, nullptr, 0);
}

/// Time within which a drained failure domain gets no more tasks.
constexpr Millis domain_drain_time { 3000 };

/// Returns workspaces of different weights and bounds; some are unbounded.
std::vector<emulator::WorkspaceSetup> first_workspaces()
{
    constexpr int count = 6;
    std::vector<emulator::WorkspaceSetup> all;
    for (int i = 0; i < count; ++i) {
        emulator::WorkspaceSetup setup;
        setup.workspace.name = "team" + std::to_string(i);
        setup.workspace.weight = i == 0 ? 6 : 1;
        if (i % 3 != 0)
            setup.workspace.bound = { 4000 + 3000 * i, i % 2 == 0 ? 20000 : 0, 0 };
        setup.keys = { setup.workspace.name + "-key0", setup.workspace.name + "-key1" };
        all.push_back(setup);
    }
    return all;
}

/// Runs a cell under a random schedule.
class Schedule {
public:
    Schedule(uint64_t seed, const Style& style)
        : m_style(style)
        , m_cell(seed, 4, style.workers, {}, style.link_bytes_per_s,
                 style.drain_chance > 0 ? domain_drain_time : Millis(0))
    {
        add_queues(m_cell);
        m_cell.workers.allowed_tenths = style.allowed_tenths;
        m_cell.workers.give_up_after_two_losses = style.many_losses;
        m_cell.workers.on_crash
            = [this](Millis pause) { m_cell.note_disturbance(pause, m_style.settles_in); };
    }

    std::vector<std::string> run();

private:
    int64_t draw(int64_t bound)
    {
        return int64_t(m_cell.world.random_below(uint64_t(bound)));
    }
    bool chance(double share) { return m_cell.world.chance(share); }
    std::string random_node();
    std::string random_worker();
    void submit_random();
    void cancel_soon(const std::string& id);
    void inject_random_fault();
    void blackhole_open_connections();
    void configure();
    void restart_workers();
    void make_crashing(std::vector<StepModel>& steps);
    void resize_workers();
    void suspend_node();
    void change_workspace();
    std::string random_key();
    void access_foreign_job();
    void lift_bounds();
    void change_drain();
    void refuse_connections();
    void withdraw_drains();
    void inject_node_fault(int64_t kind, Millis span);
    void inject_store_fault(int64_t kind, Millis span);
    void inject_worker_fault(int64_t kind, Millis span);
    void unlist_workers(Millis span);
    void kill_all();

    Style m_style;
    Cell m_cell;
    int m_jobs = 0;
    int m_keys = 0; ///< Number of keys added so far.
    std::vector<std::string> m_removed_keys;
    std::set<std::string> m_drained_domains;
};

std::string Schedule::random_node()
{
    const auto names = m_cell.node_names();
    const std::string leader = m_cell.leader();
    return !leader.empty() && chance(0.5) ? leader
                                          : names[size_t(draw(int64_t(names.size())))];
}

std::string Schedule::random_worker()
{
    const auto ids = m_cell.workers.ids();
    return ids[size_t(draw(int64_t(ids.size())))];
}

void Schedule::submit_random()
{
    std::vector<StepModel> steps;
    const auto count = 1 + draw(3);
    const bool advised = chance(0.5);
    for (int64_t i = 0; i < count; ++i) {
        StepModel model
            = one_core_step(1 + int(draw(chance(0.2) ? 18 : 6)), 100 + draw(2500));
        model.gang = chance(0.2);
        if (model.gang)
            model.count = std::min(model.count, advised ? 3 : 5);
        model.need.cpu_millis = 400 + draw(1800);
        model.failing_runs = chance(0.25) ? 1 + int(draw(3)) : 0;
        model.saves_progress = chance(0.3);
        model.max_per_worker = !model.gang && chance(0.2) ? 2 : 0;
        if (i > 0 && chance(0.7))
            model.after = { int(i) - 1 };
        steps.push_back(model);
    }
    const std::string id = "job" + std::to_string(m_jobs++);
    if (chance(0.02)) {
        steps.resize(1);
        steps[0].gang = false;
        steps[0].lasting = true;
        steps[0].count = 2;
        steps[0].max_per_worker = 0;
    }
    if (m_style.crashing_share > 0 && chance(m_style.crashing_share))
        make_crashing(steps);
    submit(m_cell, (advised ? "a" : "q") + std::to_string(draw(3)), id, steps,
           random_key());
    if (m_style.canceled_share > 0 && chance(m_style.canceled_share))
        cancel_soon(id);
}

void Schedule::cancel_soon(const std::string& id)
{
    const Millis after(5 + draw(chance(0.5) ? 300 : 3000));
    m_cell.world.after(after, [this, id] { m_cell.cancel(id); });
}

void Schedule::kill_all()
{
    for (const std::string& node : m_cell.node_names())
        m_cell.kill(node, Millis(300 + draw(1500)));
}

void Schedule::unlist_workers(Millis span)
{
    const double share = chance(0.5) ? 1 : 0.4;
    for (const std::string& id : m_cell.workers.ids()) {
        if (chance(share))
            m_cell.workers.inject_fault(id, WorkerFault::unlisted,
                                        span + Millis(1000 + draw(2000)));
    }
}

void Schedule::inject_node_fault(int64_t kind, Millis span)
{
    switch (kind) {
    case 0:
    case 1:
        m_cell.kill(random_node(), Millis(200 + draw(3000)));
        break;
    case 2:
        m_cell.freeze(random_node(), span);
        break;
    case 3:
        m_cell.partition_from_peers(random_node(), span);
        break;
    case 4:
        m_cell.stop(random_node(), Millis(500));
        break;
    default:
        kill_all();
        break;
    }
}

void Schedule::inject_store_fault(int64_t kind, Millis span)
{
    emulator::Store& store = m_cell.store;
    m_cell.note_contact_loss(span);
    if (kind < 4 && chance(0.5))
        unlist_workers(span);
    switch (kind) {
    case 0:
        store.injected.refuse_calls = true;
        m_cell.world.after(span, [&store] { store.injected.refuse_calls = false; });
        break;
    case 1:
        store.injected.unresponsive = true;
        m_cell.world.after(span, [&store] { store.injected.unresponsive = false; });
        break;
    case 2:
        store.injected.latency_factor = chance(0.5) ? 100 : 30;
        m_cell.world.after(span, [&store] { store.injected.latency_factor = 1; });
        break;
    case 3:
        store.injected.lost_write_replies = 0.35;
        store.injected.lost_read_replies = m_style.config_change_chance > 0 ? 0.35 : 0;
        store.injected.delay_lost_writes = chance(0.5);
        m_cell.world.after(span, [&store] {
            store.injected.lost_write_replies = store.injected.lost_read_replies = 0;
        });
        break;
    case 4: {
        const std::string node = random_node();
        auto& nodes
            = chance(0.5) ? store.injected.refused_nodes : store.injected.partitioned_nodes;
        nodes.insert(node);
        m_cell.world.after(span, [&nodes, node] { nodes.erase(node); });
        break;
    }
    case 5:
        unlist_workers(Millis(0));
        break;
    default:
        store.compact();
        break;
    }
}

void Schedule::inject_worker_fault(int64_t kind, Millis span)
{
    emulator::Workers& workers = m_cell.workers;
    const std::string id = random_worker();
    switch (kind) {
    case 0:
        workers.crash(id, span);
        break;
    case 1:
        workers.partition(id, span);
        break;
    case 2:
        workers.partition(id, span, random_node());
        break;
    case 3:
        workers.injected.unanswered_share = 0.2;
        m_cell.world.after(span, [&workers] { workers.injected.unanswered_share = 0; });
        break;
    case 4:
        workers.injected.delayed_share = m_style.late_share;
        m_cell.world.after(span, [&workers] { workers.injected.delayed_share = 0; });
        break;
    case 5:
        workers.stop_unannounced(id, span);
        workers.add("pool", { 8000, 16000, 0 });
        break;
    case 6:
        workers.drain(id, span);
        workers.add("pool", { 8000, 16000, 0 });
        break;
    default:
        // Faults of single workers: of one, or of about a third of them.
        for (const std::string& other : workers.ids()) {
            if (other == id || (kind % 2 == 0 && chance(0.3)))
                workers.inject_fault(
                    other, static_cast<WorkerFault>(draw(emulator::worker_fault_count)),
                    span, chance(0.5) ? 1 : 0.5);
        }
        break;
    }
}

void Schedule::inject_random_fault()
{
    constexpr int64_t node_kinds = 6;
    constexpr int64_t store_kinds = 7;
    constexpr int64_t worker_kinds = 13;
    const Millis span(500 + draw(6000));
    const int64_t kind = draw(node_kinds + store_kinds + worker_kinds);
    if ((fault_mask() >> kind & 1) == 0)
        return;
    m_cell.note_disturbance(span, m_style.settles_in);
    if (kind < node_kinds)
        inject_node_fault(kind, span);
    else if (kind < node_kinds + store_kinds)
        inject_store_fault(kind - node_kinds, span);
    else
        inject_worker_fault(kind - node_kinds - store_kinds, span);
}

void Schedule::blackhole_open_connections()
{
    constexpr int64_t max_kept = 24;
    m_cell.note_disturbance(Millis(0), m_style.settles_in);
    m_cell.blackhole_connections(int(draw(max_kept + 1)));
}

// Adds an unused queue, or removes the last one that was added.
void Schedule::configure()
{
    jobs::Configuration changed = m_cell.store.configuration();
    const std::string added = "added";
    changed.version += 1 + draw(3);
    if (changed.queues.back().name.rfind(added, 0) == 0 && chance(0.5)) {
        changed.queues.pop_back();
    } else {
        jobs::Queue queue = changed.queues.front();
        queue.name = added + std::to_string(changed.version);
        queue.path_prefix = "/" + queue.name + "/";
        changed.queues.push_back(queue);
    }
    m_cell.configure(changed);
}

// Restarts one worker or a third of them under their ids, once or twice in a row.
void Schedule::restart_workers()
{
    emulator::Workers& workers = m_cell.workers;
    emulator::RestartOptions options;
    options.downtime = Millis(1 + draw(chance(0.5) ? 300 : 4000));
    options.listed_after = Millis(draw(1500));
    options.start_clock_ms = chance(0.5) ? 0 : draw(1000000);
    options.unresponsive = chance(0.4);
    const double share = chance(0.3) ? 0.33 : 0;
    const bool twice = chance(0.2);
    const Millis again = options.downtime + Millis(draw(1500));
    m_cell.note_disturbance(again + options.downtime + options.listed_after,
                            m_style.settles_in);
    const std::string one = random_worker();
    for (const std::string& id : workers.ids()) {
        if (id != one && !chance(share))
            continue;
        workers.restart(id, options);
        if (twice)
            m_cell.world.after(again,
                               [&workers, id, options] { workers.restart(id, options); });
    }
}

// Makes one or some tasks of a step crash their workers, at once or after a while.
void Schedule::make_crashing(std::vector<StepModel>& steps)
{
    StepModel& model = steps[size_t(draw(int64_t(steps.size())))];
    model.crashing_task_count = chance(0.7) ? 1 : 1 + int(draw(model.count));
    model.crash_after_ms = chance(0.7) ? draw(40) : draw(1500);
    model.crash_downtime = Millis(500 + draw(chance(0.3) ? 9000 : 3500));
    model.crash_unresponsive = chance(0.3);
    model.failing_runs = 0;
}

// Reduces the capacity of one worker or a third of them for a while.
void Schedule::resize_workers()
{
    emulator::Workers& workers = m_cell.workers;
    const std::string one = random_worker();
    const bool many = chance(0.3);
    const Millis span(500 + draw(8000));
    for (const std::string& id : workers.ids()) {
        if (id != one && !(many && chance(0.3)))
            continue;
        workers.resize(id, { 1000 + draw(7000), 2000 + draw(14000), 0 });
        m_cell.world.after(span, [&workers, id] {
            workers.resize(id, { 8000, 16000, 0 });
        });
    }
}

void Schedule::suspend_node()
{
    const Millis span(500 + draw(8000));
    m_cell.note_disturbance(span, m_style.settles_in);
    m_cell.suspend(random_node(), span);
}

// Returns a key, half of the time one of the largest workspace, and occasionally one that
// was removed or never existed.
std::string Schedule::random_key()
{
    if (m_style.rekey_chance == 0)
        return {};
    if (chance(0.03))
        return m_removed_keys.empty()
            ? "nobodys-key"
            : m_removed_keys[size_t(draw(int64_t(m_removed_keys.size())))];
    const auto& all = m_cell.workspaces();
    const auto& setup = all[chance(0.5) ? 0 : size_t(draw(int64_t(all.size())))];
    if (setup.keys.empty())
        return "nobodys-key";
    return setup.keys[size_t(draw(int64_t(setup.keys.size())))];
}

// Removes or adds keys of a workspace, or changes its bound.
void Schedule::change_workspace()
{
    std::vector<emulator::WorkspaceSetup> all = m_cell.workspaces();
    emulator::WorkspaceSetup& setup = all[size_t(draw(int64_t(all.size())))];
    const int64_t kind = draw(5);
    if (kind == 0 && !setup.keys.empty()) {
        m_removed_keys.push_back(setup.keys.back());
        setup.keys.pop_back();
    } else if (kind == 1) {
        m_removed_keys.insert(m_removed_keys.end(), setup.keys.begin(), setup.keys.end());
        setup.keys.clear();
    } else if (kind == 2) {
        setup.keys.push_back("key" + std::to_string(m_keys++));
    } else {
        setup.workspace.bound = { chance(0.2) ? 0 : 2000 + draw(30000),
                                  chance(0.5) ? 0 : 4000 + draw(40000), 0 };
    }
    m_cell.configure_workspaces(all);
}

void Schedule::access_foreign_job()
{
    const std::string id = "job" + std::to_string(draw(m_jobs));
    m_cell.attempt_foreign_access(id, random_key());
}

// Removes all bounds, so that jobs that wait at a reduced one can finish.
void Schedule::lift_bounds()
{
    std::vector<emulator::WorkspaceSetup> all = m_cell.workspaces();
    for (emulator::WorkspaceSetup& setup : all)
        setup.workspace.bound = {};
    m_cell.configure_workspaces(all);
}

// Drains a failure domain, one without workers included, or withdraws the request.
void Schedule::change_drain()
{
    m_cell.note_disturbance(Millis(0), m_style.settles_in);
    const std::string domain = "zone" + std::to_string(draw(4));
    const bool drained = m_drained_domains.count(domain) > 0;
    if (drained)
        m_drained_domains.erase(domain);
    else
        m_drained_domains.insert(domain);
    m_cell.drain_domain(domain, !drained);
}

// Lets a worker leave, half of the time, and cuts links by refusals: of that worker from
// all nodes and the store or from one node, or of a node from its peers. The list may lack
// the worker earlier than its heartbeats are missing.
void Schedule::refuse_connections()
{
    emulator::Workers& workers = m_cell.workers;
    const std::string id = random_worker();
    const Millis leaves_after(2000 + draw(10000));
    const Millis cut_after(draw(4000));
    const Millis span(500 + draw(8000));
    const auto mode = chance(0.75) ? emulator::PartitionMode::refuses
                                   : emulator::PartitionMode::refuses_new;
    m_cell.note_disturbance(std::max(leaves_after, cut_after + span), m_style.settles_in);
    if (chance(0.5)) {
        const Millis announced = chance(0.5) ? Millis(2000) : leaves_after;
        workers.drain(id, leaves_after, announced);
        workers.add("pool", { 8000, 16000, 0 });
    }
    const bool unlisted = chance(0.5);
    const std::string node = chance(0.3) ? random_node() : std::string();
    const bool store_away = chance(0.2);
    const bool peers_refuse = chance(0.2);
    m_cell.world.after(cut_after, [=, &workers] {
        if (node.empty())
            workers.cut_off(id, span, mode);
        else
            workers.partition(id, span, node, mode);
        if (unlisted)
            workers.inject_fault(id, WorkerFault::unlisted, span);
        if (peers_refuse)
            m_cell.partition_from_peers(random_node(), span, mode);
        if (!store_away)
            return;
        emulator::Store& store = m_cell.store;
        m_cell.note_contact_loss(span);
        store.injected.refuse_calls = true;
        m_cell.world.after(span, [&store] { store.injected.refuse_calls = false; });
    });
}

// Jobs that wait for the workers of a drained domain can finish then.
void Schedule::withdraw_drains()
{
    for (const std::string& domain : m_drained_domains)
        m_cell.drain_domain(domain, false);
    m_drained_domains.clear();
}

std::vector<std::string> Schedule::run()
{
    constexpr int tenths = 300;
    if (m_style.rekey_chance > 0)
        m_cell.configure_workspaces(first_workspaces());
    m_cell.note_disturbance(Millis(3000));
    m_cell.watch_jobs();
    m_cell.watch_configurations();
    m_cell.world.run_for(Millis(1500));
    const bool ends_with_kill = chance(0.5);
    for (int tenth = 0; tenth < tenths; ++tenth) {
        if (chance(tenth > tenths * 4 / 5 ? 0.5 : 0.3))
            submit_random();
        if (chance(0.03) && m_jobs > 0)
            m_cell.cancel("job" + std::to_string(draw(m_jobs)));
        if (chance(m_style.fault_chance))
            inject_random_fault();
        if (m_style.blackhole_chance > 0 && chance(m_style.blackhole_chance))
            blackhole_open_connections();
        if (m_style.config_change_chance > 0 && chance(m_style.config_change_chance))
            configure();
        if (m_style.restart_chance > 0 && chance(m_style.restart_chance))
            restart_workers();
        if (m_style.resize_chance > 0 && chance(m_style.resize_chance))
            resize_workers();
        if (m_style.suspend_chance > 0 && chance(m_style.suspend_chance))
            suspend_node();
        if (m_style.rekey_chance > 0 && chance(m_style.rekey_chance))
            change_workspace();
        if (m_style.rekey_chance > 0 && m_jobs > 0 && chance(0.1))
            access_foreign_job();
        if (m_style.drain_chance > 0 && chance(m_style.drain_chance))
            change_drain();
        if (m_style.refusal_chance > 0 && chance(m_style.refusal_chance))
            refuse_connections();
        m_cell.world.run_for(Millis(100));
    }
    if (m_style.rekey_chance > 0)
        lift_bounds();
    withdraw_drains();
    if (ends_with_kill) {
        kill_all();
        m_cell.note_disturbance(Millis(3000));
    }
    m_cell.world.run_for(Millis(45000));
    return m_cell.final_violations();
}

} // namespace

std::vector<std::string> run_random_schedule(uint64_t seed, int style)
{
    return Schedule(seed, make_style(style)).run();
}

void expect_no_violations(int style, uint64_t first, uint64_t count)
{
    for (uint64_t seed = first; seed < first + count; ++seed) {
        const auto problems = run_random_schedule(seed, style);
        BOOST_TEST(problems.empty(),
                   "style " << style << ", seed " << seed << join_lines(problems));
    }
}

} // namespace pathport::cell_tests
