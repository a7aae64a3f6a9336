// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A time-out that follows how long a system's answers take at present.

#pragma once

#include <pathport/clock.h>

#include <algorithm>

namespace pathport::jobs {

/// Adapts the time-out of calls to one system: several times the recent latency, and longer
/// after each call without an answer, so that a slow system isn't taken for a silent one.
class CallTimeout {
public:
    CallTimeout(Millis least, Millis most)
        : m_least(least.count())
        , m_most(most.count())
        , m_present(2 * least.count())
    {
    }

    Millis value() const { return Millis(std::clamp(m_present, m_least, m_most)); }

    /// Notes that an answer came after `latency`.
    void answered(Millis latency)
    {
        m_latency = (m_latency * 3 + latency.count()) / 4;
        m_present = std::clamp(latency_multiple * m_latency, m_least, m_most);
    }

    /// Notes that no answer came within value().
    void unanswered() { m_present = std::min(m_present * 2, m_most); }

private:
    static constexpr int64_t latency_multiple = 4;
    int64_t m_least;
    int64_t m_most;
    int64_t m_present;
    int64_t m_latency = 0;
};

} // namespace pathport::jobs
