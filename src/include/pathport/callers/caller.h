// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// On whose behalf a client calls, and what it may see.

#pragma once

#include <pathport/callers/workspace.h>

#include <optional>
#include <string>

namespace pathport::callers {

/// Who calls.
class Caller {
public:
    /// A cell without workspaces does not tell its callers apart: each sees every job.
    Caller() = default;
    /// A caller of a public queue that brings no key of a workspace.
    static Caller anonymous() { return Caller(std::string()); }
    static Caller of(std::string workspace) { return Caller(std::move(workspace)); }

    /// Returns whether callers are told apart.
    bool workspaces_enabled() const { return m_workspace.has_value(); }
    /// Returns the workspace, or "" when the caller has none.
    const std::string& workspace() const;
    /// Returns whether the caller may learn of a job of that workspace. A job without one
    /// was handed in by an anonymous caller, or before there were workspaces.
    bool may_see(const std::string& owner) const;

    bool operator==(const Caller& other) const { return m_workspace == other.m_workspace; }

private:
    explicit Caller(std::string workspace)
        : m_workspace(std::move(workspace))
    {
    }

    std::optional<std::string> m_workspace;
};

/// What a look at a call's key showed.
enum class CallerVerdict {
    admitted,
    denied, ///< Nobody has the key.
    undecided, ///< Nobody is known to have it, and the configuration may have changed.
};

struct CallerCheck {
    CallerVerdict verdict = CallerVerdict::undecided;
    Caller caller; ///< If admitted.
};

/// Finds out who calls. `workspaces` are those of the configuration in force, none if it
/// doesn't tell callers apart; `is_fresh` says whether that may be taken for the newest
/// one.
CallerCheck check_caller(const std::optional<Workspaces>& workspaces, bool queue_is_public,
                         const PresentedKey& key, bool is_fresh);

} // namespace pathport::callers
