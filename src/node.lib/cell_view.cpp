// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "cell_view.h"

#include <pathport/codec.h>
#include <pathport/log.h>

#include <algorithm>
#include <set>

namespace pathport {

namespace {
constexpr char nodes_prefix[] = "nodes/";
constexpr char shards_prefix[] = "shards/";
// A peer that has not been heard of for so long gets no requests.
constexpr Millis peer_silent_after { 1500 };

bool starts_with(const std::string& text, const char* prefix)
{
    return text.rfind(prefix, 0) == 0;
}
} // namespace

CellView::CellView(const Clock& clock, const NodeRecord& self, MembershipSpans spans)
    : m_clock(clock)
    , m_self(self)
    , m_membership(self.node, spans, clock.now())
{
}

void CellView::observe(const TableResult& result, Millis sent, Millis received)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_table_reachable = true;
    m_table_time.observe(result.table_time, sent, received);
    for (const auto& range : result.ranges) {
        for (const TableRow& row : range) {
            Failure reason;
            if (starts_with(row.key, nodes_prefix)) {
                if (const auto node = decode_node(row.value, reason))
                    m_membership.observe(*node, row.version, received, result.table_time);
            } else if (starts_with(row.key, shards_prefix)) {
                const auto shard = decode_shard(row.value, reason);
                if (shard && m_shards[shard->shard].version < row.version)
                    m_shards[shard->shard] = { *shard, row.version };
            }
            if (reason) {
                log_event(LogLevel::error, "row_unreadable",
                          { { "key", row.key }, { "reason", reason.detail() } });
            }
        }
    }
}

void CellView::renew_lease(Millis sent)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_last_beat_sent = sent;
    m_lease_until = std::max(m_lease_until, sent + m_membership.spans().lease);
}

void CellView::observe_beat(const Beat& beat, const std::string& address, Millis sent)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    m_membership.heard(beat.node, beat.incarnation, now);
    PeerReport& report = m_peers[beat.node];
    if (report.incarnation != beat.incarnation) {
        report = PeerReport();
        report.incarnation = beat.incarnation;
    }
    report.region = beat.region;
    report.load.apply(beat);
    report.knows = beat.known;
    ++report.beats;
    if (!address.empty())
        report.address = address;
    report.received = now;
    // The promise was given after `sent`, so this is on the safe side. A beat that was not
    // asked for carries none.
    if (sent == Millis() || beat.promise == Millis())
        return;
    if (sent > report.promise_until)
        report.promise_since = sent;
    report.promise_until = std::max(report.promise_until, sent + beat.promise);
    extend_lease();
}

void CellView::observe_shard(const ShardRecord& record, int64_t version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ShardRow& row = m_shards[record.shard];
    if (row.version < version)
        row = { record, version };
}

void CellView::table_failed()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_table_reachable = false;
}

void CellView::set_boxes(const std::vector<BoxInfo>& boxes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_boxes = boxes;
    ++m_boxes_version;
}

void CellView::set_own(const std::vector<ShardSummary>& summaries)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_own.clear();
    for (const ShardSummary& summary : summaries)
        m_own[summary.shard] = summary;
}

void CellView::set_leaving()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_self.state = NodeState::leaving;
}

bool CellView::peer_is_fresh(const PeerReport& report, Millis now) const
{
    return now - report.received < peer_silent_after;
}

std::vector<Route> CellView::routes(const std::string& service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    std::vector<Route> routes;
    const auto add = [&](const std::string& node, const std::string& address,
                         const std::string& region, int64_t report,
                         const std::map<std::string, ShardSummary>& shards) {
        Route route;
        route.node = node;
        route.address = address;
        route.same_region = region == m_self.region;
        route.report = report;
        int64_t running = 0;
        for (const auto& shard : shards) {
            for (const ServiceLoad& load : shard.second.services) {
                if (load.service != service)
                    continue;
                running += load.running;
                route.slots += load.slots;
                route.load += load.busy + load.queued;
            }
        }
        if (running > 0)
            routes.push_back(route);
    };
    add(m_self.node, "", m_self.region, 0, m_own);
    for (const auto& item : m_peers) {
        const PeerReport& peer = item.second;
        if (peer_is_fresh(peer, now) && !peer.address.empty())
            add(item.first, peer.address, peer.region, peer.beats, peer.load.load().shards);
    }
    return routes;
}

std::optional<AdmissionOwner> CellView::admission_owner(int range) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string shard = admission_shard(range);
    const Millis now = m_clock.now();
    int64_t best_epoch = -1;
    std::optional<AdmissionOwner> owner;
    const auto consider
        = [&](const std::string& node, const std::string& address, int64_t epoch) {
              if (epoch <= best_epoch)
                  return;
              best_epoch = epoch;
              owner = AdmissionOwner { node, address };
          };
    const auto row = m_shards.find(shard);
    if (row != m_shards.end()) {
        const ShardRecord& record = row->second.record;
        const auto peer = m_peers.find(record.owner);
        if (record.owner == m_self.node)
            consider(record.owner, "", record.epoch);
        else if (peer != m_peers.end() && peer_is_fresh(peer->second, now))
            consider(record.owner, peer->second.address, record.epoch);
    }
    // A node that can't read the table learns of owners from what they say.
    for (const auto& item : m_peers) {
        if (!peer_is_fresh(item.second, now) || item.second.address.empty())
            continue;
        const auto& claimed = item.second.load.load().shards;
        const auto claim = claimed.find(shard);
        if (claim != claimed.end())
            consider(item.first, item.second.address, claim->second.epoch);
    }
    return owner;
}

NodeRecord CellView::self() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_self;
}

std::vector<BoxInfo> CellView::boxes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_boxes;
}

int64_t CellView::boxes_version() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_boxes_version;
}

std::map<std::string, ShardRow> CellView::shard_rows() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_shards;
}

std::vector<MemberView> CellView::members() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.others();
}

std::vector<NodeRecord> CellView::live_nodes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.live(m_self, m_clock.now());
}

std::vector<NodeRecord> CellView::owner_candidates() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.owners(m_self, m_clock.now());
}

std::vector<ShardView> CellView::shard_views() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, ShardView> views;
    for (int i = 0; i < admission_ranges; ++i)
        views[admission_shard(i)].shard = admission_shard(i);
    for (const BoxInfo& box : m_boxes) {
        ShardView& view = views[box.shard()];
        view.shard = box.shard();
        view.region = box.region;
    }
    std::vector<ShardView> list;
    for (auto& item : views) {
        const auto row = m_shards.find(item.first);
        if (row != m_shards.end()) {
            item.second.record = row->second.record;
            item.second.row_version = row->second.version;
        }
        list.push_back(item.second);
    }
    return list;
}

std::map<std::string, bool> CellView::dead_nodes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    std::map<std::string, bool> dead;
    for (const auto& item : m_shards) {
        const std::string& owner = item.second.record.owner;
        if (owner != m_self.node)
            dead[owner] = m_membership.may_take_from(owner, now);
    }
    return dead;
}

std::vector<ShardSummary> CellView::summaries() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    std::map<std::string, ShardSummary> best;
    const auto add = [&](const std::map<std::string, ShardSummary>& shards) {
        for (const auto& shard : shards) {
            const auto found = best.find(shard.first);
            if (found == best.end() || found->second.epoch < shard.second.epoch)
                best[shard.first] = shard.second;
        }
    };
    add(m_own);
    for (const auto& item : m_peers) {
        if (peer_is_fresh(item.second, now))
            add(item.second.load.load().shards);
    }
    std::vector<ShardSummary> list;
    for (auto& item : best)
        list.push_back(std::move(item.second));
    return list;
}

std::map<std::string, Resources> CellView::used_elsewhere() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    std::map<std::string, Resources> used;
    for (const auto& item : m_peers) {
        if (!peer_is_fresh(item.second, now))
            continue;
        for (const auto& team : item.second.load.load().teams)
            used[team.first] = used[team.first] + team.second;
    }
    return used;
}

int64_t CellView::known_version(const std::string& node) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto peer = m_peers.find(node);
    return peer == m_peers.end() ? 0 : peer->second.load.version();
}

int64_t CellView::version_known_to(const std::string& node) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto peer = m_peers.find(node);
    return peer == m_peers.end() ? 0 : peer->second.knows;
}

std::optional<std::string> CellView::address_of(const std::string& node) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto member = m_membership.find(node);
    if (member)
        return member->record.peer_address;
    const auto peer = m_peers.find(node);
    if (peer != m_peers.end() && !peer->second.address.empty())
        return peer->second.address;
    return std::nullopt;
}

Millis CellView::promise_to(const std::string& node, const std::string& incarnation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.promise_to(node, incarnation, m_table_reachable, m_clock.now());
}

bool CellView::table_reachable() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_table_reachable;
}

bool CellView::is_current(Millis limit) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    if (m_last_beat_sent != Millis() && now - m_last_beat_sent < limit)
        return true;
    // The members are those that this node knows by rows, and those that it was told of.
    std::set<std::string> members;
    for (const MemberView& member : m_membership.others())
        members.insert(member.record.node);
    for (const auto& item : m_peers)
        members.insert(item.first);
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        return now - item.second.received < limit;
    });
    return (heard + 1) * 2 > static_cast<int64_t>(members.size()) + 1 && heard > 0;
}

// Without the table, the promises of all others say that none of them takes over. They
// carry the lease on only from before its end: after a gap, somebody may have taken over
// already.
void CellView::extend_lease()
{
    const std::vector<MemberView> others = m_membership.others();
    if (others.empty())
        return;
    Millis since;
    Millis until = m_clock.now() + m_membership.spans().promise;
    for (const MemberView& member : others) {
        const auto peer = m_peers.find(member.record.node);
        if (peer == m_peers.end() || peer->second.incarnation != member.record.incarnation)
            return;
        since = std::max(since, peer->second.promise_since);
        until = std::min(until, peer->second.promise_until);
    }
    if (since <= m_lease_until)
        m_lease_until = std::max(m_lease_until, until);
}

std::optional<Millis> CellView::lease_point() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Millis now = m_clock.now();
    if (now >= m_lease_until)
        return std::nullopt;
    return m_table_time.earliest(now);
}

Millis CellView::barrier_after(const std::string& node, Millis taken_at) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto member = m_membership.find(node);
    if (!member || member->changed_table_time == Millis())
        return taken_at;
    Millis end = member->changed_table_time + m_membership.spans().lease;
    if (member->promised_until != Millis()) {
        const auto promised = m_table_time.latest(member->promised_until);
        end = std::max(end, promised.value_or(taken_at));
    }
    return std::min(end, taken_at);
}

std::optional<Millis> CellView::table_time() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_table_time.earliest(m_clock.now());
}

} // namespace pathport
