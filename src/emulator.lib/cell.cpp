// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "node_process.h"

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::ClientStatus;

constexpr Millis client_limit { 3000 };
constexpr Millis resubmit_pause { 300 };
constexpr int max_tries = 5;
constexpr Millis stop_grace { 5000 };
constexpr int default_cpu_millicores = 1000;

jobs::Configuration make_configuration()
{
    jobs::Configuration configuration;
    configuration.version = 1;
    configuration.services = { "pool" };
    for (const bool advised : { false, true }) {
        jobs::Queue queue;
        queue.name = advised ? "advised" : "plain";
        queue.host = "cell";
        queue.path_prefix = "/" + queue.name + "/";
        queue.service = "pool";
        queue.priority = advised ? 1 : 0;
        queue.max_failures = 3;
        if (advised)
            queue.advice = jobs::AdviceRule { 5, 1, 2000 };
        configuration.queues.push_back(queue);
    }
    return configuration;
}

bool has_lasting_tasks(const ClientJob& job)
{
    return std::any_of(job.step_models.begin(), job.step_models.end(),
                       [](const StepModel& step_model) { return step_model.lasting; });
}

} // namespace

NodeProcess::NodeProcess(Cell& cell, const std::string& name,
                         const std::string& incarnation, int cpu_millicores,
                         int64_t link_bytes_per_s)
    : loop(cell.world)
    , store(cell.store, loop, name)
    , workers(cell.workers, loop, name)
    , peers(cell, loop, name)
    , started(cell.world.now())
{
    jobs::NodeSetup setup;
    setup.node = name;
    setup.peer_address = name;
    setup.incarnation = incarnation;
    setup.max_lease = cell.workers.max_lease;
    setup.cpu_millicores = cpu_millicores;
    setup.link_bytes_per_s = link_bytes_per_s;
    setup.archive_batch = 1;
    setup.domain_drain_time = cell.m_domain_drain_time;
    setup.mechanisms = cell.m_mechanisms;
    World& world = cell.world;
    node = std::make_unique<jobs::JobNode>(
        jobs::NodeContext { loop, store, store, workers, workers, peers, metrics,
                            [&world] { return world.now().count(); } },
        setup);
    node->begin();
}

void PeerPort::send(const std::string& address, const jobs::PeerRequest& request,
                    Millis timeout, jobs::PeerReply done)
{
    const Millis now = m_cell.world.now();
    NodeProcess* target = m_cell.running(address);
    const Partition* const own = m_cell.peer_partition(m_node);
    const Partition* const partition
        = own != nullptr ? own : m_cell.peer_partition(address);
    const bool partitioned = partition != nullptr;
    const bool refused
        = partitioned ? partition->mode == PartitionMode::refuses : target == nullptr;
    if (refused) {
        deliver(Millis(1), [done] { done(jobs::PeerEnd::refused, {}); });
        return;
    }
    PooledConnections& connections = m_connections[address];
    const bool held = request.topic == jobs::PeerTopic::worker_calls;
    const Millis max_delay = held ? jobs::relay_poll_wait : Millis(0);
    if (partitioned || target->loop.frozen()
        || connections.drops_call(now, max_delay, timeout)) {
        deliver(timeout, [done] { done(jobs::PeerEnd::silent, {}); });
        return;
    }
    // The reply or the timeout ends the call, whichever comes first.
    const auto ended = std::make_shared<bool>(false);
    deliver(timeout, [ended, done] {
        if (!*ended) {
            *ended = true;
            done(jobs::PeerEnd::silent, {});
        }
    });
    // Messages are sent encoded, so that the codec is tested as well.
    const std::string text = encode(request);
    m_loop.world().after(
        Millis(1),
        [this, alive = m_loop.alive_flag(), address, text, ended, done,
         generation = connections.generation()] {
            NodeProcess* receiver = m_cell.running(address);
            if (receiver == nullptr)
                return;
            receiver->loop.deliver([this, alive, receiver, address, text, ended, done,
                                    generation] {
                const auto message = jobs::decode_peer_request(text);
                receiver->node->handle_peer(
                    *message,
                    [this, alive, address, ended, done,
                     generation](const jobs::PeerAnswer& answer) {
                        // The reply is lost if the connection has been black-holed since.
                        if (!*alive || m_connections[address].generation() != generation)
                            return;
                        const auto decoded = jobs::decode_peer_answer(encode(answer));
                        deliver(Millis(1), [ended, done, decoded] {
                            if (*ended)
                                return;
                            *ended = true;
                            done(jobs::PeerEnd::answered, *decoded);
                        });
                    });
            });
        });
}

Cell::Cell(uint64_t seed, int nodes, int worker_count,
           std::map<std::string, int> node_cpu_millicores, int64_t link_bytes_per_s,
           Millis domain_drain_time, const jobs::Mechanisms& mechanisms)
    : world(seed)
    , store(world)
    , workers(world)
    , m_node_cpu_millicores(std::move(node_cpu_millicores))
    , m_link_bytes_per_s(link_bytes_per_s)
    , m_domain_drain_time(domain_drain_time)
    , m_mechanisms(mechanisms)
{
    store.list_workers = [this] { return workers.list(); };
    configure(make_configuration());
    for (int i = 0; i < worker_count; ++i)
        workers.add("pool", { 8000, 16000, 0 });
    for (int i = 0; i < nodes; ++i)
        start("n" + std::to_string(i + 1));
}

Cell::~Cell() = default;

const jobs::Queue& Cell::queue(bool advised) const
{
    return store.configuration().queues[advised ? 1 : 0];
}

void Cell::start(const std::string& node)
{
    auto& slot = m_nodes[node];
    if (slot && slot->loop.alive())
        return;
    if (slot)
        m_dead_processes.push_back(std::move(slot));
    const int cpu_millicores
        = m_node_cpu_millicores.try_emplace(node, default_cpu_millicores).first->second;
    slot = std::make_unique<NodeProcess>(*this, node,
                                         std::to_string(world.random_below(1000000000)),
                                         cpu_millicores, m_link_bytes_per_s);
    slot->loop.set_processor_cost(processor_cost_of(node));
}

void Cell::set_processor_cost(const ProcessorCost& cost)
{
    m_processor_cost = cost;
    for (const auto& [name, process] : m_nodes)
        process->loop.set_processor_cost(processor_cost_of(name));
}

void Cell::set_processor_speed(const std::string& node, int percent)
{
    m_processor_speed[node] = percent;
    if (NodeProcess* const process = running(node))
        process->loop.set_processor_cost(processor_cost_of(node));
}

ProcessorCost Cell::processor_cost_of(const std::string& node) const
{
    constexpr int full_speed = 100;
    ProcessorCost cost = m_processor_cost;
    const auto speed = m_processor_speed.find(node);
    if (speed != m_processor_speed.end())
        cost.speed_percent = cost.speed_percent * speed->second / full_speed;
    return cost;
}

NodeProcess* Cell::running(const std::string& node)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end() || !found->second->loop.alive())
        return nullptr;
    return found->second.get();
}

NodeProcess* Cell::random_running_node()
{
    std::vector<NodeProcess*> candidates;
    for (const auto& [name, process] : m_nodes) {
        if (process->loop.alive() && !process->loop.frozen())
            candidates.push_back(process.get());
    }
    return candidates.empty() ? nullptr : candidates[world.random_below(candidates.size())];
}

std::vector<std::string> Cell::node_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, process] : m_nodes)
        names.push_back(name);
    return names;
}

std::string Cell::leader() const
{
    for (const auto& [name, process] : m_nodes) {
        if (process->loop.alive() && process->node->leads())
            return name;
    }
    return {};
}

size_t Cell::reachable_workers() const
{
    const auto found = m_nodes.find(leader());
    return found == m_nodes.end() ? 0 : found->second->node->reachable_workers();
}

double Cell::counter(const std::string& name) const
{
    double sum = 0;
    for (const auto& [node, process] : m_nodes)
        sum += process->metrics.counter_value(name);
    return sum;
}

void Cell::kill(const std::string& node, Millis pause)
{
    NodeProcess* process = running(node);
    if (process == nullptr)
        return;
    process->loop.kill();
    world.after(pause, [this, node] { start(node); });
}

void Cell::freeze(const std::string& node, Millis span)
{
    NodeProcess* process = running(node);
    if (process == nullptr)
        return;
    process->loop.freeze_until(world.now() + span);
    note_contact_loss(node, span);
}

void Cell::suspend(const std::string& node, Millis span)
{
    NodeProcess* process = running(node);
    if (process == nullptr)
        return;
    process->loop.suspend_for(span);
    note_contact_loss(node, span);
}

void Cell::partition_from_peers(const std::string& node, Millis span, PartitionMode mode)
{
    m_peer_partitions[node] = { world.now() + span, mode };
    note_contact_loss(node, span);
}

const Partition* Cell::peer_partition(const std::string& node) const
{
    const auto found = m_peer_partitions.find(node);
    const bool partitioned
        = found != m_peer_partitions.end() && world.now() < found->second.until;
    return partitioned ? &found->second : nullptr;
}

void Cell::blackhole_connections(int kept)
{
    note_contact_loss(Millis(0));
    for (const auto& [name, process] : m_nodes) {
        process->store.connections.blackhole(kept);
        process->workers.blackhole_connections(kept);
        process->peers.blackhole_connections(kept);
    }
}

int64_t Cell::configuration_version(const std::string& node)
{
    const NodeProcess* process = running(node);
    const auto configuration
        = process == nullptr ? nullptr : process->node->configuration();
    return configuration ? configuration->version : 0;
}

void Cell::stop(const std::string& node, Millis pause)
{
    NodeProcess* process = running(node);
    if (process == nullptr)
        return;
    note_contact_loss(node, stop_grace);
    process->loop.deliver([process] { process->node->begin_shutdown(); });
    world.after(stop_grace, [this, node, pause, process] {
        if (running(node) == process)
            kill(node, pause);
    });
}

void Cell::submit(const std::string& id, const jobs::JobSpec& spec,
                  const std::vector<StepModel>& step_models, bool advised)
{
    add_job(id, spec, step_models, queue(advised));
    try_submit(id, 0);
}

void Cell::submit_on(const std::string& queue, const std::string& id,
                     const jobs::JobSpec& spec, const std::vector<StepModel>& step_models,
                     const std::string& key)
{
    add_job(id, spec, step_models, *store.configuration().by_name(queue));
    m_jobs[id].key = key;
    m_jobs[id].workspace = m_configurations.back().key_owner(key);
    workers.set_owner(id, m_jobs[id].workspace);
    try_submit(id, 0);
}

std::optional<jobs::ClientStatus> Cell::submit_at(const std::string& node,
                                                  const std::string& id,
                                                  const jobs::JobSpec& spec,
                                                  const std::vector<StepModel>& step_models)
{
    add_job(id, spec, step_models, queue(false));
    NodeProcess* process = running(node);
    if (process == nullptr)
        return std::nullopt;
    const auto answer = std::make_shared<std::optional<ClientStatus>>();
    process->node->submit(queue(false), id, spec, world.now(), client_limit,
                          [answer](ClientStatus status) { *answer = status; });
    world.run_for(client_limit);
    m_jobs[id].accepted = *answer == ClientStatus::ok;
    m_jobs[id].accepted_at = world.now();
    m_jobs[id].outcome_unknown = !*answer || *answer == ClientStatus::in_doubt;
    return *answer;
}

void Cell::add_job(const std::string& id, const jobs::JobSpec& spec,
                   const std::vector<StepModel>& step_models, const jobs::Queue& queue)
{
    ClientJob& job = m_jobs[id];
    job.queue = queue;
    job.spec = spec;
    job.step_models = step_models;
    for (size_t i = 0; i < step_models.size(); ++i) {
        workers.define_step(id, static_cast<int>(i), step_models[i]);
        job.expected_to_fail
            = job.expected_to_fail || step_models[i].failing_runs >= job.queue.max_failures;
    }
}

void Cell::try_submit(const std::string& id, int tries)
{
    ClientJob& job = m_jobs[id];
    if (job.accepted)
        return;
    if (tries >= max_tries) {
        if (!job.outcome_unknown)
            workers.note_refused(id);
        return;
    }
    NodeProcess* process = random_running_node();
    if (process == nullptr) {
        world.after(resubmit_pause, [this, id, tries] { try_submit(id, tries + 1); });
        return;
    }
    const auto caller = admit(name_of(*process), *process, job.queue, job.key);
    if (!caller || caller->workspace() != job.workspace) {
        // Denied, or the key was reassigned: its new owner would submit another's job.
        world.after(resubmit_pause, [this, id, tries] { try_submit(id, tries + 1); });
        return;
    }
    const auto answered = std::make_shared<bool>(false);
    process->node->submit(
        job.queue, id, job.spec, world.now(), client_limit,
        [this, id, tries, answered, process](ClientStatus status) {
            if (status == ClientStatus::refused)
                note_refusal(*process, id);
            if (!*answered)
                on_submit_reply(id, tries, status);
            *answered = true;
        },
        *caller);
    world.after(client_limit, [this, id, tries, answered] {
        if (*answered)
            return;
        *answered = true;
        m_jobs[id].outcome_unknown = true;
        try_submit(id, tries + 1);
    });
}

void Cell::on_submit_reply(const std::string& id, int tries, ClientStatus status)
{
    ClientJob& job = m_jobs[id];
    if (status == ClientStatus::ok) {
        job.accepted = true;
        job.accepted_at = world.now();
        return;
    }
    if (status == ClientStatus::in_doubt)
        job.outcome_unknown = true;
    if (status == ClientStatus::id_taken)
        workers.note_violation("the id of " + id + " was rejected as taken by another job");
    if (status == ClientStatus::over_bound)
        tries = max_tries; // A retry would not change that.
    world.after(resubmit_pause, [this, id, tries] { try_submit(id, tries + 1); });
}

void Cell::submit_again(const std::string& id)
{
    const ClientJob& job = m_jobs[id];
    NodeProcess* process = random_running_node();
    if (process != nullptr)
        process->node->submit(
            job.queue, id, job.spec, world.now(), client_limit, [](ClientStatus) {},
            caller_of(job));
}

void Cell::cancel(const std::string& id)
{
    NodeProcess* process = random_running_node();
    if (process == nullptr)
        return;
    m_jobs[id].cancel_requested = true;
    process->node->cancel(
        id, world.now(), client_limit,
        [this, id](ClientStatus status) {
            if (status != ClientStatus::ok)
                return;
            m_jobs[id].canceled = true;
            m_jobs[id].canceled_at = world.now();
            workers.note_canceled(id);
        },
        caller_of(m_jobs[id]));
}

std::optional<jobs::JobState> Cell::ask_state(const std::string& id)
{
    NodeProcess* process = random_running_node();
    if (process == nullptr)
        return std::nullopt;
    const auto answer = std::make_shared<std::optional<jobs::JobState>>();
    process->node->query(
        id, world.now(), client_limit,
        [answer](ClientStatus status, jobs::JobState state) {
            if (status == ClientStatus::ok)
                *answer = state;
        },
        caller_of(m_jobs[id]));
    world.run_for(client_limit);
    return *answer;
}

int64_t Cell::ask_pending(bool advised)
{
    const auto answer = std::make_shared<int64_t>(-1);
    NodeProcess* process = random_running_node();
    if (process == nullptr)
        return *answer;
    process->node->count_pending(queue(advised), world.now(), client_limit,
                                 [answer](ClientStatus status, int64_t count) {
                                     if (status == ClientStatus::ok)
                                         *answer = count;
                                 });
    world.run_for(Millis(50));
    return *answer;
}

void Cell::check_state(const std::string& id, const ClientJob& job,
                       std::vector<std::string>& problems)
{
    const auto state = ask_state(id);
    if (!state) {
        problems.push_back("no state was returned for the accepted job " + id);
        return;
    }
    if (!has_crashing_tasks(job) && !job_may_fail(id, job))
        check_lasting_tasks(id, job, problems);
    bool done = true;
    for (size_t i = 0; i < job.step_models.size(); ++i) {
        done = done
            && workers.all_done(id, static_cast<int>(i), job.step_models[i].count,
                                job.step_models[i].gang);
    }
    const std::string name = to_string(*state);
    if (*state == jobs::JobState::completed && !done)
        problems.push_back(id + " is shown as completed, but tasks are not done");
    if (*state == jobs::JobState::canceled && !job.cancel_requested)
        problems.push_back(id + " is shown as canceled without a request");
    if (*state == jobs::JobState::failed && !job.expected_to_fail && !job_may_fail(id, job))
        problems.push_back(id + " is shown as failed without cause");
    if (!is_final(*state) && (!has_lasting_tasks(job) || has_crashing_tasks(job)))
        problems.push_back(id + " has not ended: " + name);
}

std::vector<std::string> Cell::final_violations()
{
    std::vector<std::string> problems = workers.violations();
    problems.insert(problems.end(), m_liveness_violations.begin(),
                    m_liveness_violations.end());
    problems.insert(problems.end(), m_configuration_violations.begin(),
                    m_configuration_violations.end());
    for (const auto& [id, job] : m_jobs) {
        if (job.canceled && workers.has_running_task(id))
            problems.push_back(id + " was cancelled and is still running at the end");
        if (job.accepted)
            check_state(id, job, problems);
    }
    return problems;
}

} // namespace pathport::emulator
