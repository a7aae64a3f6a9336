// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What each worker has to offer, in one array. A look for room reads it from end to end,
/// so it holds plain numbers only: no names, no maps, nothing to follow.

#pragma once

#include "placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pathport::jobs {

struct Step;

/// Names a worker within one leader's epoch. Numbers rise and are not used again, so one
/// that is kept longer than its worker finds a closed row.
using WorkerNumber = uint32_t;

/// One worker as a look for room sees it.
struct CapacityRow {
    Resources free;
    Resources capacity;
    int service = 0; ///< The number of its service, as RoomTable gives it.
    int max_new_tasks = 0; ///< Tasks that may be added for other reasons than room.
    bool open = false; ///< It may be given tasks.
    bool slow = false; ///< Slower than others; urgent work should go elsewhere.
    const Step* kept_for = nullptr; ///< Nobody else may use it in the present pass.

    bool operator==(const CapacityRow& other) const;
    /// Returns whether `step` may use what is free.
    bool available_to(const Step& step) const
    {
        return kept_for == nullptr || kept_for == &step;
    }
};

/// The rows of all workers.
class CapacityTable {
public:
    /// Adds a closed row and returns its number.
    WorkerNumber add();
    /// Closes a row for good.
    void close_row(WorkerNumber number);
    /// Returns a row for reading; the number must have come from add().
    const CapacityRow& row(WorkerNumber number) const { return m_rows[number]; }
    /// Replaces a row, but for whom it is kept for.
    void set(WorkerNumber number, CapacityRow row);
    /// Keeps a worker for a step until release_kept(); does nothing when it is kept
    /// already.
    void keep(WorkerNumber number, const Step& step);
    /// Ends the keeping of all workers.
    void release_kept();
    /// Returns how many workers are kept.
    size_t kept_count() const { return m_kept.size(); }

    size_t size() const { return m_rows.size(); }

private:
    std::vector<CapacityRow> m_rows; ///< By number.
    std::vector<WorkerNumber> m_kept;
};

/// Returns how many tasks of `step`, `needed` at most, fit into `free`. Most workers of a
/// busy cell have no room for a single one, which comparisons tell without a division.
int tasks_that_fit_into(const StepSpec& step, const Resources& free, int needed,
                        int at_most);

} // namespace pathport::jobs
