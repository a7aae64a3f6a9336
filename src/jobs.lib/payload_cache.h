// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Payloads of jobs that came by lately, for starts that leave theirs out.

#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace pathport::jobs {

/// A bounded number of bytes of payloads; the oldest go first.
class PayloadCache {
public:
    /// `most_bytes` bounds the payloads with their names.
    explicit PayloadCache(size_t most_bytes);

    /// Adds the payload of a job; does nothing when it is there.
    void put(const std::string& job, const std::string& payload);
    /// Returns the payload of a job, or nullptr. The next put() may end its life.
    const std::string* find(const std::string& job) const;
    size_t bytes() const { return m_bytes; }

private:
    size_t m_max_bytes;
    size_t m_bytes = 0;
    std::unordered_map<std::string, std::string> m_payloads;
    std::deque<std::string> m_order; ///< Jobs, the oldest first.
};

} // namespace pathport::jobs
