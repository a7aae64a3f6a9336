// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "payload_cache.h"

namespace pathport::jobs {

PayloadCache::PayloadCache(size_t max_bytes)
    : m_max_bytes(max_bytes)
{
}

void PayloadCache::put(const std::string& job, const std::string& payload)
{
    if (!m_payloads.emplace(job, payload).second)
        return;
    m_order.push_back(job);
    m_bytes += job.size() + payload.size();
    while (m_bytes > m_max_bytes && m_order.size() > 1) {
        const auto oldest = m_payloads.find(m_order.front());
        m_bytes -= oldest->first.size() + oldest->second.size();
        m_payloads.erase(oldest);
        m_order.pop_front();
    }
}

const std::string* PayloadCache::find(const std::string& job) const
{
    const auto found = m_payloads.find(job);
    return found == m_payloads.end() ? nullptr : &found->second;
}

} // namespace pathport::jobs
