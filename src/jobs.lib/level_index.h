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
    /// Returns the number of workers with at least this amount.
    size_t count_from(int64_t amount) const;

    /// Calls `visit` for the workers with at least this amount until it returns false.
    /// Those in the levels of the largest amounts come first. Returns whether all were
    /// visited. `visit` must not change the index.
    template <typename Visit>
    bool visit_down(int64_t amount, Visit visit) const
    {
        const size_t lowest = level_of(amount);
        for (size_t level = m_levels.size(); level > lowest; --level) {
            if (!visit_level(level - 1, amount, visit))
                return false;
        }
        return true;
    }
    /// The same, with the smallest amounts first.
    template <typename Visit>
    bool visit_up(int64_t amount, Visit visit) const
    {
        for (size_t level = level_of(amount); level < m_levels.size(); ++level) {
            if (!visit_level(level, amount, visit))
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

    /// The workers of one level and their amounts, in the same order.
    struct Level {
        std::vector<WorkerNumber> workers;
        std::vector<int64_t> amounts;
    };

    static constexpr uint32_t absent = UINT32_MAX;

    static size_t level_of(int64_t amount);

    template <typename Visit>
    bool visit_level(size_t number, int64_t amount, Visit& visit) const
    {
        const Level& level = m_levels[number];
        for (size_t i = 0; i < level.workers.size(); ++i) {
            if (level.amounts[i] >= amount && !visit(level.workers[i]))
                return false;
        }
        return true;
    }

    std::vector<Level> m_levels;
    std::vector<Place> m_places; ///< By worker.
};

} // namespace pathport::jobs
