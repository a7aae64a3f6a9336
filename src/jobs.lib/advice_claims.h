// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Free capacity that queries to the advisor are already about.

#pragma once

#include "capacity_table.h"

#include <map>
#include <vector>

namespace pathport::jobs {

/// The free capacity for which steps with a query in progress will use their tickets. Other
/// steps ask about the rest: of several queries about the same capacity only one leads to a
/// start, and the tickets of the others expire. Claims restrict queries, not placements.
class AdviceClaims {
public:
    /// Drops all claims; `workers` is the number of rows in the capacity table.
    void clear(size_t workers);
    /// Adds a claim of a step of this rank on a worker's capacity.
    void add(WorkerNumber worker, int rank, const Resources& amount);
    /// Returns what a step of this rank may ask about out of `free`: what steps of its own
    /// and of more urgent ranks have not claimed. It is never negative.
    Resources unclaimed(WorkerNumber worker, int rank, const Resources& free) const;
    bool empty() const { return m_claimed.empty(); }

private:
    size_t m_workers = 0;
    std::map<int, std::vector<Resources>> m_claimed; ///< By rank and worker number.
};

} // namespace pathport::jobs
