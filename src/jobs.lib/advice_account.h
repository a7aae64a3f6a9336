// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How much of the advisor's time leads to starts.

#pragma once

#include <map>
#include <string>

namespace pathport::jobs {

/// The advisor's time for queries of one queue, in milliseconds.
struct AdvisorTime {
    double answered_ms = 0; ///< Queries that were answered.
    double used_ms = 0; ///< The part of it whose step was placed afterwards.
    double unanswered_ms = 0; ///< Queries that were not answered in time.

    bool operator==(const AdvisorTime& other) const;
    AdvisorTime operator+(const AdvisorTime& other) const;
    AdvisorTime operator-(const AdvisorTime& other) const;
};

/// Sums of the advisor's time by queue. Each step holds the time of its answers since it
/// was last placed, which counts as used at its next placement.
class AdviceAccount {
public:
    /// Records the answer to a query, or its lack; adds the time to the step's `unused_ms`
    /// if it was answered.
    void note_answer(const std::string& queue, double cost_ms, bool answered,
                     double& unused_ms);
    /// Records that tasks of a step were placed; resets the step's `unused_ms`.
    void note_placement(const std::string& queue, double& unused_ms);

    const std::map<std::string, AdvisorTime>& by_queue() const { return m_by_queue; }
    AdvisorTime total() const;

private:
    std::map<std::string, AdvisorTime> m_by_queue;
};

} // namespace pathport::jobs
