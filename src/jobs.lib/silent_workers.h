// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Silent workers, as the head row lists them for the next leader.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Workers whose leases are not renewed, each with the time of the store's clock at which
/// everything that any leader has leased there has certainly ended.
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
    /// Returns when everything leased to `worker` has ended; nullopt if it is not listed.
    std::optional<int64_t> lease_end_ms(const std::string& worker) const;

    /// Removes workers whose leases ended before this time.
    void erase_before(int64_t clock_ms);
    /// Removes workers whose leases end first, until the others take at most this many
    /// bytes.
    void truncate_to(size_t bytes);

    /// Returns the workers in few groups, for a short row; times are rounded up, never
    /// down.
    std::vector<Group> grouped() const;
    static SilentWorkers from_groups(const std::vector<Group>& groups);
    /// Returns these workers with the times that grouped() gives.
    SilentWorkers rounded() const { return from_groups(grouped()); }

    bool operator==(const SilentWorkers& other) const
    {
        return m_lease_ends == other.m_lease_ends;
    }

private:
    std::map<std::string, int64_t> m_lease_ends; ///< End of its leases in ms, by worker.
};

} // namespace pathport::jobs
