// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "followers.h"

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

void Followers::note(const std::string& address, const Follower& follower)
{
    const auto [entry, added] = m_entries.try_emplace(address);
    if (!added)
        m_promises.erase(m_promises.find(entry->second.promised_until));
    entry->second = follower;
    m_promises.insert(follower.promised_until);
    if (follower.store_served)
        m_max_millicores = std::max(m_max_millicores, follower.cpu_millicores);
}

void Followers::erase(const std::string& address)
{
    const auto entry = m_entries.find(address);
    if (entry == m_entries.end())
        return;
    m_promises.erase(m_promises.find(entry->second.promised_until));
    m_entries.erase(entry);
}

void Followers::clear()
{
    m_entries.clear();
    m_promises.clear();
    m_max_millicores = 0;
}

const Follower* Followers::find(const std::string& address) const
{
    const auto entry = m_entries.find(address);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

void Followers::for_each(
    const std::function<void(const std::string&, const Follower&)>& visit) const
{
    m_entries_walked += static_cast<int64_t>(m_entries.size());
    for (const auto& [address, follower] : m_entries)
        visit(address, follower);
}

std::optional<Millis> Followers::earliest_promise() const
{
    if (m_promises.empty())
        return std::nullopt;
    return *m_promises.begin();
}

std::vector<Candidate> Followers::strongest(size_t count, Millis live_since) const
{
    m_entries_walked += static_cast<int64_t>(m_entries.size());
    std::vector<Entries::const_iterator> order;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry)
        order.push_back(entry);
    const auto key = [live_since](const Follower& follower) {
        return std::make_tuple(follower.cpu_millicores, follower.last_heard > live_since,
                               follower.store_served, follower.last_heard);
    };
    const size_t kept = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept),
                      order.end(), [&](const auto& left, const auto& right) {
                          return key(left->second) > key(right->second);
                      });
    std::vector<Candidate> candidates;
    for (size_t i = 0; i < kept; ++i)
        candidates.push_back({ order[i]->first, order[i]->second.cpu_millicores });
    return candidates;
}

void Followers::refresh(Millis drop_before, Millis live_since)
{
    m_entries_walked += static_cast<int64_t>(m_entries.size());
    m_max_millicores = 0;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const Follower& follower = entry->second;
        if (follower.last_heard < drop_before) {
            m_promises.erase(m_promises.find(follower.promised_until));
            entry = m_entries.erase(entry);
            continue;
        }
        if (follower.store_served && follower.last_heard > live_since)
            m_max_millicores = std::max(m_max_millicores, follower.cpu_millicores);
        ++entry;
    }
}

void Followers::discount(Millis span, Millis now)
{
    m_entries_walked += static_cast<int64_t>(m_entries.size());
    for (auto& [address, follower] : m_entries)
        follower.last_heard = std::min(now, follower.last_heard + span);
}

} // namespace pathport::jobs
