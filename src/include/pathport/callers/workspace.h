// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workspaces: groups of callers that share keys, a weight and a bound on the resources of
/// their tasks.

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
    double weight = 1; ///< Its share under full load, and its guaranteed jobs per second.
    int priority = 0;
    Resources bound; ///< Limit for all its tasks together; 0: unlimited.

    bool operator==(const Workspace& other) const
    {
        return name == other.name && weight == other.weight && priority == other.priority
            && bound == other.bound;
    }
};

/// Returns how many tasks with the requirements `need` fit into `free`, at most
/// `max_count`. Only the resources that `bound` limits count.
int tasks_that_fit(const Resources& need, const Resources& free, const Resources& bound,
                   int max_count);

/// A fault in the configuration of a workspace, and how it is handled.
enum class WorkspaceFault {
    unreadable, ///< Not a JSON object; left out.
    no_name, ///< Left out, with its keys.
    repeated_name, ///< Left out, with its keys; the first one of that name stays.
    bad_weight, ///< The weight is taken as 1.
    bad_priority, ///< The nearest valid priority is taken, or 0 for no number.
    bad_bound, ///< That resource is not limited.
    bad_key, ///< The key is not a string, empty or too long; ignored.
    shared_key, ///< The key stays with the first workspace that has it.
};
/// Returns the lower-case name of `fault`.
const char* to_string(WorkspaceFault fault);

/// The workspaces of one configuration and their keys. It doesn't change once the
/// configuration is in force.
class Workspaces {
public:
    explicit Workspaces(KeyHasher hasher)
        : m_hasher(hasher)
    {
    }

    /// Adds a workspace; returns a fault when it was left out.
    std::optional<WorkspaceFault> add(const Workspace& workspace);
    /// Adds a key to the workspace that was added last.
    std::optional<WorkspaceFault> add_key(std::string_view key);
    /// Adds a key by its digest.
    std::optional<WorkspaceFault> add_digest(const KeyDigest& digest);

    const KeyHasher& hasher() const { return m_hasher; }
    const std::vector<Workspace>& all() const { return m_all; }
    /// Returns the workspace of that name, or null.
    const Workspace* find(const std::string& name) const;
    /// Returns the workspace that has the key, or null.
    const Workspace* find_by_key(std::string_view key) const;
    /// Returns each key's digest with the index of its workspace in all().
    std::vector<std::pair<KeyDigest, size_t>> digests() const;

private:
    KeyHasher m_hasher;
    std::vector<Workspace> m_all;
    std::unordered_map<KeyDigest, size_t, KeyDigestHash> m_key_owners;
};

} // namespace pathport::callers
