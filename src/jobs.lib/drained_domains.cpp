// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/jobs/drained_domains.h>

#include <algorithm>
#include <utility>

namespace pathport::jobs {

DrainedDomains::DrainedDomains(std::set<std::string> domains, int64_t version,
                               int64_t changed_at)
    : m_domains(std::move(domains))
    , m_version(version)
    , m_changed_at(changed_at)
{
}

// A request that was withdrawn before the read leaves no trace in the answer, so any
// difference counts as a change at the version of the read.
DrainedDomains DrainedDomains::after_read(const std::vector<DrainChange>& requests,
                                          int64_t version) const
{
    if (version <= m_version)
        return *this;
    std::set<std::string> domains;
    int64_t changed_at = m_changed_at;
    for (const DrainChange& request : requests) {
        domains.insert(request.domain);
        changed_at = std::max(changed_at, request.version);
    }
    if (m_version > 0 && domains != m_domains)
        changed_at = std::max(changed_at, version);
    return { std::move(domains), version, changed_at };
}

DrainedDomains DrainedDomains::after_changes(const std::vector<DrainChange>& changes,
                                             int64_t version) const
{
    DrainedDomains result = *this;
    for (const DrainChange& change : changes) {
        if (change.version <= m_version)
            continue;
        if (change.drained)
            result.m_domains.insert(change.domain);
        else
            result.m_domains.erase(change.domain);
        result.m_changed_at = std::max(result.m_changed_at, change.version);
    }
    result.m_version = std::max(m_version, version);
    return result;
}

DrainedDomains DrainedDomains::merged_with(const DrainedDomains& other) const
{
    return other.m_version > m_version ? other : *this;
}

} // namespace pathport::jobs
