// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "leadership.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis heartbeat_interval { 250 };
/// In large cells, heartbeats are sent less often: the first of many nodes detects a lost
/// leader as quickly, and 146 nodes with four heartbeats a second would cost the leader 584
/// exchanges a second. The interval stays below the time after which the leader probes a
/// follower itself.
constexpr Millis max_heartbeat_interval { 500 };
constexpr int64_t heartbeat_interval_per_node_ms = 4;
constexpr Millis heartbeat_timeout { 300 };
/// An answer that comes within this time still shows that the leader lives, so it must be
/// longer than a claim takes after the loss of one.
constexpr Millis late_heartbeat_timeout { 1200 };
/// Delay before the next heartbeat after a refused connection.
constexpr Millis refused_retry_delay { 40 };
/// Consecutive refused connections after which the leader counts as unresponsive.
constexpr int max_refusals = 2;
/// An unresponsive leader is considered gone when its head row has not changed for this
/// long. A live leader writes the row several times in that period.
constexpr Millis head_stall_timeout { 600 };
/// The same for one that refuses connections, as mostly a dead one does. A live leader
/// writes the row in that period while jobs come or end; an idle one may be replaced
/// needlessly, which holds up nothing.
constexpr Millis refused_head_stall_timeout { 200 };
/// A less powerful leader has this long to hand over to a node that could lead: it hears of
/// the node by its next heartbeat and hands over by its next write.
constexpr Millis max_hand_over_time
    = max_heartbeat_interval + heartbeat_timeout + head_stall_timeout;
/// Multiple of the store's last read time that is added to `head_stall_timeout` and to
/// `weaker_node_delay`: a slow store delays both the leader's writes and other nodes'
/// claims.
constexpr int64_t slow_store_multiple = 3;
/// Multiple of the leader's lateness that is added to `head_stall_timeout`: the timer of
/// its next write and the answer to the last one are late, and a pass may come between.
constexpr int64_t late_leader_multiple = 3;
/// Interval at which the rows are read while the leader does not answer.
constexpr Millis unresponsive_read_interval { 120 };
constexpr Millis refused_read_interval { 60 };
/// A node that the rows name as leader may not yet know that its claim took effect.
constexpr Millis claim_grace { 600 };
constexpr Millis claim_recheck_delay { 50 };
constexpr Millis store_retry_delay { 100 };
/// Claims are delayed at random by up to this, so that several nodes don't claim at once.
constexpr uint64_t claim_spread_ms = 40;
/// A node waits this long for more powerful nodes to claim first: a heartbeat interval,
/// within which they detect the same, plus the time of a claim. Meanwhile they tell whether
/// they can.
constexpr Millis weaker_node_delay { 400 };
/// A node claims after this time although more powerful ones tell that they can, in case
/// they never do.
constexpr Millis max_deferral { 5000 };
constexpr Millis read_timeout { 1000 };
/// A leader counts as responsive for this long after an answer.
constexpr Millis responsive_time { 900 };
/// Index of the candidates in the leader row's JSON array, which are there if any is known.
constexpr size_t candidates_index = 5;

} // namespace

const char* to_string(ClaimReason reason)
{
    switch (reason) {
    case ClaimReason::vacant:
        return "vacant";
    case ClaimReason::not_leading:
        return "not_leading";
    case ClaimReason::head_stalled:
        return "head_stalled";
    case ClaimReason::not_handed_over:
        break;
    }
    return "not_handed_over";
}

std::string encode(const LeaderValue& leader)
{
    auto json = nlohmann::json::array(
        { leader.epoch, leader.identity.node, leader.identity.address,
          leader.identity.incarnation, leader.identity.cpu_millicores });
    auto candidates = nlohmann::json::array();
    for (const Candidate& candidate : leader.candidates)
        candidates.push_back({ candidate.address, candidate.cpu_millicores });
    if (!candidates.empty())
        json.push_back(std::move(candidates));
    return json.dump();
}

std::optional<LeaderValue> decode_leader(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        LeaderValue leader;
        leader.epoch = json.at(0).get<int64_t>();
        leader.identity.node = json.at(1).get<std::string>();
        leader.identity.address = json.at(2).get<std::string>();
        leader.identity.incarnation = json.at(3).get<std::string>();
        leader.identity.cpu_millicores = json.at(4).get<int>();
        // Earlier versions stored no candidates.
        if (json.size() > candidates_index) {
            for (const auto& candidate : json.at(candidates_index))
                leader.candidates.push_back(
                    { candidate.at(0).get<std::string>(), candidate.at(1).get<int>() });
        }
        return leader;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::vector<Candidate> without(std::vector<Candidate> candidates,
                               const std::string& address)
{
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const Candidate& candidate) {
                                        return candidate.address == address;
                                    }),
                     candidates.end());
    return candidates;
}

Leadership::Leadership(EventLoop& loop, JobStore& store, PeerClient& peers,
                       NodeIdentity identity, LeadershipListener& listener)
    : m_loop(loop)
    , m_store(store)
    , m_peers(peers)
    , m_identity(std::move(identity))
    , m_listener(listener)
    , m_writer(loop, store)
{
}

Leadership::~Leadership()
{
    m_loop.cancel(m_timer);
}

void Leadership::begin()
{
    read_rows();
}

void Leadership::retire()
{
    m_retired = true;
    m_loop.cancel(m_timer);
    m_timer = 0;
}

void Leadership::deposed()
{
    m_leading = false;
    m_leader_silent = false;
    m_refusals = 0;
    read_rows();
    leader_announced(m_announced);
}

void Leadership::handed_over(const LeaderValue& successor)
{
    m_leading = false;
    m_leader_silent = false;
    m_refusals = 0;
    m_leader_version = 0; // The rows are read again before a claim.
    follow_new_leader(successor);
    if (!m_retired)
        schedule_follow(heartbeat_interval);
}

std::string Leadership::leader_address() const
{
    return m_leading ? std::string() : m_leader.identity.address;
}

bool Leadership::leader_responsive() const
{
    return m_leading || m_loop.now() - m_leader_answered_at < responsive_time;
}

void Leadership::heartbeat_now()
{
    if (m_timer != 0)
        schedule_follow(Millis(0));
}

void Leadership::leader_resigned(int64_t epoch)
{
    if (m_leading || epoch != m_leader.epoch)
        return;
    want_claim();
    read_rows();
}

void Leadership::want_claim()
{
    m_claim_wanted = true;
    m_claim_wanted_at = m_loop.now();
}

void Leadership::leader_announced(const LeaderValue& leader)
{
    if (m_leading)
        m_announced = leader;
    if (m_leading || m_retired || leader.epoch <= m_leader.epoch
        || leader.identity.address.empty()
        || leader.identity.incarnation == m_identity.incarnation)
        return;
    follow_new_leader(leader);
    // The rows are authoritative once they have been read again.
    m_leader_version = 0;
    m_claim_wanted = false;
    schedule_follow(Millis(0));
}

void Leadership::follow_new_leader(const LeaderValue& leader)
{
    m_leader = leader;
    m_leader_known_since = m_loop.now();
    forget_deferral();
    if (!less_powerful_leader())
        m_could_lead_since.reset();
    m_leader_silent = false;
    m_answers_late = false;
    m_refusals = 0;
    log_event(LogLevel::info, "leader_known",
              { { "leader", m_leader.identity.node }, { "epoch", m_leader.epoch } });
}

// The leader may have claimed again since this node learned of it, and one that another
// node named is known by its address alone.
void Leadership::update_leader(const PeerAnswer& answer)
{
    if (answer.epoch > m_leader.epoch) {
        follow_new_leader({ answer.epoch,
                            { answer.node, m_leader.identity.address, answer.incarnation,
                              answer.cpu_millicores } });
        m_leader_version = 0; // The rows are read again before a claim.
    } else if (answer.cpu_millicores > 0) {
        m_leader.identity.cpu_millicores = answer.cpu_millicores;
    }
}

bool Leadership::less_powerful_leader() const
{
    const int leader_millicores = m_leader.identity.cpu_millicores;
    return leader_millicores > 0 && leader_millicores < m_identity.cpu_millicores;
}

// Returns whether the leader is less powerful and has had the time to hand over to this
// node. It may have any reason not to, or none; what it orders until it learns of the claim
// is fenced at the workers, as with any claim. A node that does not hear the leader at all
// may itself be the one that is cut off, and judges the leader by its row instead.
bool Leadership::hand_over_overdue()
{
    const Millis now = m_loop.now();
    const bool looked_lately = now - m_hand_over_looked_at < late_heartbeat_timeout;
    const bool hears_leader = now - m_leader_heard_at < late_heartbeat_timeout;
    m_hand_over_looked_at = now;
    if (!less_powerful_leader() || !hears_leader || !looked_lately
        || !m_listener.could_lead()) {
        m_could_lead_since.reset();
        return false;
    }
    if (!m_could_lead_since)
        m_could_lead_since = now;
    // The most powerful nodes go first.
    const Millis limit
        = should_yield() ? max_hand_over_time + max_deferral : max_hand_over_time;
    return now - *m_could_lead_since >= limit;
}

void Leadership::schedule_follow(Millis delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_timer = 0;
        follow();
    }));
}

void Leadership::read_rows()
{
    if (m_reading || m_leading || m_retired || m_claiming)
        return;
    m_reading = true;
    StoreRange range;
    range.table = lead_table;
    range.partition = scheduler_partition;
    m_read_started = m_loop.now();
    m_store.read(range, read_timeout, m_lifetime.wrap([this](const StoreResult& result) {
        m_reading = false;
        if (result.status == StoreStatus::ok) {
            m_read_time = m_loop.now() - m_read_started;
            discount_unobserved_time();
        }
        m_row_unobserved = result.status != StoreStatus::ok;
        rows_read(result);
    }));
}

// The time for which this node could not read the head row does not count as time for which
// the row stood. After an outage that time begins anew, since the leader could not write
// the row either.
void Leadership::discount_unobserved_time()
{
    const Millis now = m_loop.now();
    const Millis unobserved = now - m_row_observed_at;
    m_row_observed_at = now;
    if (!m_row_unobserved)
        return;
    m_head_stalled_since = m_head_stalled_since + unobserved;
    if (unobserved >= head_stall_timeout)
        m_stalled_head_version = no_version;
}

// Ignored while a claim is in flight, since the claim's own result decides.
void Leadership::rows_read(const StoreResult& result)
{
    if (m_leading || m_retired || m_claiming)
        return;
    if (result.status != StoreStatus::ok) {
        // Without the store this node can't claim; it asks the previous leader and other
        // nodes. What it knew of the leader may have changed when the store is back.
        m_claim_wanted = false;
        forget_deferral();
        m_could_lead_since.reset();
        m_listener.leader_unknown();
        if (m_rows_known)
            schedule_follow(store_retry_delay);
        else
            m_loop.after(store_retry_delay, m_lifetime.wrap([this] { read_rows(); }));
        return;
    }
    const int64_t epoch = m_leader.epoch;
    const std::string previous_address = m_leader.identity.address;
    const int64_t previous_head_version = m_head_version;
    m_rows_known = true;
    m_leader_version = 0;
    m_head_version = 0;
    for (const StoredRow& row : result.rows) {
        if (row.id.key == leader_key) {
            const auto leader = decode_leader(row.value);
            m_leader = leader ? *leader : LeaderValue();
            m_leader_version = row.version;
        }
        if (row.id.key == head_key) {
            const auto head = decode_head(row.value);
            m_head = head ? *head : unreadable_head();
            m_head_version = row.version;
        }
    }
    if (m_candidates.empty())
        m_candidates = m_leader.candidates;
    if (m_leader.epoch != epoch) {
        m_predecessor = previous_address;
        follow_new_leader(m_leader);
        m_claim_wanted = false;
    }
    if (m_head_version != previous_head_version)
        forget_deferral();
    act_on_rows();
}

void Leadership::act_on_rows()
{
    const bool own_row = m_leader.identity.incarnation == m_identity.incarnation;
    if (own_row && m_head.handed_over() && m_head.epoch == m_leader.epoch) {
        // Any later claim is made after this read, so the lease counts from the read's
        // start.
        m_claimed_head = m_head;
        become_leader(m_head_version, m_read_started);
        return;
    }
    if (own_row && m_head == m_claimed_head) {
        // A claim whose reply was lost took effect.
        become_leader(m_head_version, m_claim_started);
        return;
    }
    const bool no_leader
        = m_leader.epoch == 0 || own_row || m_leader.identity.address == m_identity.address;
    if (no_leader || m_claim_wanted) {
        claim(no_leader ? ClaimReason::vacant : ClaimReason::not_leading);
        return;
    }
    if (hand_over_overdue()) {
        claim(ClaimReason::not_handed_over);
        return;
    }
    if (!m_leader_silent) {
        schedule_follow(Millis(0));
        return;
    }
    const Millis now = m_loop.now();
    if (m_head_version != m_stalled_head_version) {
        m_stalled_head_version = m_head_version;
        m_head_stalled_since = now;
    }
    const bool refuses = m_refusals >= max_refusals;
    Millis timeout = refuses ? refused_head_stall_timeout : head_stall_timeout;
    // One that still answers, late, can do nothing for the cell once its lease has ended.
    const bool answers_late
        = m_answers_late && now - m_leader_answered_at < late_heartbeat_timeout;
    if (answers_late && !refuses)
        timeout = leader_lease;
    if (now - m_head_stalled_since
        >= timeout + slow_store_allowance() + late_leader_allowance()) {
        claim(ClaimReason::head_stalled);
        return;
    }
    schedule_follow(refuses ? refused_read_interval : unresponsive_read_interval);
}

void Leadership::follow()
{
    if (m_leading || m_retired || m_claiming || m_reading)
        return;
    ask_leader();
}

// At most one heartbeat to a leader is open and not overdue; its completion schedules the
// next step.
void Leadership::ask_leader()
{
    const bool open = m_open_heartbeat && !m_open_heartbeat->ended
        && !m_open_heartbeat->overdue && m_open_heartbeat->epoch == m_leader.epoch;
    if (open)
        return;
    const auto heartbeat = std::make_shared<Heartbeat>();
    heartbeat->epoch = m_leader.epoch;
    heartbeat->number = ++m_last_heartbeat;
    m_open_heartbeat = heartbeat;
    PeerRequest request;
    request.topic = PeerTopic::heartbeat;
    request.node = m_identity.node;
    request.address = m_identity.address;
    request.incarnation = m_identity.incarnation;
    request.epoch = m_leader.epoch;
    request.cpu_millicores = m_identity.cpu_millicores;
    m_listener.fill_heartbeat(request);
    m_peers.send(m_leader.identity.address, request, late_heartbeat_timeout,
                 m_lifetime.wrap([this, heartbeat](PeerEnd end, const PeerAnswer& answer) {
                     heartbeat_answered(end, answer, heartbeat);
                 }));
    m_loop.after(heartbeat_timeout, m_lifetime.wrap([this, heartbeat] {
        if (!heartbeat->ended)
            heartbeat_overdue(heartbeat);
    }));
}

void Leadership::heartbeat_overdue(const HeartbeatPtr& heartbeat)
{
    if (heartbeat->overdue)
        return;
    heartbeat->overdue = true;
    if (m_leading || m_retired || heartbeat->epoch != m_leader.epoch)
        return;
    m_refusals = 0;
    on_heartbeat_timeout();
}

// An overdue heartbeat may still be answered: a leader that is late is not gone.
void Leadership::heartbeat_answered(PeerEnd end, const PeerAnswer& answer,
                                    const HeartbeatPtr& heartbeat)
{
    if (end == PeerEnd::silent) {
        heartbeat_overdue(heartbeat);
        return;
    }
    heartbeat->ended = true;
    const int64_t epoch = heartbeat->epoch;
    if (m_leading || m_retired || epoch != m_leader.epoch
        || heartbeat->number < m_answered_heartbeat)
        return;
    m_answered_heartbeat = heartbeat->number;
    if (end == PeerEnd::refused) {
        on_heartbeat_refused();
        return;
    }
    m_refusals = 0;
    if (answer.leads)
        m_leader_heard_at = m_loop.now();
    // A more powerful node would do better than a leader that is late.
    if (heartbeat->overdue && m_identity.cpu_millicores > m_leader.identity.cpu_millicores
        && answer.leads && !answer.resigned)
        return;
    m_leader_silent = false;
    m_answers_late = heartbeat->overdue;
    if (answer.leads && answer.epoch >= epoch && !answer.resigned) {
        m_leader_answered_at = m_loop.now();
        m_claim_wanted = false;
        forget_deferral();
        update_leader(answer);
        if (!answer.candidates.empty())
            m_candidates = answer.candidates;
        m_listener.leader_answered(answer);
        if (hand_over_overdue())
            read_rows();
        else
            schedule_follow(next_heartbeat_delay());
        return;
    }
    if (answer.epoch > epoch && !answer.leader.empty()) {
        leader_announced(
            { answer.epoch, { answer.leader, answer.leader, answer.leader_incarnation } });
        if (m_leader.epoch > epoch)
            return;
    }
    const Millis now = m_loop.now();
    const bool same_process = answer.incarnation == m_leader.identity.incarnation;
    if (same_process && !answer.leads && now - m_leader_known_since < claim_grace) {
        schedule_follow(claim_recheck_delay);
        return;
    }
    // It resigned, was deposed or is another process; the rows tell which.
    want_claim();
    read_rows();
}

Millis Leadership::next_heartbeat_delay() const
{
    const auto interval
        = Millis(static_cast<int64_t>(m_group_size) * heartbeat_interval_per_node_ms);
    return std::clamp(interval, heartbeat_interval, max_heartbeat_interval);
}

void Leadership::on_heartbeat_refused()
{
    if (++m_refusals < max_refusals) {
        schedule_follow(refused_retry_delay);
        return;
    }
    note_unresponsive_leader();
    read_rows();
}

void Leadership::note_unresponsive_leader()
{
    if (m_leader_silent)
        return;
    m_leader_silent = true;
    if (!m_answers_late)
        m_stalled_head_version = no_version;
    log_event(LogLevel::warn, "leader_silent",
              { { "leader", m_leader.identity.node },
                { "epoch", m_leader.epoch },
                { "refusals", m_refusals },
                { "answered_ms_ago", (m_loop.now() - m_leader_answered_at).count() } });
}

void Leadership::on_heartbeat_timeout()
{
    const bool first_timeout = !m_leader_silent;
    note_unresponsive_leader();
    read_rows();
    // A heartbeat may be lost on a dead connection, and the read of the rows may take a
    // second on another one. A second heartbeat meanwhile makes a healthy leader count as
    // responsive 0.3 s after the loss instead of up to 1.4 s (leadership_test).
    if (first_timeout && m_reading)
        ask_leader();
}

void Leadership::claim(ClaimReason reason)
{
    if (m_claiming || m_deferring || m_leading || m_retired)
        return;
    const Millis now = m_loop.now();
    if (now < m_no_claim_until) {
        schedule_follow(m_no_claim_until - now);
        return;
    }
    // hand_over_overdue() has waited for more powerful nodes, and for each node from
    // another moment on.
    const bool waited = reason == ClaimReason::not_handed_over;
    if (!waited && should_yield() && !m_deferred) {
        defer_claim();
        return;
    }
    m_claiming = true;
    m_claim_wanted = false;
    m_claim_reason = reason;
    const Millis spread(waited ? 0
                               : static_cast<int64_t>(m_loop.random() % claim_spread_ms));
    m_loop.after(spread, m_lifetime.wrap([this] { send_claim(); }));
}

// Returns whether a more powerful node is known that should lead instead.
bool Leadership::should_yield() const
{
    return m_identity.cpu_millicores < strongest_rival();
}

// Returns the processor time of the most powerful node that may claim. A node that has just
// started knows only of the previous leader.
int Leadership::strongest_rival() const
{
    if (m_candidates.empty())
        return m_leader.identity.cpu_millicores;
    int strongest = 0;
    for (const Candidate& candidate : m_candidates)
        strongest = std::max(strongest, candidate.cpu_millicores);
    return strongest;
}

Millis Leadership::slow_store_allowance() const
{
    return Millis(slow_store_multiple * m_read_time.count());
}

// A leader that is short of processor time writes the row less often. A more powerful node
// does not wait for that, since it would do better.
Millis Leadership::late_leader_allowance() const
{
    if (m_identity.cpu_millicores > m_leader.identity.cpu_millicores)
        return Millis(0);
    return Millis(late_leader_multiple * m_head.lateness.count());
}

// Returns what this node knew when it decided on a claim, for the log.
std::vector<LogField> Leadership::claim_inputs() const
{
    const Millis now = m_loop.now();
    const bool stands = m_leader_silent && m_stalled_head_version == m_head_version;
    return { { "answered_ms_ago", (now - m_leader_answered_at).count() },
             { "head_stood_ms", stands ? (now - m_head_stalled_since).count() : 0 },
             { "head_lateness_ms", m_head.lateness.count() },
             { "wanted_ms_ago",
               m_claim_wanted_at == Millis() ? -1 : (now - m_claim_wanted_at).count() },
             { "read_ms", m_read_time.count() },
             { "promised_ms", std::max(Millis(0), m_no_claim_until - now).count() },
             { "could_lead_ms",
               m_could_lead_since ? (now - *m_could_lead_since).count() : -1 },
             { "cpu_millicores", m_identity.cpu_millicores },
             { "leader_millicores", m_leader.identity.cpu_millicores },
             { "strongest_rival", strongest_rival() },
             { "deferred", m_deferred ? "yes" : "no" } };
}

// Asks the more powerful nodes whether they can claim, waits, then looks at the leader
// again: it may have answered or written its row meanwhile.
void Leadership::defer_claim()
{
    m_deferring = true;
    m_claim_wanted = false;
    m_candidate_ready = false;
    if (!m_deferring_since)
        m_deferring_since = m_loop.now();
    std::vector<LogField> fields = claim_inputs();
    fields.push_back({ "epoch", m_leader.epoch });
    log_event(LogLevel::info, "claim_deferred", fields);
    for (const Candidate& candidate : m_candidates) {
        if (candidate.cpu_millicores > m_identity.cpu_millicores)
            ask_candidate(candidate);
    }
    m_loop.after(weaker_node_delay + slow_store_allowance(),
                 m_lifetime.wrap([this, epoch = m_leader.epoch, begun = m_loop.now()] {
                     end_deferral(epoch, begun);
                 }));
}

void Leadership::ask_candidate(const Candidate& candidate)
{
    PeerRequest request;
    request.topic = PeerTopic::candidacy;
    request.node = m_identity.node;
    request.address = m_identity.address;
    request.incarnation = m_identity.incarnation;
    request.epoch = m_leader.epoch;
    m_peers.send(
        candidate.address, request, heartbeat_timeout,
        m_lifetime.wrap([this, candidate](PeerEnd end, const PeerAnswer& answer) {
            if (end != PeerEnd::answered)
                return;
            m_candidate_ready = m_candidate_ready || answer.served;
            if (answer.leads)
                leader_announced({ answer.epoch,
                                   { answer.node, candidate.address, answer.incarnation,
                                     candidate.cpu_millicores } });
            else
                leader_announced(
                    { answer.epoch,
                      { answer.leader, answer.leader, answer.leader_incarnation } });
        }));
}

// While a more powerful node can claim, the leadership is left to it: it judges the leader
// for itself.
void Leadership::end_deferral(int64_t epoch, Millis begun)
{
    m_deferring = false;
    if (m_leading || m_retired)
        return;
    const Millis now = m_loop.now();
    const bool same_leader = m_leader.epoch == epoch && m_leader_answered_at < begun;
    const bool yields
        = m_candidate_ready && now - m_deferring_since.value_or(now) < max_deferral;
    m_deferred = same_leader && !yields;
    read_rows();
}

// Called when the leader was not gone while this node waited, or may not have been: a later
// claim has other reasons, and more powerful nodes are asked again.
void Leadership::forget_deferral()
{
    m_deferred = false;
    m_deferring_since.reset();
}

void Leadership::send_claim()
{
    if (m_retired)
        return;
    // The next process at this address yields to stronger nodes only if it knows them.
    m_claimed_leader = LeaderValue { m_leader.epoch + 1, m_identity,
                                     without(m_candidates, m_identity.address) };
    // The previous leaders' entries are carried over until this leader has resolved them.
    m_claimed_head = HeadValue { m_claimed_leader.epoch, 0,
                                 m_identity.incarnation, m_head.unrecorded_task_workers,
                                 m_head.silent,          m_head.lateness };
    m_claim_started = m_loop.now();
    m_predecessor = m_leader.identity.address;
    StoreWrite write;
    write.checks.push_back({ lead_row(leader_key), m_leader_version });
    write.checks.push_back({ lead_row(head_key), m_head_version });
    write.puts.push_back({ lead_row(leader_key), encode(m_claimed_leader) });
    write.puts.push_back({ lead_row(head_key), encode(m_claimed_head) });
    m_writer.send(write, [this, sent_at = m_claim_started](const StoreResult& result) {
        m_claiming = false;
        claim_answered(result, sent_at);
    });
}

void Leadership::claim_answered(const StoreResult& result, Millis sent_at)
{
    std::vector<LogField> fields = claim_inputs();
    fields.push_back({ "epoch", m_claimed_head.epoch });
    fields.push_back({ "instead_of", m_leader.identity.node });
    fields.push_back({ "reason", to_string(m_claim_reason) });
    fields.push_back({ "won", claim_version(result) ? "yes" : "no" });
    fields.push_back({ "status", static_cast<int>(result.status) });
    fields.push_back({ "after_ms", (m_loop.now() - sent_at).count() });
    log_event(LogLevel::info, "claim", fields);
    if (m_retired)
        return;
    const std::optional<int64_t> claimed_version = claim_version(result);
    if (claimed_version) {
        m_leader = m_claimed_leader;
        become_leader(*claimed_version, sent_at);
        return;
    }
    // The leader lives and has written its row meanwhile. It must go on hearing this node.
    if (result.status == StoreStatus::conflict
        && m_claim_reason == ClaimReason::not_handed_over) {
        schedule_follow(heartbeat_interval);
        return;
    }
    // The rows tell whether another node was first or this claim took effect.
    m_loop.after(result.status == StoreStatus::conflict ? Millis(0) : store_retry_delay,
                 m_lifetime.wrap([this] { read_rows(); }));
}

// Returns the version of the head row if the claim took effect. Every claim writes both
// rows, and only claims write both, so the leader row with this node and epoch proves that
// the head row was written as well.
std::optional<int64_t> Leadership::claim_version(const StoreResult& result) const
{
    if (result.status == StoreStatus::ok)
        return result.version;
    if (result.status != StoreStatus::unknown)
        return std::nullopt;
    const std::string claimed = encode(m_claimed_leader);
    for (const StoredRow& row : result.rows) {
        if (row.id == lead_row(leader_key) && row.value == claimed)
            return row.version;
    }
    return std::nullopt;
}

void Leadership::become_leader(int64_t head_version, Millis claimed)
{
    m_leading = true;
    m_leader_silent = false;
    m_refusals = 0;
    m_claim_wanted = false;
    Claim claim;
    claim.head = m_claimed_head;
    claim.version = head_version;
    claim.claimed = claimed;
    claim.known = m_loop.now();
    m_listener.elected(claim, m_predecessor);
}

} // namespace pathport::jobs
