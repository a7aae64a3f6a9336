// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many workers a query to the advisor has to name.

#pragma once

#include <cstddef>

namespace pathport::jobs {

/// Maximum number of workers in one query.
constexpr size_t max_asked = 100;

/// What a step needs of a query.
struct QueryDemand {
    int needed = 0; ///< Tasks to place.
    bool gang = false; ///< All of them start together.
    size_t least = 0; ///< Number of workers that a query names at least, if there are any.
    double allowed_share = 1; ///< Of the workers asked about, as learned.
    int fit = 0; ///< Tasks that fit on workers that are allowed already.
    int potential_fit = 0; ///< The same once less urgent tasks have ended there.
};

/// Adds up what the workers chosen for a query are expected to hold, until it names enough.
/// Capacity that becomes free when less urgent tasks end counts half. More workers than one
/// query names are needed only for a gang that these would not suffice for even then.
class QueryPlan {
public:
    explicit QueryPlan(const QueryDemand& demand);
    /// Adds a worker that can hold this many tasks of the step, now and once less urgent
    /// tasks have ended.
    void add(int fit, int potential_fit);
    /// Returns whether the workers added suffice.
    bool complete() const;

private:
    QueryDemand m_demand;
    double m_expected = 0;
    double m_expected_potential = 0;
    size_t m_chosen = 0;
    bool m_one_query_suffices = true;
};

} // namespace pathport::jobs
