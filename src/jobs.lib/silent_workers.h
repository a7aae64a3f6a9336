// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that leaders have lost sight of, as the head row tells a successor of them.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Workers at which no lease is renewed, each with the time of the store's clock at which
/// all that any leader has leased there has surely ended.
class SilentWorkers {
public:
    /// Workers with the same time.
    using Group = std::pair<int64_t, std::vector<std::string>>;

    void set(const std::string& worker, int64_t over_ms) { m_lease_ends[worker] = over_ms; }
    void erase(const std::string& worker) { m_lease_ends.erase(worker); }
    bool empty() const { return m_lease_ends.empty(); }
    size_t size() const { return m_lease_ends.size(); }
    bool contains(const std::string& worker) const
    {
        return m_lease_ends.count(worker) > 0;
    }
    /// Returns when all that was leased to `worker` has ended; nothing if it is not named.
    std::optional<int64_t> lease_end_ms(const std::string& worker) const;

    /// Forgets those whose leases ended before this time.
    void erase_before(int64_t clock_ms);
    /// Forgets those whose leases ended first, until the others take so many bytes at most.
    void truncate_to(size_t bytes);

    /// Returns them in few groups, for a short row; none comes before its time so.
    std::vector<Group> grouped() const;
    static SilentWorkers from_groups(const std::vector<Group>& groups);
    /// Returns what is left of these after they have been grouped.
    SilentWorkers rounded() const { return from_groups(grouped()); }

    bool operator==(const SilentWorkers& other) const
    {
        return m_lease_ends == other.m_lease_ends;
    }

private:
    std::map<std::string, int64_t> m_lease_ends; ///< By worker.
};

} // namespace pathport::jobs
