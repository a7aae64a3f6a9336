// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Free capacity of all workers in one array of plain values: no names, maps or
/// indirections.

#pragma once

#include "placement.h"
#include "worker_number.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pathport::jobs {

struct Step;

/// The data of one worker that a search for capacity needs.
struct CapacityRow {
    Resources free;
    Resources capacity;
    int service = 0; ///< Number of its service, as assigned by the scheduler.
    int max_new_tasks = 0; ///< Limit on further tasks for reasons other than capacity.
    bool open = false; ///< Tasks may be placed on it.
    bool slow = false; ///< Slower than others; urgent work should go elsewhere.
    /// The only step that may use it in the current pass.
    const Step* reserved_for = nullptr;

    bool operator==(const CapacityRow& other) const;
    /// Returns whether `step` may use the free capacity.
    bool available_to(const Step& step) const
    {
        return reserved_for == nullptr || reserved_for == &step;
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
    /// Replaces a row except for its reservation. Returns whether that changed anything.
    bool set(WorkerNumber number, CapacityRow row);
    /// Reserves a worker for a step until release_reservations(); has no effect if it is
    /// already reserved.
    void reserve_row(WorkerNumber number, const Step& step);
    /// Ends all reservations.
    void release_reservations();
    /// Returns the number of reserved workers.
    size_t reserved_count() const { return m_reserved.size(); }

    size_t size() const { return m_rows.size(); }

private:
    std::vector<CapacityRow> m_rows; ///< By number.
    std::vector<WorkerNumber> m_reserved;
};

/// Returns how many tasks of `step`, at most `needed`, fit into `free`. On a busy cell most
/// workers have no capacity for even one task, which comparisons detect without a division.
int tasks_that_fit_into(const StepSpec& step, const Resources& free, int needed, int limit);

} // namespace pathport::jobs
