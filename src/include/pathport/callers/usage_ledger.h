// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Resources in use by each workspace, and its bound on them.

#pragma once

#include <pathport/callers/workspace.h>

#include <map>
#include <string>
#include <vector>

namespace pathport::callers {

/// Index of a workspace in the ledger; dense, and never reassigned.
using WorkspaceNumber = size_t;

/// Sums of the resources charged to each workspace. A task is charged from the choice of
/// its worker until the worker lists its end, or can no longer do so.
class UsageLedger {
public:
    /// For tasks whose workspace isn't known. They count against the bound of every
    /// workspace.
    static constexpr WorkspaceNumber unknown = 0;
    /// For jobs without a workspace. It has no bound.
    static constexpr WorkspaceNumber none = 1;

    UsageLedger();

    /// Returns the number of a workspace; "" is `none`.
    WorkspaceNumber number_of(const std::string& workspace);
    const std::string& name_of(WorkspaceNumber workspace) const;
    size_t size() const { return m_entries.size(); }

    /// Sets the weights and bounds of a configuration. Workspaces missing in it get no
    /// bound and a weight of 1.
    void configure(const Workspaces& workspaces);
    const Resources& bound_of(WorkspaceNumber workspace) const;
    double weight_of(WorkspaceNumber workspace) const;

    void charge(WorkspaceNumber workspace, const Resources& need);
    void discharge(WorkspaceNumber workspace, const Resources& need);
    /// Clears all usage in doubt: resources of tasks that may be running without having
    /// been charged. It counts like charged usage.
    void clear_in_doubt();
    void add_in_doubt(WorkspaceNumber workspace, const Resources& need);

    /// Returns the resources of all tasks that run, or may run, for the workspace.
    Resources running(WorkspaceNumber workspace) const;
    /// Returns whether the workspace has a bound.
    bool is_bounded(WorkspaceNumber workspace) const;
    /// Returns how many more tasks the bound allows the workspace to start, at most
    /// `max_count`.
    int tasks_allowed(WorkspaceNumber workspace, const Resources& need,
                      int max_count) const;

    /// Drops all reservations, at the start of a pass over the waiting steps.
    void clear_reservations();
    /// Reserves resources of the workspace for a waiting step, against the steps that come
    /// after it in this pass.
    void reserve(WorkspaceNumber workspace, const Resources& need);

private:
    struct Entry {
        std::string name;
        Resources bound;
        double weight = 1;
        Resources charged;
        Resources in_doubt;
        Resources reserved; ///< For waiting steps, in this pass.
    };

    Resources available(const Entry& entry) const;

    std::vector<Entry> m_entries;
    std::map<std::string, WorkspaceNumber> m_numbers;
};

} // namespace pathport::callers
