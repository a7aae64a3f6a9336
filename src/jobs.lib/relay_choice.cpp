// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "relay_choice.h"

#include <pathport/ids.h>

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// Calls to workers that a node makes in a second with a thousandth of a core, at 0.1 ms a
/// call with its answer.
constexpr double calls_per_strength = 10;
/// A leader whose calls take more than this part of its processor or link has others make
/// them. Below the smaller part it makes them again: a call through a relay takes some 50
/// ms longer there and back.
constexpr double most_of_leader = 0.6;
constexpr double least_of_leader = 0.4;
/// So much of a relay is taken at most, since it serves clients as well.
constexpr double most_of_relay = 0.3;
/// Of a few relays one may be lost.
constexpr size_t fewest_relays = 3;

} // namespace

double utilization(const CallLoad& load, const NodeCapacity& node)
{
    const double processor
        = load.calls / (calls_per_strength * std::max(1, node.cpu_millicores));
    const double link
        = node.link_bytes_per_s > 0 ? load.bytes / double(node.link_bytes_per_s) : 0;
    return std::max(processor, link);
}

bool should_relay(const CallLoad& load, const NodeCapacity& leader, bool relays)
{
    return utilization(load, leader) > (relays ? least_of_leader : most_of_leader);
}

std::vector<RelayNode> choose_relays(const CallLoad& load, std::vector<RelayNode> nodes)
{
    std::sort(nodes.begin(), nodes.end(),
              [](const RelayNode& left, const RelayNode& right) {
                  if (left.capacity.cpu_millicores != right.capacity.cpu_millicores)
                      return left.capacity.cpu_millicores > right.capacity.cpu_millicores;
                  return left.address < right.address;
              });
    // The load is spread by strength, so each of those taken carries the same part of its
    // processor.
    NodeCapacity together;
    size_t taken = 0;
    while (taken < nodes.size()) {
        const NodeCapacity& node = nodes[taken].capacity;
        together.cpu_millicores += node.cpu_millicores;
        together.link_bytes_per_s += node.link_bytes_per_s;
        ++taken;
        if (taken >= fewest_relays && utilization(load, together) <= most_of_relay)
            break;
    }
    nodes.resize(taken);
    return nodes;
}

size_t relay_index_for(const std::string& worker, const std::vector<RelayNode>& relays)
{
    size_t best = 0;
    double best_score = 0;
    for (size_t i = 0; i < relays.size(); ++i) {
        // A number in (0, 1), the same on each node and each time.
        constexpr double numbers = 9007199254740992.0; // 2 to the power of 53
        const uint64_t hash = stable_hash(worker + " " + relays[i].address);
        const double drawn = (double(hash >> 11) + 0.5) / numbers;
        const double score
            = -std::max(1, relays[i].capacity.cpu_millicores) / std::log(drawn);
        if (i == 0 || score > best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

} // namespace pathport::jobs
