// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The list of all nodes, which the leader gives to its followers so that its successor can
/// reach them.

#pragma once

#include <pathport/jobs/peers.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A list of nodes' addresses, identified by a hash of its content. A node tells the hash
/// of its list with each heartbeat, and the leader answers with what differs: the whole
/// list for each change would be as many bytes as the square of the number of nodes.
class PeerList {
public:
    /// Returns the addresses in ascending order.
    const std::vector<std::string>& addresses() const { return m_addresses; }
    /// Returns the hash of the list; 0 if it is empty.
    int64_t hash() const { return m_hash; }

    /// Replaces the list, in any order, and remembers what has changed.
    void set(std::vector<std::string> addresses);
    /// Returns the update for a node whose list has this hash: the changes since, or the
    /// whole list if that list is not remembered.
    PeerListUpdate update_for(int64_t hash) const;
    /// Applies the leader's update. Returns false if the result is not the leader's list;
    /// the list is empty then, and the next update is a full one.
    bool apply(const PeerListUpdate& update);

private:
    /// A step from one list to the next.
    struct Change {
        int64_t before = 0; ///< Hash of the list before the change.
        std::vector<std::string> added;
        std::vector<std::string> removed;
    };

    std::vector<std::string> m_addresses;
    int64_t m_hash = 0;
    std::deque<Change> m_changes; ///< The oldest first.
};

} // namespace pathport::jobs
