// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a node gives up leadership, and to which successor.

#include "job_node_impl.h"

#include <pathport/log.h>

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

namespace {

/// A leader to which the store has been unavailable for this long resigns in favour of a
/// follower that the store serves.
constexpr Millis max_unserved_time { 700 };

} // namespace

// The leader must no longer make this node its successor.
void JobNode::Impl::notify_leader_of_shutdown()
{
    const std::string leader = m_leadership.leader_address();
    if (leader.empty())
        return;
    PeerRequest notice = own_heartbeat();
    notice.resigned = true;
    m_gossip.send(leader, notice, probe_timeout, [](PeerEnd, const PeerAnswer&) {});
}

void JobNode::Impl::consider_resigning()
{
    const Millis now = m_context.loop.now();
    const Millis last_write = m_scheduler->log().lease_until() - leader_lease;
    // A slow store is slow for all nodes, so another leader would not do better.
    const bool unserved = !m_scheduler->log().served() && m_store.failing()
        && now - last_write > max_unserved_time;
    const bool other_served
        = std::any_of(m_followers.begin(), m_followers.end(), [&](const auto& entry) {
              return entry.second.store_served
                  && now - entry.second.last_heard < follower_silence_limit;
          });
    const std::string next = successor();
    if (hand_over_due() && !next.empty()) {
        hand_over_to(next, m_shutting_down ? "planned_stop" : "stronger_node");
        return;
    }
    const bool resigns = unserved && other_served;
    if (resigns == m_scheduler->resigned())
        return;
    m_scheduler->set_resigned(resigns);
    log_event(LogLevel::warn, resigns ? "leadership_resigned" : "leadership_resumed",
              { { "epoch", m_leadership.epoch() },
                { "reason", "store" },
                { "unserved_ms", (now - last_write).count() } });
}

// Returns whether another node should become the leader now. A new leader reads all open
// jobs, so while the store is slow this node stays leader for as long as its shutdown time
// allows.
bool JobNode::Impl::hand_over_due() const
{
    if (m_handing_over || !m_scheduler->scheduling()
        || !m_setup.mechanisms.uses(Mechanism::hand_over))
        return false;
    const bool stronger = max_follower_millicores() > m_setup.cpu_millicores;
    const bool overdue = m_shutting_down
        && m_context.loop.now() - m_shutdown_started >= m_setup.max_hand_over_delay;
    return (m_shutting_down || stronger) && (!m_scheduler->log().slow() || overdue);
}

// Returns the address of the most powerful live follower whose store access isn't failing,
// or "". Among equals, one with confirmed store access is preferred.
std::string JobNode::Impl::successor() const
{
    const Millis now = m_context.loop.now();
    const auto is_eligible = [&](const Follower& follower) {
        return now - follower.last_heard < follower_silence_limit && !follower.store_fails;
    };
    const auto key = [&](const Follower& follower) {
        return std::make_tuple(is_eligible(follower), follower.cpu_millicores,
                               follower.store_served, follower.last_heard);
    };
    const auto best = std::max_element(m_followers.begin(), m_followers.end(),
                                       [&](const auto& left, const auto& right) {
                                           return key(left.second) < key(right.second);
                                       });
    return best != m_followers.end() && is_eligible(best->second) ? best->first : "";
}

void JobNode::Impl::hand_over_to(const std::string& address, const char* reason)
{
    m_handing_over = true;
    const LeaderValue next { m_leadership.epoch() + 1,
                             m_followers[address].identity(address) };
    log_event(LogLevel::info, "leadership_handed_over",
              { { "epoch", m_leadership.epoch() },
                { "to", next.identity.node },
                { "reason", reason } });
    PeerRequest notice = own_heartbeat();
    notice.resigned = true;
    m_scheduler->hand_over(encode(next), next.identity.incarnation,
                           [this, next, address, notice] {
                               m_gossip.send(address, notice, probe_timeout,
                                             [](PeerEnd, const PeerAnswer&) {});
                               m_successor = next;
                           });
}

// Returns the highest `cpu_millicores` of the live followers that the store serves.
int JobNode::Impl::max_follower_millicores() const
{
    const Millis now = m_context.loop.now();
    int strongest = 0;
    for (const auto& [address, follower] : m_followers) {
        if (follower.store_served && now - follower.last_heard < follower_silence_limit)
            strongest = std::max(strongest, follower.cpu_millicores);
    }
    return strongest;
}

} // namespace pathport::jobs
