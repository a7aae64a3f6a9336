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

const char* to_string(HandOverObstacle obstacle)
{
    switch (obstacle) {
    case HandOverObstacle::none:
        return "none";
    case HandOverObstacle::in_progress:
        return "in_progress";
    case HandOverObstacle::loading:
        return "loading";
    case HandOverObstacle::strongest:
        return "strongest";
    case HandOverObstacle::store_slow:
        return "store_slow";
    case HandOverObstacle::disabled:
        break;
    }
    return "disabled";
}

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
    withdraw_lost_successor();
    // This runs at each heartbeat, so the followers are searched only when it matters.
    const bool hand_over_due = hand_over_obstacle() == HandOverObstacle::none;
    const std::string next = hand_over_due ? successor() : std::string();
    const Follower* const candidate = m_followers.find(next);
    // The one that was more powerful may have fallen silent since the last refresh.
    const bool stops = m_shutting_down && m_scheduler->scheduling();
    if (candidate != nullptr
        && (stops || candidate->cpu_millicores > m_setup.cpu_millicores)) {
        hand_over_to(next, m_shutting_down ? "planned_stop" : "stronger_node");
        return;
    }
    const bool resigns = unserved && other_node_served();
    if (resigns == m_scheduler->resigned())
        return;
    m_scheduler->set_resigned(resigns);
    log_event(LogLevel::warn, resigns ? "leadership_resigned" : "leadership_resumed",
              { { "epoch", m_leadership.epoch() },
                { "reason", "store" },
                { "unserved_ms", (now - last_write).count() } });
}

// Notes when the store first served a follower since it fails this node. Later times
// replace each other with every heartbeat, so they are no evidence against calls that this
// node has sent since.
void JobNode::Impl::note_follower_served(const Follower& follower)
{
    const auto failed = m_store.failed_calls();
    if (!failed || !follower.store_served || follower.store_served_at <= failed->first)
        return;
    if (!m_follower_served_at || *m_follower_served_at <= failed->first)
        m_follower_served_at = follower.store_served_at;
}

// Returns whether the store serves a live follower and has served one amid this node's
// failed calls. What lies before them or after them tells of the time before or after an
// outage that is the same for all.
bool JobNode::Impl::other_node_served() const
{
    const auto failed = m_store.failed_calls();
    const bool amid_failures = failed && m_follower_served_at
        && *m_follower_served_at > failed->first && *m_follower_served_at < failed->last;
    if (!amid_failures)
        return false;
    const Millis now = m_context.loop.now();
    bool served = false;
    m_followers.for_each([&](const std::string&, const Follower& follower) {
        served = served
            || (follower.store_served
                && now - follower.last_heard < follower_silence_limit);
    });
    return served;
}

// Returns why no other node should become the leader now. A new leader reads all open jobs,
// so while the store is slow this node stays leader for as long as its shutdown time
// allows. One that does not schedule yet has ordered nothing, and a more powerful node
// reads the same rows sooner; it has not heard all followers, so it names no weaker one.
HandOverObstacle JobNode::Impl::hand_over_obstacle() const
{
    if (!m_setup.mechanisms.uses(Mechanism::hand_over))
        return HandOverObstacle::disabled;
    if (m_handing_over)
        return HandOverObstacle::in_progress;
    const bool stronger = m_followers.max_millicores() > m_setup.cpu_millicores;
    if (!m_scheduler->scheduling() && !stronger)
        return HandOverObstacle::loading;
    if (!m_shutting_down && !stronger)
        return HandOverObstacle::strongest;
    const bool overdue = m_shutting_down
        && m_context.loop.now() - m_shutdown_started >= m_setup.max_hand_over_delay;
    if (m_scheduler->log().slow() && !overdue && slow_for_successor())
        return HandOverObstacle::store_slow;
    return HandOverObstacle::none;
}

// Returns whether the store is slow for the node that would lead next, or may be. A leader
// that is short of processor time reads the store's replies late, so its own measurement
// doesn't tell.
bool JobNode::Impl::slow_for_successor() const
{
    const Follower* const next = m_followers.find(successor());
    return next == nullptr || next->store_call_time == Millis(0)
        || next->store_call_time > slow_store_latency;
}

// A new leader reads all open jobs, so while the store is slow for this node it leaves a
// weaker leader alone. fill_heartbeat() sees to it that the time of a call is known.
bool JobNode::Impl::could_lead() const
{
    return m_setup.mechanisms.uses(Mechanism::hand_over) && !m_shutting_down
        && !m_store.failing() && m_store.call_time() <= slow_store_latency;
}

// A leader that stays although others are more powerful says why, once for each change.
void JobNode::Impl::log_hand_over_obstacle()
{
    const HandOverObstacle obstacle = hand_over_obstacle();
    if (obstacle == m_logged_obstacle)
        return;
    m_logged_obstacle = obstacle;
    const HeadLog& log = m_scheduler->log();
    log_event(LogLevel::info, "hand_over_obstacle",
              { { "epoch", m_leadership.epoch() },
                { "obstacle", to_string(obstacle) },
                { "cpu_millicores", m_setup.cpu_millicores },
                { "strongest_follower", m_followers.max_millicores() },
                { "followers", static_cast<int64_t>(m_followers.size()) },
                { "write_ms", log.write_latency().count() },
                { "lateness_ms", log.lateness().count() },
                { "log_backlog", static_cast<int64_t>(log.backlog()) } });
}

// Returns whether the follower is live and its store access isn't failing. A leader that is
// short of processor time reads heartbeats late.
bool JobNode::Impl::is_eligible(const Follower& follower) const
{
    const Millis silent = m_context.loop.now() - follower.last_heard;
    return silent < follower_silence_limit + m_scheduler->log().lateness()
        && !follower.store_fails;
}

// Returns the address of the most powerful live follower whose store access isn't failing,
// or "". Among equals, one with confirmed store access is preferred.
std::string JobNode::Impl::successor() const
{
    const auto key = [](const Follower& follower) {
        return std::make_tuple(follower.cpu_millicores, follower.store_served,
                               follower.last_heard);
    };
    std::string best;
    std::optional<Follower> best_follower;
    m_followers.for_each([&](const std::string& address, const Follower& follower) {
        if (!is_eligible(follower)
            || (best_follower && key(follower) <= key(*best_follower)))
            return;
        best = address;
        best_follower = follower;
    });
    return best;
}

// The write that names the successor may be long in coming, and the successor may stop or
// fall silent meanwhile.
void JobNode::Impl::withdraw_lost_successor()
{
    if (!m_handing_over)
        return;
    const Follower* const next = m_followers.find(m_next_leader);
    if ((next != nullptr && is_eligible(*next)) || !m_scheduler->withdraw_successor())
        return;
    m_handing_over = false;
    log_event(LogLevel::info, "hand_over_withdrawn",
              { { "epoch", m_leadership.epoch() }, { "address", m_next_leader } });
}

void JobNode::Impl::hand_over_to(const std::string& address, const char* reason)
{
    m_handing_over = true;
    m_next_leader = address;
    const Follower follower = *m_followers.find(address);
    const LeaderValue next { m_leadership.epoch() + 1,
                             { follower.node, address, follower.incarnation,
                               follower.cpu_millicores },
                             without(m_candidates, address) };
    log_event(LogLevel::info, "leadership_handed_over",
              { { "epoch", m_leadership.epoch() },
                { "to", next.identity.node },
                { "led_ms", (m_context.loop.now() - m_elected_at).count() },
                { "scheduled", m_scheduler->scheduling() ? "yes" : "no" },
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

} // namespace pathport::jobs
