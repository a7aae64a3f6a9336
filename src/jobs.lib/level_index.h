// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers grouped by an amount, such as free memory, so that those with enough of it are
/// found without looking at the others.

#pragma once

#include "worker_number.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pathport::jobs {

/// Groups workers into levels of an amount. A level spans a quarter of a power of two, so
/// changes take constant time, and the order within a level is arbitrary. Amounts below 0
/// count as 0.
class LevelIndex {
public:
    /// Adds a worker or changes its amount.
    void set(WorkerNumber worker, int64_t amount);
    /// Removes a worker; does nothing if it is not there.
    void erase(WorkerNumber worker);
    /// Returns an upper bound on the number of workers with at least this amount: it counts
    /// all that are in the amount's level or above.
    size_t count_from(int64_t amount) const;

    /// Calls `visit` for the workers with at least this amount, and possibly for some with
    /// a little less, until it returns false. The workers with the largest amounts come
    /// first. Returns whether all were visited. `visit` must not change the index.
    template <typename Visit>
    bool visit_down(int64_t amount, Visit visit) const
    {
        const size_t lowest = level_of(amount);
        for (size_t level = m_levels.size(); level > lowest; --level) {
            if (!visit_level(level - 1, visit))
                return false;
        }
        return true;
    }
    /// The same, with the smallest amounts first.
    template <typename Visit>
    bool visit_up(int64_t amount, Visit visit) const
    {
        for (size_t level = level_of(amount); level < m_levels.size(); ++level) {
            if (!visit_level(level, visit))
                return false;
        }
        return true;
    }

private:
    /// Where a worker is; `level` is `absent` if it is not in the index.
    struct Place {
        uint32_t level = absent;
        uint32_t position = 0;
    };

    static constexpr uint32_t absent = UINT32_MAX;

    static size_t level_of(int64_t amount);

    template <typename Visit>
    bool visit_level(size_t level, Visit& visit) const
    {
        for (const WorkerNumber worker : m_levels[level]) {
            if (!visit(worker))
                return false;
        }
        return true;
    }

    std::vector<std::vector<WorkerNumber>> m_levels;
    std::vector<Place> m_places; ///< By worker.
};

} // namespace pathport::jobs
