// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/membership.h>

#include <algorithm>

namespace pathport {

NodeState Departure::next(bool leaving, bool owns_nothing) const
{
    if (!leaving)
        return NodeState::live;
    const bool may_leave = m_left || (owns_nothing && m_told && !m_must_read);
    return may_leave ? NodeState::left : NodeState::leaving;
}

void Departure::taken(NodeState written)
{
    m_told = m_told || written == NodeState::leaving;
    m_left = m_left || written == NodeState::left;
    m_must_read = false;
}

void Departure::overtaken()
{
    m_must_read = true;
}

void Membership::observe(const NodeRecord& record, int64_t row_version, Millis now,
                         Millis table_time)
{
    if (record.node == m_self)
        return;
    const auto found = m_members.find(record.node);
    const bool is_new = found == m_members.end();
    MemberView& member = m_members[record.node];
    if (!is_new && member.row_version == row_version)
        return;
    const bool restarted = is_new || member.record.incarnation != record.incarnation;
    // The first sight of a row proves nothing about its age.
    member.met = !is_new && (member.met || member.record.counter != record.counter);
    if (restarted) {
        member.heard = Millis();
        member.promised_until = Millis();
    }
    member.record = record;
    member.row_version = row_version;
    member.changed = now;
    member.changed_table_time = table_time;
}

void Membership::heard(const std::string& node, const std::string& incarnation, Millis now)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || found->second.record.incarnation != incarnation)
        return;
    found->second.heard = now;
    found->second.met = true;
}

bool Membership::is_stale(const MemberView& member, Millis now) const
{
    return now - member.changed >= m_spans.dead_after;
}

Millis Membership::promise_to(const std::string& node, const std::string& incarnation,
                              bool table_readable, Millis now)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || found->second.record.incarnation != incarnation)
        return Millis();
    MemberView& member = found->second;
    if (member.record.state == NodeState::left)
        return Millis();
    if (table_readable && is_stale(member, now))
        return Millis();
    member.promised_until = std::max(member.promised_until, now + m_spans.promise);
    return m_spans.promise;
}

bool Membership::is_live(const std::string& node, Millis now) const
{
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return false;
    const MemberView& member = found->second;
    if (member.record.state == NodeState::left)
        return false;
    const bool heard_lately
        = member.heard != Millis() && now - member.heard < m_spans.dead_after;
    return heard_lately || !is_stale(member, now);
}

bool Membership::may_take_from(const std::string& node, Millis now) const
{
    const auto found = m_members.find(node);
    // A row that has vanished was removed with its node.
    if (found == m_members.end())
        return now - m_started >= m_spans.join_wait;
    const MemberView& member = found->second;
    if (member.record.state == NodeState::left)
        return true;
    if (!is_stale(member, now) || now < member.promised_until)
        return false;
    return member.met || now - m_started >= m_spans.join_wait;
}

std::vector<MemberView> Membership::others() const
{
    std::vector<MemberView> members;
    for (const auto& item : m_members) {
        if (item.second.record.state != NodeState::left)
            members.push_back(item.second);
    }
    return members;
}

std::optional<MemberView> Membership::find(const std::string& node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? std::nullopt
                                    : std::optional<MemberView>(found->second);
}

template <typename Holds>
std::vector<NodeRecord> Membership::with_self(const NodeRecord& self, Holds holds) const
{
    std::vector<NodeRecord> nodes;
    if (self.state == NodeState::live)
        nodes.push_back(self);
    for (const auto& item : m_members) {
        if (item.second.record.state == NodeState::live && holds(item.second))
            nodes.push_back(item.second.record);
    }
    std::sort(nodes.begin(), nodes.end(),
              [](const NodeRecord& a, const NodeRecord& b) { return a.node < b.node; });
    return nodes;
}

std::vector<NodeRecord> Membership::owners(const NodeRecord& self, Millis now) const
{
    return with_self(self, [&](const MemberView& m) { return !is_stale(m, now); });
}

std::vector<NodeRecord> Membership::live(const NodeRecord& self, Millis now) const
{
    return with_self(self,
                     [&](const MemberView& m) { return is_live(m.record.node, now); });
}

void TableTime::observe(Millis table_time, Millis sent, Millis received)
{
    m_known = true;
    m_table_time = table_time;
    m_sent = sent;
    m_received = received;
}

std::optional<Millis> TableTime::earliest(Millis now) const
{
    if (!m_known)
        return std::nullopt;
    return m_table_time + (now - m_received);
}

std::optional<Millis> TableTime::latest(Millis now) const
{
    if (!m_known)
        return std::nullopt;
    return m_table_time + (now - m_sent);
}

} // namespace pathport
