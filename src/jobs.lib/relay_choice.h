// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides whether other nodes relay a leader's calls to workers, which nodes, and which of
/// them for each worker. Pure functions of loads and capacities.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathport::jobs {

/// The capacity of a node.
struct NodeCapacity {
    int cpu_millicores = 0; ///< CPU time that it may use, in thousandths of a core.
    /// Bandwidth of its link in bytes per second; 0 if unlimited.
    int64_t link_bytes_per_s = 0;

    bool operator==(const NodeCapacity& other) const
    {
        return cpu_millicores == other.cpu_millicores
            && link_bytes_per_s == other.link_bytes_per_s;
    }
};

/// A candidate relay.
struct RelayNode {
    std::string address;
    NodeCapacity capacity;

    bool operator==(const RelayNode& other) const
    {
        return address == other.address && capacity == other.capacity;
    }
};

/// Load by calls to workers, per second.
struct CallLoad {
    double calls = 0;
    double bytes = 0;
};

/// Returns the share of a node's processor or link, whichever is larger, that the load
/// takes.
double utilization(const CallLoad& load, const NodeCapacity& node);

/// Returns whether a leader should use relays. `relays` tells whether it does at present:
/// the threshold to stop is lower than that to start, so that a load near the threshold
/// does not move all workers back and forth.
bool should_relay(const CallLoad& load, const NodeCapacity& leader, bool relays);

/// Returns the nodes that should be relays: the strongest ones, ties by address, as many as
/// the load needs with spare capacity.
std::vector<RelayNode> choose_relays(const CallLoad& load, std::vector<RelayNode> nodes);

/// Returns the index of the relay for calls to a worker. Each relay gets a share of the
/// workers in proportion to its CPU time, and when relays change only the share of those
/// that come or go moves (weighted rendezvous hashing).
size_t relay_index_for(const std::string& worker, const std::vector<RelayNode>& relays);

} // namespace pathport::jobs
