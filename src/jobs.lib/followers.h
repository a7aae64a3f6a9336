// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The nodes that follow a leader. In a cell of hundreds of nodes the leader gets a
/// thousand heartbeats a second, so what it does for each must not walk all followers.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/peers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A node that follows a leader, as of its last heartbeat.
struct Follower {
    Millis last_heard;
    /// It won't claim leadership before this time, on the leader's clock.
    Millis promised_until;
    bool store_served = false;
    Millis store_served_at; ///< On the leader's clock, if the store served it.
    bool store_fails = false;
    Millis store_call_time; ///< As the follower reads it; zero if not known.
    std::string node;
    std::string incarnation;
    int cpu_millicores = 0;
    int64_t link_bytes_per_s = 0;
};

/// The followers of a leader, by the address on which they receive messages.
class Followers {
public:
    using Entries = std::map<std::string, Follower>;

    /// Records a heartbeat.
    void note(const std::string& address, const Follower& follower);
    void erase(const std::string& address);
    void clear();

    const Follower* find(const std::string& address) const;
    size_t size() const { return m_entries.size(); }
    /// Calls `visit` for each follower, in the order of addresses.
    void
    for_each(const std::function<void(const std::string&, const Follower&)>& visit) const;

    /// Returns the earliest end of all followers' promises, or nothing without followers.
    std::optional<Millis> earliest_promise() const;
    /// Returns the highest `cpu_millicores` of the followers that the store serves: of
    /// those that refresh() found to be live, and those heard since.
    int max_millicores() const { return m_max_millicores; }

    /// Returns the most powerful followers, at most `count`; among equals those heard after
    /// `live_since`, and among these the ones that the store serves.
    std::vector<Candidate> strongest(size_t count, Millis live_since) const;

    /// Drops the followers last heard before `drop_before`; those last heard before
    /// `live_since` no longer count for max_millicores().
    void refresh(Millis drop_before, Millis live_since);
    /// Adds `span`, in which the leader heard nobody, to the times of the last heartbeats,
    /// but sets none later than `now`.
    void discount(Millis span, Millis now);

    /// Returns the number of entries that all calls so far have walked.
    int64_t entries_walked() const { return m_entries_walked; }

private:
    Entries m_entries;
    std::multiset<Millis> m_promises; ///< Of all entries.
    int m_max_millicores = 0;
    mutable int64_t m_entries_walked = 0;
};

} // namespace pathport::jobs
