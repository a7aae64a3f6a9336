// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whether a leader has other nodes make its calls to workers, which nodes, and which of
/// them for each worker. A function of loads and strengths, without input or output.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathport::jobs {

/// What a node can carry.
struct NodeCapacity {
    int cpu_millicores = 0; ///< Processor time that it may use, in thousandths of a core.
    int64_t link_bytes_per_s = 0; ///< That its link moves in a second; 0 for no bound.

    bool operator==(const NodeCapacity& other) const
    {
        return cpu_millicores == other.cpu_millicores
            && link_bytes_per_s == other.link_bytes_per_s;
    }
};

/// A node that may be a relay.
struct RelayNode {
    std::string address;
    NodeCapacity capacity;

    bool operator==(const RelayNode& other) const
    {
        return address == other.address && capacity == other.capacity;
    }
};

/// What calls to workers take, in a second.
struct CallLoad {
    double calls = 0;
    double bytes = 0;
};

/// Returns the part of a node's processor or link, whichever is larger, that the load takes
/// of it.
double utilization(const CallLoad& load, const NodeCapacity& node);

/// Returns whether a leader should have others make its calls. `relays` tells whether it
/// does at present: it goes back to making them later than it stops, so that a load about
/// the bound does not move all workers to and fro.
bool should_relay(const CallLoad& load, const NodeCapacity& leader, bool relays);

/// Returns those of `nodes` that should be relays, by address: the strongest ones, as many
/// as the load takes with room to spare.
std::vector<RelayNode> choose_relays(const CallLoad& load, std::vector<RelayNode> nodes);

/// Returns which of `relays` should make the calls to a worker. Each gets its share of the
/// workers by strength, and of a change of relays only the share that comes or goes moves:
/// weighted rendezvous hashing.
size_t relay_index_for(const std::string& worker, const std::vector<RelayNode>& relays);

} // namespace pathport::jobs
