// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The failure domains that the operators drain: no task is started on their workers until
/// the request is withdrawn. What runs there goes on.

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A request to drain a failure domain, or its withdrawal.
struct DrainChange {
    std::string domain;
    bool drained = false;
    int64_t version = 0; ///< Version of the store's transaction that made the change.

    bool operator==(const DrainChange& other) const
    {
        return domain == other.domain && drained == other.drained
            && version == other.version;
    }
};

/// The drained failure domains as of a version of the store. Immutable.
class DrainedDomains {
public:
    /// Nothing is known yet.
    DrainedDomains() = default;
    /// `domains` are all that are drained as of `version`; the last change known of was
    /// made at `changed_at`.
    DrainedDomains(std::set<std::string> domains, int64_t version, int64_t changed_at);

    bool contains(const std::string& domain) const { return m_domains.count(domain) > 0; }
    bool empty() const { return m_domains.empty(); }
    const std::set<std::string>& domains() const { return m_domains; }
    /// Returns the version up to which all changes are included; 0 if nothing is known.
    int64_t version() const { return m_version; }
    /// Returns the version of the last change known of, or 0. A node whose version() is
    /// lower lacks that change.
    int64_t changed_at() const { return m_changed_at; }

    /// Returns the state after a read of all requests, whose answer is complete up to
    /// `version`. An answer that is older than this state changes nothing.
    DrainedDomains after_read(const std::vector<DrainChange>& requests,
                              int64_t version) const;
    /// Returns the state after the changes that a watch has returned, in the order of their
    /// versions and complete up to `version`. Changes that are included already are
    /// skipped, so that answers of overlapping watches may arrive in any order.
    DrainedDomains after_changes(const std::vector<DrainChange>& changes,
                                 int64_t version) const;
    /// Returns the newer of this state and another node's.
    DrainedDomains merged_with(const DrainedDomains& other) const;

    bool operator==(const DrainedDomains& other) const
    {
        return m_domains == other.m_domains && m_version == other.m_version
            && m_changed_at == other.m_changed_at;
    }

private:
    std::set<std::string> m_domains;
    int64_t m_version = 0;
    int64_t m_changed_at = 0;
};

} // namespace pathport::jobs
