// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "silent_workers.h"

#include <algorithm>
#include <iterator>

namespace pathport::jobs {

namespace {
/// Times are rounded up to multiples of this, so that workers lost together share one.
/// Their tasks wait at most that much longer.
constexpr int64_t time_step_ms = 50;
/// Size in the row: quotes and a comma around an id; a time of 14 digits, brackets and
/// commas for each group.
constexpr size_t bytes_per_id = 3;
constexpr size_t bytes_per_group = 20;

int64_t rounded_up(int64_t over_ms)
{
    return (over_ms + time_step_ms - 1) / time_step_ms * time_step_ms;
}
} // namespace

std::optional<int64_t> SilentWorkers::lease_end_ms(const std::string& worker) const
{
    const auto found = m_lease_ends.find(worker);
    if (found == m_lease_ends.end())
        return std::nullopt;
    return found->second;
}

void SilentWorkers::erase_before(int64_t clock_ms)
{
    for (auto entry = m_lease_ends.begin(); entry != m_lease_ends.end();)
        entry = entry->second < clock_ms ? m_lease_ends.erase(entry) : std::next(entry);
}

void SilentWorkers::truncate_to(size_t bytes)
{
    std::vector<std::pair<int64_t, std::string>> latest_first;
    for (const auto& [worker, over] : m_lease_ends)
        latest_first.emplace_back(over, worker);
    std::sort(latest_first.rbegin(), latest_first.rend());
    size_t used = 0;
    int64_t group = 0;
    for (const auto& [over, worker] : latest_first) {
        if (rounded_up(over) != group)
            used += bytes_per_group;
        group = rounded_up(over);
        used += worker.size() + bytes_per_id;
        if (used > bytes)
            m_lease_ends.erase(worker);
    }
}

std::vector<SilentWorkers::Group> SilentWorkers::grouped() const
{
    std::map<int64_t, std::vector<std::string>> groups;
    for (const auto& [worker, over] : m_lease_ends)
        groups[rounded_up(over)].push_back(worker);
    return { groups.begin(), groups.end() };
}

SilentWorkers SilentWorkers::from_groups(const std::vector<Group>& groups)
{
    SilentWorkers workers;
    for (const auto& [over, ids] : groups) {
        for (const std::string& id : ids)
            workers.set(id, over);
    }
    return workers;
}

} // namespace pathport::jobs
