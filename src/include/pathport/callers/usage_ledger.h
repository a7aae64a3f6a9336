// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What each workspace has running, against its bound.

#pragma once

#include <pathport/callers/workspace.h>

#include <map>
#include <string>
#include <vector>

namespace pathport::callers {

/// Stands for a workspace in the ledger. Numbers are dense and stay.
using WorkspaceNumber = size_t;

/// Sums of what is charged to the workspaces. A task is charged from the choice of its
/// worker until its end is listed there or can't come any more.
class UsageLedger {
public:
    /// What is charged to this one is of a workspace that isn't known, so it counts against
    /// the bound of each.
    static constexpr WorkspaceNumber unknown = 0;
    /// Of jobs without a workspace. It has no bound.
    static constexpr WorkspaceNumber none = 1;

    UsageLedger();

    /// Returns the number of a workspace; "" is `none`.
    WorkspaceNumber number_of(const std::string& workspace);
    const std::string& name_of(WorkspaceNumber workspace) const;
    size_t size() const { return m_entries.size(); }

    /// Takes the weights and bounds of a configuration. Workspaces that it lacks have no
    /// bound, and a weight of 1.
    void configure(const Workspaces& workspaces);
    const Resources& bound_of(WorkspaceNumber workspace) const;
    double weight_of(WorkspaceNumber workspace) const;

    void charge(WorkspaceNumber workspace, const Resources& need);
    void discharge(WorkspaceNumber workspace, const Resources& need);
    /// Sets anew what may run without a charge; counts like a charge.
    void clear_in_doubt();
    void add_in_doubt(WorkspaceNumber workspace, const Resources& need);

    /// Returns what the workspace has running, or may have.
    Resources running(WorkspaceNumber workspace) const;
    /// Returns whether the workspace has a bound.
    bool is_bounded(WorkspaceNumber workspace) const;
    /// Returns how many tasks more may start for the workspace, `most` at most.
    int tasks_allowed(WorkspaceNumber workspace, const Resources& need, int most) const;

    /// Begins a look at all that waits: nothing is set aside.
    void clear_reservations();
    /// Sets room of the workspace aside for a step that waits for it, from those that are
    /// looked at after it.
    void reserve(WorkspaceNumber workspace, const Resources& need);

private:
    struct Entry {
        std::string name;
        Resources bound;
        double weight = 1;
        Resources charged;
        Resources in_doubt;
        Resources reserved; ///< Set aside in this round.
    };

    Resources available(const Entry& entry) const;

    std::vector<Entry> m_entries;
    std::map<std::string, WorkspaceNumber> m_numbers;
};

} // namespace pathport::callers
