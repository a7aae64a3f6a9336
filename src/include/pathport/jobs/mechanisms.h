// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Parts of the policy that can be switched off in an experiment, to measure what each is
/// worth. In production all are in use.

#pragma once

#include <pathport/failure.h>

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathport::jobs {

/// One part of the policy.
enum class Mechanism {
    advice_spread, ///< Questions for advice go through all nodes, not the leader alone.
    advice_shares, ///< Queues share the advisor's time; else the most urgent takes all.
    second_choices, ///< A step avoids workers where a task of it came to nothing.
    avoided_workers, ///< Workers with surprising failures are left alone for a while.
    slow_workers, ///< Urgent work is kept from workers that are learned to be slow.
    slack_order, ///< Within a queue's priority the least slack goes first; else the oldest.
    preemption, ///< Less urgent tasks that keep their progress give way.
    reservations, ///< Workers are kept for steps that wait for room or tickets there.
    early_orders, ///< In a slow store, orders precede their records.
    early_reads, ///< In a slow store, a written row is read at once.
    write_batching, ///< Jobs share the transactions of the leader's log.
    learned_timeouts, ///< Time-outs of workers' answers are learned.
    short_looks, ///< Looks wait for less where something runs.
    hand_over, ///< A leader that stops names its successor.
    strongest_leads, ///< Nodes with more processor time lead.
    archive, ///< Closed jobs leave the table that a take-over reads.
    worker_relays, ///< Other nodes make a busy leader's calls to workers.
};
constexpr size_t mechanism_count = 17;

/// Returns the name of a mechanism, as settings have it.
const char* to_string(Mechanism mechanism);
/// Returns all mechanisms.
std::vector<Mechanism> all_mechanisms();

/// Which mechanisms are in use.
class Mechanisms {
public:
    /// All are.
    Mechanisms() = default;

    /// Returns all but those that `names` lists, with commas between; "none" lists none. On
    /// failure returns nothing, and `reason` has the unknown name and those that are known.
    static std::optional<Mechanisms> without(std::string_view names, Failure& reason);

    bool uses(Mechanism mechanism) const { return !m_off[static_cast<size_t>(mechanism)]; }
    bool operator==(const Mechanisms& other) const { return m_off == other.m_off; }

private:
    std::bitset<mechanism_count> m_off;
};

} // namespace pathport::jobs
