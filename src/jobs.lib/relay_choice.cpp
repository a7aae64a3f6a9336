// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "relay_choice.h"

#include <pathport/ids.h>

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// Calls to workers per second and thousandth of a core, at 0.1 ms of CPU time for a call
/// with its answer.
constexpr double calls_per_cpu_millicore = 10;
/// Above this share of its processor or link a leader uses relays; below the lower one it
/// makes the calls itself again. A call through a relay takes some 50 ms longer in total.
constexpr double max_leader_share = 0.6;
constexpr double min_leader_share = 0.4;
/// Maximum share of a relay that calls may take, since it serves clients as well.
constexpr double max_relay_share = 0.3;
/// With fewer relays, the loss of one would affect too many workers.
constexpr size_t min_relays = 3;

} // namespace

double utilization(const CallLoad& load, const NodeCapacity& node)
{
    const double processor
        = load.calls / (calls_per_cpu_millicore * std::max(1, node.cpu_millicores));
    const double link
        = node.link_bytes_per_s > 0 ? load.bytes / double(node.link_bytes_per_s) : 0;
    return std::max(processor, link);
}

bool should_relay(const CallLoad& load, const NodeCapacity& leader, bool relays)
{
    return utilization(load, leader) > (relays ? min_leader_share : max_leader_share);
}

std::vector<RelayNode> choose_relays(const CallLoad& load, std::vector<RelayNode> nodes)
{
    std::sort(nodes.begin(), nodes.end(),
              [](const RelayNode& left, const RelayNode& right) {
                  if (left.capacity.cpu_millicores != right.capacity.cpu_millicores)
                      return left.capacity.cpu_millicores > right.capacity.cpu_millicores;
                  return left.address < right.address;
              });
    // The load is divided in proportion to CPU time, so calls take the same share of the
    // processor of each chosen node.
    NodeCapacity total;
    size_t count = 0;
    while (count < nodes.size()) {
        const NodeCapacity& node = nodes[count].capacity;
        total.cpu_millicores += node.cpu_millicores;
        total.link_bytes_per_s += node.link_bytes_per_s;
        ++count;
        if (count >= min_relays && utilization(load, total) <= max_relay_share)
            break;
    }
    nodes.resize(count);
    return nodes;
}

size_t relay_index_for(const std::string& worker, const std::vector<RelayNode>& relays)
{
    size_t best = 0;
    double best_score = 0;
    for (size_t i = 0; i < relays.size(); ++i) {
        // A hash in (0, 1), the same on each node and each time.
        constexpr double hash_range = 9007199254740992.0; // 2 to the power of 53
        const uint64_t hash = stable_hash(worker + " " + relays[i].address);
        const double uniform = (double(hash >> 11) + 0.5) / hash_range;
        const double score
            = -std::max(1, relays[i].capacity.cpu_millicores) / std::log(uniform);
        if (i == 0 || score > best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

} // namespace pathport::jobs
