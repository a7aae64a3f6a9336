// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workspaces: groups of callers that share keys, a weight and a bound on what their tasks
/// may take.

#pragma once

#include <pathport/callers/caller_key.h>
#include <pathport/model.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pathport::callers {

/// One workspace.
struct Workspace {
    std::string name;
    double weight
        = 1; ///< Its share when all is full, and the jobs it may count on a second.
    int priority = 0;
    Resources bound; ///< What its tasks may take in all; 0 of a kind: no bound.

    bool operator==(const Workspace& other) const
    {
        return name == other.name && weight == other.weight && priority == other.priority
            && bound == other.bound;
    }
};

/// Returns how many tasks that need `need` each fit into `free`, where only the kinds that
/// `bound` limits count; `most` when none of them does.
int tasks_that_fit(const Resources& need, const Resources& free, const Resources& bound,
                   int most);

/// What is wrong with a workspace of a configuration.
enum class WorkspaceFault {
    unreadable, ///< It is no object; left out.
    no_name, ///< Left out, with its keys.
    repeated_name, ///< Left out, with its keys; the first one of the name stays.
    bad_weight, ///< It counts as 1.
    bad_bound, ///< That kind counts as unbounded.
    bad_key, ///< The key is no text, empty or too long; it is nobody's.
    shared_key, ///< The key stays that of the first workspace that has it.
};
/// Returns the lower-case name of `fault`.
const char* to_string(WorkspaceFault fault);

/// The workspaces of one configuration, and whose each key is. It doesn't change once it is
/// in force.
class Workspaces {
public:
    explicit Workspaces(KeyHasher hasher)
        : m_hasher(hasher)
    {
    }

    /// Adds a workspace; returns a fault when it was left out.
    std::optional<WorkspaceFault> add(const Workspace& workspace);
    /// Gives a key to the workspace that was added last.
    std::optional<WorkspaceFault> add_key(std::string_view key);
    /// The same for a key whose digest is known.
    std::optional<WorkspaceFault> add_digest(const KeyDigest& digest);

    const KeyHasher& hasher() const { return m_hasher; }
    const std::vector<Workspace>& all() const { return m_all; }
    /// Returns the workspace of that name, or nothing.
    const Workspace* find(const std::string& name) const;
    /// Returns the workspace that has the key, or nothing.
    const Workspace* find_by_key(std::string_view key) const;
    /// Returns each key's digest with the place of its workspace in all().
    std::vector<std::pair<KeyDigest, size_t>> digests() const;

private:
    KeyHasher m_hasher;
    std::vector<Workspace> m_all;
    std::unordered_map<KeyDigest, size_t, KeyDigestHash> m_key_owners;
};

} // namespace pathport::callers
