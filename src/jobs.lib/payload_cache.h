// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cache of recent jobs' payloads, for relayed starts that omit them.

#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace pathport::jobs {

/// A cache of payloads that is limited in size and evicts the oldest entry first.
class PayloadCache {
public:
    /// `max_bytes` limits the total size of payloads and job ids.
    explicit PayloadCache(size_t max_bytes);

    /// Adds the payload of a job unless it is present.
    void put(const std::string& job, const std::string& payload);
    /// Returns the payload of a job, or nullptr; valid until the next put().
    const std::string* find(const std::string& job) const;
    size_t bytes() const { return m_bytes; }

private:
    size_t m_max_bytes;
    size_t m_bytes = 0;
    std::unordered_map<std::string, std::string> m_payloads;
    std::deque<std::string> m_order; ///< Job ids, oldest first.
};

} // namespace pathport::jobs
