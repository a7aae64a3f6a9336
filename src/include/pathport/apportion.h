// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many replicas of a service each shard runs. Each node computes the same from the
/// same facts, so that no message is needed to agree; while facts differ for a moment, a
/// replica too many or too few is started, which is harmless since replicas are
/// interchangeable.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pathport {

/// What counts about one shard.
struct ShardShare {
    std::string shard;
    std::string domain;
    int64_t boxes = 0; ///< Boxes that take work.
    int64_t limit = -1; ///< Most replicas that it has room for; -1 when not known.
};

/// Divides `replicas` of `service` over the shards: evenly over failure domains that have
/// boxes, and inside a domain by the number of boxes. What a full shard can't take goes to
/// the others.
std::map<std::string, int64_t> apportion(const std::string& service, int64_t replicas,
                                         const std::vector<ShardShare>& shards);

} // namespace pathport
