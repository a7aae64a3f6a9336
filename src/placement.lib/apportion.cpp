// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/apportion.h>

#include <pathport/ids.h>

#include <algorithm>
#include <tuple>

namespace pathport {

namespace {

// The shard that takes the next replica: of the failure domain with the fewest replicas
// that has room, the shard with the fewest replicas for its boxes. Ties go by a hash of the
// service's name, so that small services don't all start in the same place.
struct Choice {
    int64_t in_domain = 0;
    double per_box = 0;
    uint64_t tie = 0;
    const ShardShare* shard = nullptr;

    bool operator<(const Choice& other) const
    {
        return std::tie(in_domain, per_box, tie)
            < std::tie(other.in_domain, other.per_box, other.tie);
    }
};

bool has_room(const ShardShare& shard, int64_t count)
{
    return shard.boxes > 0 && (shard.limit < 0 || count < shard.limit);
}

} // namespace

std::map<std::string, int64_t> apportion(const std::string& service, int64_t replicas,
                                         const std::vector<ShardShare>& shards)
{
    std::map<std::string, int64_t> counts;
    std::map<std::string, int64_t> domains;
    for (int64_t i = 0; i < replicas; ++i) {
        Choice best;
        for (const ShardShare& shard : shards) {
            const auto present = counts.find(shard.shard);
            const int64_t count = present == counts.end() ? 0 : present->second;
            if (!has_room(shard, count))
                continue;
            const Choice choice { domains[shard.domain],
                                  static_cast<double>(count + 1)
                                      / static_cast<double>(shard.boxes),
                                  stable_hash(service + "/" + shard.shard), &shard };
            if (best.shard == nullptr || choice < best)
                best = choice;
        }
        if (best.shard == nullptr)
            break;
        ++counts[best.shard->shard];
        ++domains[best.shard->domain];
    }
    return counts;
}

} // namespace pathport
