// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "job_node_impl.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>
#include <iterator>

namespace pathport::jobs {

namespace {

constexpr Millis lead_tick_interval { 250 };
/// Minimum time between checks of the store on behalf of a leader that it does not serve.
constexpr Millis store_check_interval { 250 };
/// A follower that has been silent for this long gets no advice queries and relays no calls
/// to workers.
constexpr Millis follower_active_time { 1000 };
/// Size of a node's payload cache, in bytes: enough for ten seconds of the largest expected
/// load.
constexpr size_t max_payload_cache_bytes = size_t(1) << 20;
/// Maximum time between a look at the drained domains and the arrival of an order: a relay
/// may be short of processor time.
constexpr Millis max_order_time { 1000 };
/// Number of workspaces that have labelled metrics.
constexpr size_t max_labelled_workspaces = 100;
/// A new leader keeps nodes that have not sent a heartbeat in its list for this long.
constexpr Millis unheard_peer_time { 5000 };
/// Number of candidates that followers know, so that two may be lost with the leader.
constexpr size_t max_candidates = 3;
/// A silent follower's promise is required for this long; then the follower is dropped.
constexpr Millis follower_drop_time { 30000 };

} // namespace

JobNode::Impl::Impl(const NodeContext& context, const NodeSetup& setup)
    : m_context(context)
    , m_setup(setup)
    , m_store(context.loop, context.store, context.metrics)
    , m_configuration(context.loop, context.directory, context.peers, context.metrics,
                      setup.node)
    , m_gossip(context.peers, m_configuration, setup.peer_address)
    , m_acceptor(context.loop, m_store)
    , m_advice(context.loop, context.advisor, m_gossip, setup.mechanisms)
    , m_payloads(max_payload_cache_bytes)
    , m_relay(context.loop, context.workers, m_gossip, m_payloads, setup.node,
              setup.incarnation)
    , m_relayed(context.loop, context.workers, m_gossip,
                NodeCapacity { setup.cpu_millicores, setup.link_bytes_per_s },
                own_message())
    , m_relayed_directory(context.loop, context.directory, m_gossip, own_message(),
                          [this] { return m_relayed.first_relay(); })
    , m_list_reader(context.loop, context.directory)
    , m_leadership(
          context.loop, m_store, m_gossip,
          { setup.node, setup.peer_address, setup.incarnation, setup.cpu_millicores },
          *this)
{
}

void JobNode::Impl::begin()
{
    m_configuration.on_drains_changed([this] {
        if (m_scheduler)
            m_scheduler->drains_changed();
    });
    m_configuration.begin();
    m_leadership.begin();
}

void JobNode::Impl::begin_shutdown()
{
    m_shutting_down = true;
    m_shutdown_started = m_context.loop.now();
    m_leadership.retire();
    if (m_scheduler)
        consider_resigning();
    else
        notify_leader_of_shutdown();
}

void JobNode::Impl::elected(const Claim& claim, const std::string& predecessor)
{
    log_event(LogLevel::info, "elected", { { "epoch", claim.head.epoch } });
    m_followers.clear();
    m_probed.clear();
    m_unheard_peers = { m_peers.addresses().begin(), m_peers.addresses().end() };
    m_unheard_peers.erase(m_setup.peer_address);
    m_handing_over = false;
    m_follower_served_at.reset();
    m_logged_obstacle = HandOverObstacle::none;
    m_last_lead_tick = m_context.loop.now();
    m_elected_at = m_last_lead_tick;
    SchedulerContext context { m_context.loop,
                               m_store,
                               m_relayed_directory,
                               m_relayed,
                               m_advice,
                               m_context.wall_ms,
                               [this] { return m_store.clock_ms(); },
                               m_context.metrics,
                               WorkerTimeouts { m_setup.max_lease, m_setup.kill_grace,
                                                m_setup.gang_timeout,
                                                m_setup.drain_margin },
                               m_setup.archive_batch,
                               m_setup.link_bytes_per_s,
                               m_setup.mechanisms,
                               &m_store.clock(),
                               [this](const std::string& service) {
                                   const auto known = configuration();
                                   return !known || known->names_service(service);
                               },
                               [this] { return configuration(); },
                               [this] { return recent_drains(); } };
    std::vector<std::string> others;
    if (m_setup.mechanisms.uses(Mechanism::worker_relays))
        std::remove_copy(m_peers.addresses().begin(), m_peers.addresses().end(),
                         std::back_inserter(others), m_setup.peer_address);
    m_relayed.begin_epoch(claim.head.epoch, m_leader_call_load, others);
    m_scheduler = std::make_unique<Scheduler>(context, claim,
                                              m_lifetime.wrap([this] { deposed(); }));
    m_scheduler->begin();
    lead_tick();
    announce(predecessor);
    const std::set<std::string> others_known = m_unheard_peers;
    for (const std::string& peer : others_known) {
        if (peer != predecessor)
            announce(peer);
    }
}

// A task is started some time after its worker was chosen, so drains must not be older than
// their time limit less that time.
std::shared_ptr<const DrainedDomains> JobNode::Impl::recent_drains() const
{
    const Millis limit = m_setup.domain_drain_time;
    const bool recent = limit == Millis(0)
        || (drains()->version() > 0 && m_configuration.age() < limit - max_order_time);
    return recent ? drains() : nullptr;
}

// Returns a heartbeat message with this node's identity and the epoch that it knows.
PeerRequest JobNode::Impl::own_heartbeat() const
{
    PeerRequest request = own_message();
    request.epoch = m_leadership.epoch();
    return request;
}

PeerRequest JobNode::Impl::own_message() const
{
    PeerRequest request;
    request.topic = PeerTopic::heartbeat;
    request.node = m_setup.node;
    request.address = m_setup.peer_address;
    request.incarnation = m_setup.incarnation;
    request.cpu_millicores = m_setup.cpu_millicores;
    request.link_bytes_per_s = m_setup.link_bytes_per_s;
    return request;
}

// Asks a random other node, since nodes with access to the store know the leader.
void JobNode::Impl::leader_unknown()
{
    const std::vector<std::string>& peers = m_peers.addresses();
    if (peers.empty() || m_scheduler)
        return;
    const std::string peer = peers[m_context.loop.random() % peers.size()];
    m_gossip.send(peer, own_heartbeat(), probe_timeout,
                  m_lifetime.wrap([this, peer](PeerEnd end, const PeerAnswer& answer) {
                      if (end != PeerEnd::answered)
                          return;
                      if (answer.leads)
                          m_leadership.leader_announced(
                              { answer.epoch, { answer.node, peer, answer.incarnation } });
                      else
                          m_leadership.leader_announced({ answer.epoch,
                                                          { answer.leader, answer.leader,
                                                            answer.leader_incarnation } });
                  }));
}

// Announces the new leader, since other nodes may be unable to read the store.
void JobNode::Impl::announce(const std::string& address)
{
    if (address.empty())
        return;
    PeerRequest notice = own_heartbeat();
    notice.leads = true;
    m_gossip.send(address, notice, probe_timeout,
                  m_lifetime.wrap([this, address](PeerEnd end, const PeerAnswer&) {
                      if (end == PeerEnd::refused)
                          m_unheard_peers.erase(address);
                  }));
}

void JobNode::Impl::deposed()
{
    log_event(m_successor ? LogLevel::info : LogLevel::warn, "deposed",
              { { "epoch", m_leadership.epoch() } });
    m_scheduler.reset();
    m_relayed.end_epoch();
    m_followers.clear();
    m_advice.set_peers({});
    if (m_successor)
        m_leadership.handed_over(*m_successor);
    else if (!m_shutting_down)
        m_leadership.deposed();
    m_successor.reset();
}

void JobNode::Impl::fill_heartbeat(PeerRequest& request)
{
    request.link_bytes_per_s = m_setup.link_bytes_per_s;
    request.store_served = m_store.served();
    request.store_served_ago_ms = m_store.served_ago().count();
    request.store_fails = m_store.failing();
    request.store_call_ms = m_store.call_time().count();
    request.peers_hash = m_peers.hash();
    // A weaker leader needs to know whether the store is fast for this node, which may have
    // no other reason to call it.
    const bool may_succeed
        = m_setup.cpu_millicores > m_leadership.leader().identity.cpu_millicores;
    if (may_succeed && m_store.call_time() == Millis(0) && !m_store.failing())
        m_store.check();
    // The node promises not to claim only while the store is unavailable to it.
    if (!m_store.failing() || m_leader_sent_ms == 0)
        return;
    request.promises = true;
    request.echo_ms = m_leader_sent_ms;
    m_leadership.promise_no_claim_until(m_context.loop.now() + promise_time);
}

void JobNode::Impl::leader_answered(const PeerAnswer& answer)
{
    m_leader_sent_ms = answer.sent_ms;
    m_leader_served = answer.served;
    m_leader_call_load = { double(answer.call_rate), double(answer.call_bytes_per_s) };
    m_closed_queues = answer.closed;
    m_limited_queues = answer.limited;
    m_queue_lists_updated = m_context.loop.now();
    if (answer.peers.hash != m_peers.hash()) {
        if (!m_peers.apply(answer.peers))
            log_event(LogLevel::warn, "peer_list_outdated",
                      { { "leader", answer.node }, { "epoch", answer.epoch } });
        m_leadership.set_group_size(m_peers.addresses().size());
    }
    // If the store is unavailable to the leader, check whether it is available to this
    // node. All followers do so, and each check costs the leader a heartbeat.
    const Millis now = m_context.loop.now();
    if (answer.served || now - m_store_checked < store_check_interval)
        return;
    m_store_checked = now;
    m_store.check(m_lifetime.wrap([this] { m_leadership.heartbeat_now(); }));
}

void JobNode::Impl::lead_tick()
{
    if (!m_scheduler)
        return;
    discount_own_pause();
    const Millis now = m_context.loop.now();
    m_followers.refresh(now - follower_drop_time, now - follower_silence_limit);
    std::vector<std::string> active;
    std::vector<std::string> silent;
    m_followers.for_each([&](const std::string& address, const Follower& follower) {
        const bool is_active = now - follower.last_heard < follower_active_time;
        (is_active ? active : silent).push_back(address);
    });
    for (const std::string& address : silent)
        probe_follower(address);
    m_advice.set_peers(active);
    refresh_relays();
    refresh_candidates();
    update_peer_list();
    update_promises();
    log_hand_over_obstacle();
    consider_resigning();
    m_context.loop.after(lead_tick_interval, m_lifetime.wrap([this] { lead_tick(); }));
}

// A pause of this process must not count as silence of its followers. If it dropped them
// for that, no follower would be left whose promise its orders require.
void JobNode::Impl::discount_own_pause()
{
    const Millis now = m_context.loop.now();
    const Millis paused = now - m_last_lead_tick - lead_tick_interval;
    m_last_lead_tick = now;
    if (paused <= Millis(0))
        return;
    m_followers.discount(paused, now);
}

// Followers get the list of all nodes, so that the next leader can announce itself to all.
// A new leader begins with its predecessor's, since each difference goes to every follower.
void JobNode::Impl::update_peer_list()
{
    if (m_context.loop.now() - m_elected_at > unheard_peer_time)
        m_unheard_peers.clear();
    std::vector<std::string> addresses(m_unheard_peers.begin(), m_unheard_peers.end());
    m_followers.for_each(
        [&](const std::string& address, const Follower&) { addresses.push_back(address); });
    addresses.push_back(m_setup.peer_address);
    m_peers.set(std::move(addresses));
}

// A node in orderly shutdown is no longer a follower, so its share of the calls moves to
// other relays before it exits. A new leader uses the nodes known to its predecessor until
// all live followers have sent a heartbeat.
void JobNode::Impl::refresh_relays()
{
    const Millis now = m_context.loop.now();
    if (!m_setup.mechanisms.uses(Mechanism::worker_relays)
        || now - m_elected_at < follower_active_time)
        return;
    std::vector<RelayNode> nodes;
    m_followers.for_each([&](const std::string& address, const Follower& follower) {
        if (now - follower.last_heard < follower_active_time)
            nodes.push_back(
                { address, { follower.cpu_millicores, follower.link_bytes_per_s } });
    });
    m_relayed.set_nodes(std::move(nodes));
}

// A new leader goes by what its predecessor told until all live followers have sent a
// heartbeat.
void JobNode::Impl::refresh_candidates()
{
    const Millis now = m_context.loop.now();
    if (now - m_elected_at < unheard_peer_time)
        m_candidates = m_leadership.candidates();
    else
        m_candidates = m_followers.strongest(max_candidates, now - follower_active_time);
}

// A process that has been replaced at its address needs no promise. That a follower refuses
// connections does not show that its process has ended.
void JobNode::Impl::probe_follower(const std::string& address)
{
    if (!m_probed.insert(address).second)
        return;
    PeerRequest probe = own_heartbeat();
    probe.leads = true;
    m_gossip.send(address, probe, probe_timeout,
                  m_lifetime.wrap([this, address](PeerEnd end, const PeerAnswer& answer) {
                      m_probed.erase(address);
                      const Follower* const follower = m_followers.find(address);
                      if (end == PeerEnd::answered && follower != nullptr
                          && follower->incarnation != answer.incarnation)
                          m_followers.erase(address);
                  }));
}

void JobNode::Impl::update_promises()
{
    const Millis until = m_context.loop.now() + promise_time;
    m_scheduler->set_promised_until(
        std::min(until, m_followers.earliest_promise().value_or(until)));
}

void JobNode::Impl::update_gauges()
{
    Metrics& metrics = m_context.metrics;
    metrics.set("pathport_leads", m_scheduler ? 1 : 0);
    metrics.set("pathport_epoch", double(m_leadership.epoch()));
    metrics.set("pathport_config_version", double(m_configuration.version()));
    metrics.set("pathport_config_age_seconds",
                double(m_configuration.age().count()) / 1000);
    metrics.set("pathport_store_served", m_store.served() ? 1 : 0);
    metrics.set("pathport_log_lines_dropped", double(dropped_log_lines()));
    metrics.set("pathport_open_jobs", m_scheduler ? double(m_scheduler->open_jobs()) : 0);
    metrics.set("pathport_workers", m_scheduler ? double(m_scheduler->known_workers()) : 0);
    metrics.set("pathport_workers_reachable", double(reachable_workers()));
    metrics.set("pathport_log_backlog",
                m_scheduler ? double(m_scheduler->log().backlog()) : 0);
    metrics.set("pathport_advice_waiting", double(m_advice.waiting()));
    update_workspace_gauges();
}

std::vector<WorkspaceLoad> JobNode::Impl::workspace_loads() const
{
    return m_scheduler ? m_scheduler->workspace_loads() : std::vector<WorkspaceLoad>();
}

// Workspaces beyond the number with labelled metrics are left out; the page of all
// workspaces lists them.
void JobNode::Impl::update_workspace_gauges()
{
    const std::vector<WorkspaceLoad> loads = workspace_loads();
    for (size_t i = 0; i < loads.size() && i < max_labelled_workspaces; ++i) {
        const WorkspaceLoad& load = loads[i];
        const MetricLabels labels { { "workspace", load.workspace.name } };
        Metrics& metrics = m_context.metrics;
        metrics.set("pathport_workspace_running_cpus",
                    double(load.running.cpu_millis) / 1000, labels);
        metrics.set("pathport_workspace_bound_cpus",
                    double(load.workspace.bound.cpu_millis) / 1000, labels);
        metrics.set("pathport_workspace_waiting_jobs", load.waiting_jobs, labels);
    }
}

JobNode::JobNode(const NodeContext& context, const NodeSetup& setup)
    : m_impl(std::make_unique<Impl>(context, setup))
{
}

JobNode::~JobNode() = default;

void JobNode::begin()
{
    m_impl->begin();
}

void JobNode::begin_shutdown()
{
    m_impl->begin_shutdown();
}

bool JobNode::ready() const
{
    return m_impl->ready();
}

bool JobNode::leads() const
{
    return m_impl->leads();
}

std::shared_ptr<const Configuration> JobNode::configuration() const
{
    return m_impl->configuration();
}

Millis JobNode::configuration_age() const
{
    return m_impl->tracker().age();
}

bool JobNode::configuration_is_fresh() const
{
    return m_impl->tracker().is_fresh();
}

Millis JobNode::closed_queue_retry_after(const std::string& queue) const
{
    return m_impl->closed_queue_retry_after(queue);
}

Millis JobNode::retry_after_refusal(const Queue& queue, const JobSpec& spec,
                                    const std::string& id) const
{
    return m_impl->retry_after_refusal(queue, spec, id);
}

void JobNode::on_configuration(std::function<void(const Configuration&)> listener)
{
    m_impl->on_configuration(std::move(listener));
}

callers::CallerCheck JobNode::check_caller(const Configuration& configuration,
                                           const Queue& queue,
                                           const callers::PresentedKey& key)
{
    return m_impl->check_caller(configuration, queue, key);
}

void JobNode::submit(const Queue& queue, const std::string& id, const JobSpec& spec,
                     Millis received, Millis limit, ClientReply done,
                     const callers::Caller& caller)
{
    m_impl->submit(queue, id, spec, received, limit, caller, std::move(done));
}

void JobNode::cancel(const std::string& id, Millis received, Millis limit, ClientReply done,
                     const callers::Caller& caller)
{
    m_impl->cancel(id, received, limit, caller, std::move(done));
}

void JobNode::query(const std::string& id, Millis received, Millis limit, StateReply done,
                    const callers::Caller& caller)
{
    m_impl->query(id, received, limit, caller, std::move(done));
}

void JobNode::count_pending(const Queue& queue, Millis received, Millis limit,
                            CountReply done)
{
    m_impl->count_pending(queue, received, limit, std::move(done));
}

void JobNode::handle_peer(const PeerRequest& request, PeerResponder done)
{
    m_impl->handle_peer(request, std::move(done));
}

std::vector<WorkspaceLoad> JobNode::workspace_loads() const
{
    return m_impl->workspace_loads();
}

size_t JobNode::reachable_workers() const
{
    return m_impl->reachable_workers();
}

void JobNode::update_gauges()
{
    m_impl->update_gauges();
}

} // namespace pathport::jobs
