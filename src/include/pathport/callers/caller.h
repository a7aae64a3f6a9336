// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The identity of a caller, and the jobs that it may access.

#pragma once

#include <pathport/callers/workspace.h>

#include <optional>
#include <string>

namespace pathport::callers {

/// The identity of a caller.
class Caller {
public:
    /// A caller in a cell without workspaces, where every caller may see every job.
    Caller() = default;
    /// A caller of a public queue without the key of any workspace.
    static Caller anonymous() { return Caller(std::string()); }
    static Caller of(std::string workspace) { return Caller(std::move(workspace)); }

    /// Returns whether the cell has workspaces.
    bool workspaces_enabled() const { return m_workspace.has_value(); }
    /// Returns the workspace, or "" when the caller has none.
    const std::string& workspace() const;
    /// Returns whether the caller may access a job of workspace `owner`. A job without one
    /// was submitted by an anonymous caller, or before there were workspaces.
    bool may_see(const std::string& owner) const;

    bool operator==(const Caller& other) const { return m_workspace == other.m_workspace; }

private:
    explicit Caller(std::string workspace)
        : m_workspace(std::move(workspace))
    {
    }

    std::optional<std::string> m_workspace;
};

/// Result of checking a call's key.
enum class CallerVerdict {
    admitted,
    denied, ///< No workspace has the key.
    undecided, ///< No known workspace has it, but the configuration may be outdated.
};

struct CallerCheck {
    CallerVerdict verdict = CallerVerdict::undecided;
    Caller caller; ///< Valid if admitted.
};

/// Identifies the caller by its key. `workspaces` are those of the configuration in force,
/// nothing if it has none; `is_fresh` tells whether that configuration may be taken for the
/// newest one.
CallerCheck check_caller(const std::optional<Workspaces>& workspaces, bool queue_is_public,
                         const PresentedKey& key, bool is_fresh);

} // namespace pathport::callers
