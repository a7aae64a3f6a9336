// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduling mechanisms that an experiment can disable in order to measure their effect.
/// In production all are enabled.

#pragma once

#include <pathport/failure.h>

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathport::jobs {

/// A scheduling mechanism that can be disabled.
enum class Mechanism {
    /// Advice queries are spread over all nodes instead of sent by the leader alone.
    advice_spread,
    /// Queues share the advisor's time; otherwise the most urgent queue takes all of it.
    advice_shares,
    /// A step avoids workers where one of its tasks failed to start or made no progress.
    second_choices,
    avoided_workers, ///< Workers with unexpected failures get no tasks for a while.
    slow_workers, ///< Urgent work is not placed on workers that have proved slow.
    /// Within a priority, the job with the least slack goes first; otherwise the oldest.
    slack_order,
    preemption, ///< Less urgent tasks that save their progress may be preempted.
    /// Workers are reserved for steps that wait for capacity or tickets there.
    reservations,
    early_orders, ///< While the store is slow, orders are sent before they are recorded.
    early_reads, ///< While the store is slow, a written row is read back at once.
    write_batching, ///< Rows of several jobs share a transaction of the leader's log.
    learned_timeouts, ///< Time-outs for workers' replies adapt to measured response times.
    short_looks, ///< Polls of workers that run tasks use a shorter long-poll wait.
    hand_over, ///< A leader that shuts down names its successor.
    strongest_leads, ///< The node with the most processor time leads.
    archive, ///< Closed jobs are moved out of the table that a new leader reads.
    worker_relays, ///< Other nodes relay a busy leader's calls to workers.
    late_order, ///< Among late jobs the least late goes first; otherwise the latest.
    headroom, ///< Less urgent work leaves capacity free for more urgent work.
    /// Preemption chooses workers by what can be stopped there, and stops what costs least.
    cheapest_victims,
    /// Jobs that capacity is certain not to suffice for in time are refused.
    capacity_admission,
    advice_claims, ///< Queries name only free capacity that no other query is about.
};
constexpr size_t mechanism_count = 22;

/// Returns the name of a mechanism, as used in settings.
const char* to_string(Mechanism mechanism);
/// Returns all mechanisms.
std::vector<Mechanism> all_mechanisms();

/// The set of enabled mechanisms.
class Mechanisms {
public:
    /// Enables all mechanisms.
    Mechanisms() = default;

    /// Returns all mechanisms except those in the comma-separated list `names`; "none"
    /// excludes none. On failure returns nothing and sets `reason`, which lists the unknown
    /// name and the known ones.
    static std::optional<Mechanisms> without(std::string_view names, Failure& reason);

    /// Returns these mechanisms without `mechanism`.
    Mechanisms without(Mechanism mechanism) const;
    bool uses(Mechanism mechanism) const { return !m_off[static_cast<size_t>(mechanism)]; }
    bool operator==(const Mechanisms& other) const { return m_off == other.m_off; }

private:
    std::bitset<mechanism_count> m_off;
};

} // namespace pathport::jobs
