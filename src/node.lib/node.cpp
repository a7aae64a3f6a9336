// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "node.h"

#include <pathport/ids.h>
#include <pathport/log.h>

#include <future>

namespace pathport {

namespace {

constexpr Millis peer_call_timeout { 1000 };
constexpr Millis sweep_pause { 10 };
constexpr Millis config_freshness { 2500 };
// Given to an answer that is on its way between nodes when the request's time ends.
constexpr Millis answer_grace { 30 };
constexpr Millis retry_when_cut_off { 500 };
constexpr Millis ask_limit { 1200 };
/// How long a stopping node waits for the table to answer and for another node to appear.
/// Longer than a restart of the other nodes, and than it takes to judge one dead.
constexpr Millis hand_over_patience { 2500 };

NodeRecord make_self(const NodeSettings& s, const std::string& incarnation)
{
    NodeRecord self;
    self.node = s.node;
    self.incarnation = incarnation;
    self.region = s.region;
    self.domain = s.domain;
    self.peer_address = s.peers.to_string();
    return self;
}

} // namespace

Node::Node(const NodeSettings& settings)
    : m_settings(settings)
    , m_incarnation(random_token())
    , m_table(settings.table, settings.node, settings.table_timeout)
    , m_box_list(settings.box_list, settings.table_timeout)
    , m_objects(settings.objects, settings.table_timeout)
    , m_box_agent(settings.box_timeout)
    , m_target_client(settings.request_limit)
    , m_cell(m_clock, make_self(settings, m_incarnation), settings.membership)
    , m_config_writer(m_table, m_config, settings.node, m_incarnation)
    , m_own_lane(m_table, settings.node + "." + m_incarnation + ".own")
    , m_task_lane(m_table, settings.node + "." + m_incarnation + ".tasks")
    , m_job_lane(m_table, settings.node + "." + m_incarnation + ".jobs")
    , m_audit_lane(m_table, settings.node + "." + m_incarnation + ".audit")
    , m_admission(settings.admission)
    , m_keeper(m_clock, settings.node + "/" + m_incarnation, settings.keeper)
    , m_dispatcher(m_clock, m_target_client, *this, DispatchLimits())
    , m_router(m_clock, m_cell, *this, stable_hash(m_incarnation))
    , m_timers(std::make_unique<Timers>())
    , m_hub(std::make_unique<PeerHub>(settings.peers, peer_call_timeout,
                                      static_cast<PeerHandler&>(*this)))
{
}

Node::~Node()
{
    stop();
}

bool Node::start(Failure& reason)
{
    if (!m_metrics.serve(m_settings.metrics)) {
        reason = Failure(FailureKind::unavailable,
                         "can't listen on " + m_settings.metrics.to_string());
        return false;
    }
    if (!m_hub->start(reason))
        return false;
    m_heartbeat_thread = std::thread([this] { heartbeat_loop(); });
    m_peer_thread = std::thread([this] { peer_loop(); });
    m_platform_thread = std::thread([this] { platform_loop(); });
    m_keeper_thread = std::thread([this] { keeper_loop(); });
    m_commit_thread = std::thread([this] { commit_loop(); });
    sweep();
    log_event(LogLevel::info, "node_started", { { "incarnation", m_incarnation } });
    return true;
}

void Node::sweep()
{
    m_dispatcher.expire();
    if (!m_stopping)
        m_timers->after(sweep_pause, [this] { sweep(); });
}

void Node::leave()
{
    log_event(LogLevel::info, "node_leaving");
    const Millis limit = m_clock.now() + m_settings.stop_limit;
    const auto wait_for = [&](const std::function<bool()>& reached) {
        while (m_clock.now() < limit && !reached())
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    };
    m_cell.set_leaving();
    m_leaving = true;
    wake_heartbeat();
    // Without the table or without other nodes nothing can be handed over; others take it
    // when they can. One failed heartbeat, or the restart of all others, is no reason to
    // leave ids in doubt.
    Millis possible_at = m_clock.now();
    wait_for([this, &possible_at] {
        const Millis now = m_clock.now();
        if (m_cell.table_reachable() && !m_cell.live_nodes().empty())
            possible_at = now;
        return m_left || now - possible_at >= hand_over_patience;
    });
    // From here on this node can only pass requests on; the balancer finds others.
    m_refusing = true;
    wait_for([this] { return m_open_requests == 0 && m_open_hand_overs == 0; });
    log_event(LogLevel::info, "node_left",
              { { "shards_left", uint64_t(m_keeper.shards().size()) },
                { "requests_left", m_open_requests.load() } });
}

void Node::stop()
{
    m_stopping = true;
    m_wake.notify_all();
    for (std::thread* thread : { &m_heartbeat_thread, &m_peer_thread, &m_platform_thread,
                                 &m_keeper_thread, &m_commit_thread }) {
        if (thread->joinable())
            thread->join();
    }
    m_timers.reset();
    m_hub->stop();
}

void Node::wake_heartbeat()
{
    {
        const std::lock_guard<std::mutex> lock(m_wake_mutex);
        m_heartbeat_due = true;
    }
    m_wake.notify_all();
}

void Node::wake_keeper()
{
    {
        const std::lock_guard<std::mutex> lock(m_wake_mutex);
        m_keeper_due = true;
    }
    m_wake.notify_all();
}

NodeHealth Node::health() const
{
    NodeHealth health;
    health.table_reachable = m_cell.table_reachable();
    health.config_current = m_cell.is_current(config_freshness);
    health.leaving = m_leaving;
    health.config_revision = m_config.snapshot()->revision;
    health.queued = m_dispatcher.queued();
    health.remembered_ids = m_admission.size();
    return health;
}

void Node::request(const ForwardRequest& request,
                   const std::function<void(ForwardAnswer)>& done)
{
    if (!m_cell.is_current(config_freshness)) {
        done(not_run_answer(FailureKind::unavailable,
                            "this node is cut off and can't know the configuration",
                            retry_when_cut_off));
        return;
    }
    if (m_refusing) {
        done(not_run_answer(FailureKind::unavailable, "this node is stopping", Millis(1)));
        return;
    }
    const auto open = std::make_shared<Open>();
    ++m_open_requests;
    const std::string id = request.request_id;
    const auto finish = [this, open, id, done](const ForwardAnswer& answer) {
        // The deadline's answer and the target's may come at once; the first one counts.
        if (open->answered.exchange(true))
            return;
        if (answer.outcome == RequestOutcome::may_have_run)
            log_event(LogLevel::info, "request_in_doubt",
                      { { "request", id },
                        { "reason", answer.failure.detail() },
                        { "leaving", m_leaving.load() } });
        done(answer);
        --m_open_requests;
    };
    m_timers->after(request.time_left + answer_grace,
                    [finish] { finish(may_have_run_answer("no answer within its time")); });
    m_router.route(request, finish);
}

void Node::on_forward(ForwardRequest request, std::function<void(ForwardAnswer)> done)
{
    ++m_open_requests;
    const auto finish = [this, done = std::move(done)](const ForwardAnswer& answer) {
        done(answer);
        --m_open_requests;
    };
    if (request.stage == ForwardStage::admit)
        m_router.admit_and_route(request, finish);
    else
        m_dispatcher.submit(request, finish);
}

void Node::dispatch_here(const ForwardRequest& request,
                         std::function<void(ForwardAnswer)> done)
{
    m_dispatcher.submit(request, done);
}

AdmissionVerdict Node::admit_here(const ForwardRequest& request)
{
    const auto id_time = uuid7_time(request.request_id);
    // The moment of the decision: all that follows may be held up without harm, since a
    // later owner admits no id that could be admitted at this moment.
    const auto point = m_cell.lease_point();
    if (!id_time || !point)
        return AdmissionVerdict::not_owner;
    const AdmissionVerdict verdict
        = m_admission.admit(request.request_id, *id_time, *point);
    if (verdict != AdmissionVerdict::admitted)
        m_metrics.count("pathport_admission_refused_total",
                        { { "verdict", to_string(verdict) } });
    return verdict;
}

void Node::release_here(const ForwardRequest& request)
{
    m_admission.release(request.request_id);
}

void Node::forward(const std::string& address, const ForwardRequest& request,
                   std::function<void(ForwardAnswer)> done)
{
    ForwardRequest sent = request;
    sent.from = m_settings.node;
    m_metrics.count("pathport_forwards_total");
    m_hub->forward(address, sent, std::move(done));
}

void Node::on_target_trouble(const std::string& box)
{
    m_keeper.hurry(box);
    wake_keeper();
}

int64_t Node::in_flight(const std::string& box, const std::string& service) const
{
    return m_dispatcher.in_flight(box, service);
}

Beat Node::on_beat(const Beat& beat)
{
    const auto address = m_cell.address_of(beat.node);
    m_cell.observe_beat(beat, address.value_or(""), Millis());
    if (beat.config_revision > m_config.snapshot()->revision && address)
        fetch_config(*address);
    Beat answer = make_own_beat(beat.node);
    answer.promise = m_cell.promise_to(beat.node, beat.incarnation);
    return answer;
}

std::vector<ConfigRow> Node::on_config_since(int64_t revision)
{
    return m_config.since(revision);
}

void Node::on_wake(const std::vector<std::string>& /*shards*/)
{
    wake_heartbeat();
}

void Node::on_hand_over(const std::string& shard, int64_t epoch, const RangeMemory& memory)
{
    const auto range = admission_range_of(shard);
    if (range)
        m_admission.take_memory(*range, epoch, memory);
    // What waited for it can be given on.
    if (m_leaving)
        wake_heartbeat();
}

std::optional<std::string> Node::on_ask(const std::string& kind, const std::string& name)
{
    if (kind == "why")
        return m_keeper.explain(name);
    return std::nullopt;
}

void Node::wake(const std::vector<std::string>& shards)
{
    wake_heartbeat();
    const auto rows = m_cell.shard_rows();
    std::map<std::string, std::vector<std::string>> by_address;
    for (const MemberView& member : m_cell.members()) {
        if (shards.empty())
            by_address[member.record.peer_address];
        for (const std::string& shard : shards) {
            const auto row = rows.find(shard);
            if (row != rows.end() && row->second.record.owner == member.record.node)
                by_address[member.record.peer_address].push_back(shard);
        }
    }
    for (const auto& item : by_address)
        m_hub->wake(item.first, item.second);
}

std::optional<std::string> Node::ask_all(const std::string& kind, const std::string& name)
{
    if (auto own = on_ask(kind, name))
        return own;
    struct Asked {
        std::mutex mutex;
        std::condition_variable changed;
        size_t open = 0;
        std::optional<std::string> answer;
    };
    const auto asked = std::make_shared<Asked>();
    const std::vector<MemberView> members = m_cell.members();
    asked->open = members.size();
    for (const MemberView& member : members) {
        m_hub->ask(member.record.peer_address, kind, name,
                   [asked](std::optional<std::string> answer) {
                       const std::lock_guard<std::mutex> lock(asked->mutex);
                       --asked->open;
                       if (answer && !asked->answer)
                           asked->answer = std::move(answer);
                       asked->changed.notify_all();
                   });
    }
    std::unique_lock<std::mutex> lock(asked->mutex);
    asked->changed.wait_for(lock, std::chrono::milliseconds(ask_limit.count()),
                            [&] { return asked->open == 0 || asked->answer; });
    return asked->answer;
}

} // namespace pathport
