// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "random_schedule.h"

#include "cell_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>

namespace pathport::cell_tests {

namespace {

/// Which kinds of trouble a hunt draws; the environment may name a mask.
uint64_t trouble_mask()
{
    const char* const text = std::getenv("PATHPORT_TROUBLES");
    return text == nullptr ? ~uint64_t(0) : std::strtoull(text, nullptr, 0);
}

/// What the styles of schedules differ in.
struct Style {
    double trouble = 0.05; ///< Chance of a trouble in a tenth of a second.
    Millis settles_in { 14000 }; ///< After a trouble has ended.
    uint64_t allowed_tenths = 7; ///< Of the workers, by the advisor.
    int workers = 14;
    double late = 0.25; ///< Calls carried out late while that trouble lasts.
    double canceled = 0; ///< Share of the jobs that are cancelled soon after they come.
    double silenced = 0; ///< Chance in a tenth of a second that open connections go silent.
    double configured = 0; ///< The same that the operators change the configuration.
    double restarted = 0; ///< The same that workers restart under the id that they had.
    int64_t link_bytes
        = 0; ///< What each node believes of its link; little has it use relays.
    double crashing = 0; ///< Share of the jobs with tasks that crash their workers.
    /// So many workers are lost beside that a job may be given up that crashes none.
    bool storms = false;
    double resized = 0; ///< Chance in a tenth of a second that rooms shrink for a while.
    double suspended = 0; ///< The same that the machine of a node is suspended.
    /// The same that keys or bounds of workspaces change; there are workspaces if above 0.
    double rekeyed = 0;
};

Style with_terms(Style style, double crashing, double resized, double suspended)
{
    style.crashing = crashing;
    style.resized = resized;
    style.suspended = suspended;
    return style;
}

Style with_callers(Style style, double rekeyed)
{
    style.rekeyed = rekeyed;
    return style;
}

Style in_storms(Style style)
{
    style.storms = true;
    return style;
}

Style make_style(int number)
{
    switch (number) {
    case 1: // Few troubles, so that the watch sees calm in between.
        return { 0.012, Millis(10500), 5, 20, 0.5 };
    case 2: // Many at once.
        return { 0.1, Millis(12000), 5, 20, 0.6 };
    case 3: // Half of the jobs are cancelled soon, and there is calm in between.
        return { 0.02, Millis(10500), 7, 14, 0.5, 0.5 };
    case 4: // The same in more trouble.
        return { 0.06, Millis(12000), 7, 14, 0.5, 0.5 };
    case 5: // The same, and open connections go silent now and then.
        return { 0.02, Millis(10500), 7, 14, 0.5, 0.5, 0.015 };
    case 6: // The same, while the configuration changes, also several times a second.
        return { 0.015, Millis(10500), 7, 14, 0.5, 0.3, 0.02, 0.08 };
    case 7: // Workers restart under their ids, in little other trouble.
        return { 0.012, Millis(10500), 7, 14, 0.5, 0.1, 0, 0, 0.025 };
    case 8: // The same in much other trouble.
        return { 0.06, Millis(12000), 7, 14, 0.5, 0.1, 0.01, 0, 0.04 };
    case 9: // The same as 7 with all calls to workers through relays.
        return { 0.02, Millis(12000), 7, 14, 0.5, 0.1, 0.01, 0, 0.03, 1 };
    case 10: // Some tasks crash each worker that starts them, in little other trouble.
        return with_terms({ 0.012, Millis(10500), 7, 14, 0.5 }, 0.06, 0, 0);
    case 11: // The same in much other trouble, with restarts.
        return in_storms(
            with_terms({ 0.05, Millis(12000), 7, 14, 0.5, 0.1, 0, 0, 0.01 }, 0.1, 0, 0));
    case 12: // Rooms shrink and grow again, in little other trouble.
        return with_terms({ 0.02, Millis(12000), 7, 14, 0.5 }, 0, 0.06, 0);
    case 13: // Machines of nodes are suspended, in little other trouble.
        return with_terms({ 0.02, Millis(12000), 7, 14, 0.5 }, 0, 0, 0.03);
    case 14: // All of these, with restarts and silences.
        return in_storms(with_terms({ 0.03, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01 },
                                    0.05, 0.03, 0.015));
    case 15: // The same through relays.
        return in_storms(with_terms(
            { 0.02, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01, 1 }, 0.05, 0.03, 0.015));
    case 16: // Callers with keys that come and go, and bounds that change; little trouble.
        return with_callers({ 0.012, Millis(10500), 7, 14, 0.5, 0.2 }, 0.04);
    case 17: // The same in more trouble, with silences, restarts and routes that change.
        return with_callers({ 0.05, Millis(14000), 7, 14, 0.5, 0.2, 0.01, 0.02, 0.01 },
                            0.05);
    case 18: // The same through relays, with tasks that crash and rooms that shrink.
        return in_storms(with_callers(
            with_terms({ 0.03, Millis(14000), 7, 14, 0.5, 0.1, 0.01, 0, 0.01, 1 }, 0.03,
                       0.02, 0.01),
            0.05));
    default:
        return {};
    }
}

/// Workspaces of unlike size; some have no bound.
std::vector<emulator::WorkspaceSetup> first_workspaces()
{
    constexpr int count = 6;
    std::vector<emulator::WorkspaceSetup> all;
    for (int i = 0; i < count; ++i) {
        emulator::WorkspaceSetup facts;
        facts.workspace.name = "team" + std::to_string(i);
        facts.workspace.weight = i == 0 ? 6 : 1;
        if (i % 3 != 0)
            facts.workspace.bound = { 4000 + 3000 * i, i % 2 == 0 ? 20000 : 0, 0 };
        facts.keys = { facts.workspace.name + "-key0", facts.workspace.name + "-key1" };
        all.push_back(facts);
    }
    return all;
}

/// A cell under a random schedule.
class Schedule {
public:
    Schedule(uint64_t seed, const Style& style)
        : m_style(style)
        , m_cell(seed, 4, style.workers, {}, style.link_bytes)
    {
        add_queues(m_cell);
        m_cell.workers.allowed_tenths = style.allowed_tenths;
        m_cell.workers.give_up_after_two_losses = style.storms;
        m_cell.workers.on_crash
            = [this](Millis pause) { m_cell.note_disturbance(pause, m_style.settles_in); };
    }

    std::vector<std::string> run();

private:
    int64_t below(int64_t bound)
    {
        return int64_t(m_cell.world.random_below(uint64_t(bound)));
    }
    bool chance(double share) { return m_cell.world.chance(share); }
    std::string random_node();
    std::string random_worker();
    void submit_random();
    void cancel_soon(const std::string& id);
    void trouble();
    void silence_connections();
    void configure();
    void restart_workers();
    void make_crashing(std::vector<StepModel>& steps);
    void resize_workers();
    void suspend_node();
    void rekey();
    std::string random_key();
    void pry();
    void lift_bounds();
    void node_trouble(int64_t kind, Millis span);
    void store_trouble(int64_t kind, Millis span);
    void worker_trouble(int64_t kind, Millis span);
    void lapse_entries(Millis span);
    void kill_all();

    Style m_style;
    Cell m_cell;
    int m_jobs = 0;
    int m_keys = 0; ///< That were added.
    std::vector<std::string> m_gone_keys;
};

std::string Schedule::random_node()
{
    const auto names = m_cell.node_names();
    const std::string leader = m_cell.leader();
    return !leader.empty() && chance(0.5) ? leader
                                          : names[size_t(below(int64_t(names.size())))];
}

std::string Schedule::random_worker()
{
    const auto ids = m_cell.workers.ids();
    return ids[size_t(below(int64_t(ids.size())))];
}

void Schedule::submit_random()
{
    std::vector<StepModel> steps;
    const auto count = 1 + below(3);
    const bool advised = chance(0.5);
    for (int64_t i = 0; i < count; ++i) {
        StepModel facts
            = one_core_step(1 + int(below(chance(0.2) ? 18 : 6)), 100 + below(2500));
        facts.gang = chance(0.2);
        if (facts.gang)
            facts.count = std::min(facts.count, advised ? 3 : 5);
        facts.need.cpu_millis = 400 + below(1800);
        facts.failing_runs = chance(0.25) ? 1 + int(below(3)) : 0;
        facts.saves_progress = chance(0.3);
        facts.max_per_worker = !facts.gang && chance(0.2) ? 2 : 0;
        if (i > 0 && chance(0.7))
            facts.after = { int(i) - 1 };
        steps.push_back(facts);
    }
    const std::string id = "job" + std::to_string(m_jobs++);
    if (chance(0.02)) {
        steps.resize(1);
        steps[0].gang = false;
        steps[0].lasting = true;
        steps[0].count = 2;
        steps[0].max_per_worker = 0;
    }
    if (m_style.crashing > 0 && chance(m_style.crashing))
        make_crashing(steps);
    submit(m_cell, (advised ? "a" : "q") + std::to_string(below(3)), id, steps,
           random_key());
    if (m_style.canceled > 0 && chance(m_style.canceled))
        cancel_soon(id);
}

void Schedule::cancel_soon(const std::string& id)
{
    const Millis after(5 + below(chance(0.5) ? 300 : 3000));
    m_cell.world.after(after, [this, id] { m_cell.cancel(id); });
}

void Schedule::kill_all()
{
    for (const std::string& node : m_cell.node_names())
        m_cell.kill(node, Millis(300 + below(1500)));
}

void Schedule::lapse_entries(Millis span)
{
    const double share = chance(0.5) ? 1 : 0.4;
    for (const std::string& id : m_cell.workers.ids()) {
        if (chance(share))
            m_cell.workers.inject_fault(id, WorkerFault::unlisted,
                                        span + Millis(1000 + below(2000)));
    }
}

void Schedule::node_trouble(int64_t kind, Millis span)
{
    switch (kind) {
    case 0:
    case 1:
        m_cell.kill(random_node(), Millis(200 + below(3000)));
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

void Schedule::store_trouble(int64_t kind, Millis span)
{
    emulator::Store& store = m_cell.store;
    m_cell.note_contact_loss(span);
    if (kind < 4 && chance(0.5))
        lapse_entries(span);
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
        store.injected.lost_read_replies = m_style.configured > 0 ? 0.35 : 0;
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
        lapse_entries(Millis(0));
        break;
    default:
        store.compact();
        break;
    }
}

void Schedule::worker_trouble(int64_t kind, Millis span)
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
        workers.injected.delayed_share = m_style.late;
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
        // The faults of single workers, of one or of a third of them.
        for (const std::string& other : workers.ids()) {
            if (other == id || (kind % 2 == 0 && chance(0.3)))
                workers.inject_fault(
                    other, static_cast<WorkerFault>(below(emulator::worker_fault_count)),
                    span, chance(0.5) ? 1 : 0.5);
        }
        break;
    }
}

void Schedule::trouble()
{
    constexpr int64_t node_kinds = 6;
    constexpr int64_t store_kinds = 7;
    constexpr int64_t worker_kinds = 13;
    const Millis span(500 + below(6000));
    const int64_t kind = below(node_kinds + store_kinds + worker_kinds);
    if ((trouble_mask() >> kind & 1) == 0)
        return;
    m_cell.note_disturbance(span, m_style.settles_in);
    if (kind < node_kinds)
        node_trouble(kind, span);
    else if (kind < node_kinds + store_kinds)
        store_trouble(kind - node_kinds, span);
    else
        worker_trouble(kind - node_kinds - store_kinds, span);
}

void Schedule::silence_connections()
{
    constexpr int64_t most_kept = 24;
    m_cell.note_disturbance(Millis(0), m_style.settles_in);
    m_cell.blackhole_connections(int(below(most_kept + 1)));
}

// The operators add a queue that nobody uses, or drop the last one that was added.
void Schedule::configure()
{
    jobs::Configuration changed = m_cell.store.configuration();
    const std::string added = "added";
    changed.version += 1 + below(3);
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

// One worker or a third of them come back under their ids, once or twice in a row.
void Schedule::restart_workers()
{
    emulator::Workers& workers = m_cell.workers;
    emulator::RestartOptions how;
    how.downtime = Millis(1 + below(chance(0.5) ? 300 : 4000));
    how.listed_after = Millis(below(1500));
    how.start_clock_ms = chance(0.5) ? 0 : below(1000000);
    how.unresponsive = chance(0.4);
    const double share = chance(0.3) ? 0.33 : 0;
    const bool twice = chance(0.2);
    const Millis again = how.downtime + Millis(below(1500));
    m_cell.note_disturbance(again + how.downtime + how.listed_after, m_style.settles_in);
    const std::string one = random_worker();
    for (const std::string& id : workers.ids()) {
        if (id != one && !chance(share))
            continue;
        workers.restart(id, how);
        if (twice)
            m_cell.world.after(again, [&workers, id, how] { workers.restart(id, how); });
    }
}

// One task of a step crashes its workers, or some do, at once or after a while.
void Schedule::make_crashing(std::vector<StepModel>& steps)
{
    StepModel& facts = steps[size_t(below(int64_t(steps.size())))];
    facts.crashing_task_count = chance(0.7) ? 1 : 1 + int(below(facts.count));
    facts.crash_after_ms = chance(0.7) ? below(40) : below(1500);
    facts.crash_downtime = Millis(500 + below(chance(0.3) ? 9000 : 3500));
    facts.crash_unresponsive = chance(0.3);
    facts.failing_runs = 0;
}

// One worker or a third of them have less room for a while.
void Schedule::resize_workers()
{
    emulator::Workers& workers = m_cell.workers;
    const std::string one = random_worker();
    const bool many = chance(0.3);
    const Millis span(500 + below(8000));
    for (const std::string& id : workers.ids()) {
        if (id != one && !(many && chance(0.3)))
            continue;
        workers.resize(id, { 1000 + below(7000), 2000 + below(14000), 0 });
        m_cell.world.after(span, [&workers, id] {
            workers.resize(id, { 8000, 16000, 0 });
        });
    }
}

void Schedule::suspend_node()
{
    const Millis span(500 + below(8000));
    m_cell.note_disturbance(span, m_style.settles_in);
    m_cell.suspend(random_node(), span);
}

// A key, half of the time one of the largest workspace; now and then one that is gone or
// was never there.
std::string Schedule::random_key()
{
    if (m_style.rekeyed == 0)
        return {};
    if (chance(0.03))
        return m_gone_keys.empty()
            ? "nobodys-key"
            : m_gone_keys[size_t(below(int64_t(m_gone_keys.size())))];
    const auto& all = m_cell.workspaces();
    const auto& facts = all[chance(0.5) ? 0 : size_t(below(int64_t(all.size())))];
    if (facts.keys.empty())
        return "nobodys-key";
    return facts.keys[size_t(below(int64_t(facts.keys.size())))];
}

// A workspace loses or gets keys, or its bound changes.
void Schedule::rekey()
{
    std::vector<emulator::WorkspaceSetup> all = m_cell.workspaces();
    emulator::WorkspaceSetup& facts = all[size_t(below(int64_t(all.size())))];
    const int64_t kind = below(5);
    if (kind == 0 && !facts.keys.empty()) {
        m_gone_keys.push_back(facts.keys.back());
        facts.keys.pop_back();
    } else if (kind == 1) {
        m_gone_keys.insert(m_gone_keys.end(), facts.keys.begin(), facts.keys.end());
        facts.keys.clear();
    } else if (kind == 2) {
        facts.keys.push_back("key" + std::to_string(m_keys++));
    } else {
        facts.workspace.bound = { chance(0.2) ? 0 : 2000 + below(30000),
                                  chance(0.5) ? 0 : 4000 + below(40000), 0 };
    }
    m_cell.configure_workspaces(all);
}

void Schedule::pry()
{
    const std::string id = "job" + std::to_string(below(m_jobs));
    m_cell.attempt_foreign_access(id, random_key());
}

// What waits at a bound that has fallen ends once it has risen again.
void Schedule::lift_bounds()
{
    std::vector<emulator::WorkspaceSetup> all = m_cell.workspaces();
    for (emulator::WorkspaceSetup& facts : all)
        facts.workspace.bound = {};
    m_cell.configure_workspaces(all);
}

std::vector<std::string> Schedule::run()
{
    constexpr int tenths = 300;
    if (m_style.rekeyed > 0)
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
            m_cell.cancel("job" + std::to_string(below(m_jobs)));
        if (chance(m_style.trouble))
            trouble();
        if (m_style.silenced > 0 && chance(m_style.silenced))
            silence_connections();
        if (m_style.configured > 0 && chance(m_style.configured))
            configure();
        if (m_style.restarted > 0 && chance(m_style.restarted))
            restart_workers();
        if (m_style.resized > 0 && chance(m_style.resized))
            resize_workers();
        if (m_style.suspended > 0 && chance(m_style.suspended))
            suspend_node();
        if (m_style.rekeyed > 0 && chance(m_style.rekeyed))
            rekey();
        if (m_style.rekeyed > 0 && m_jobs > 0 && chance(0.1))
            pry();
        m_cell.world.run_for(Millis(100));
    }
    if (m_style.rekeyed > 0)
        lift_bounds();
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
        const auto wrong = run_random_schedule(seed, style);
        BOOST_TEST(wrong.empty(),
                   "style " << style << ", seed " << seed << join_lines(wrong));
    }
}

} // namespace pathport::cell_tests
