// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/workspace.h>

#include <algorithm>

namespace pathport::callers {

namespace {

int tasks_that_fit_one(int64_t need, int64_t free, int64_t bound, int max_count)
{
    if (bound <= 0 || need <= 0)
        return max_count;
    return static_cast<int>(std::clamp<int64_t>(free / need, 0, max_count));
}

} // namespace

int tasks_that_fit(const Resources& need, const Resources& free, const Resources& bound,
                   int max_count)
{
    max_count
        = tasks_that_fit_one(need.cpu_millis, free.cpu_millis, bound.cpu_millis, max_count);
    max_count
        = tasks_that_fit_one(need.memory_mb, free.memory_mb, bound.memory_mb, max_count);
    return tasks_that_fit_one(need.accelerators, free.accelerators, bound.accelerators,
                              max_count);
}

const char* to_string(WorkspaceFault fault)
{
    switch (fault) {
    case WorkspaceFault::unreadable:
        return "unreadable";
    case WorkspaceFault::no_name:
        return "no_name";
    case WorkspaceFault::repeated_name:
        return "repeated_name";
    case WorkspaceFault::bad_weight:
        return "bad_weight";
    case WorkspaceFault::bad_priority:
        return "bad_priority";
    case WorkspaceFault::bad_bound:
        return "bad_bound";
    case WorkspaceFault::bad_key:
        return "bad_key";
    case WorkspaceFault::shared_key:
        break;
    }
    return "shared_key";
}

std::optional<WorkspaceFault> Workspaces::add(const Workspace& workspace)
{
    if (workspace.name.empty())
        return WorkspaceFault::no_name;
    if (find(workspace.name) != nullptr)
        return WorkspaceFault::repeated_name;
    m_all.push_back(workspace);
    return std::nullopt;
}

std::optional<WorkspaceFault> Workspaces::add_key(std::string_view key)
{
    if (key.empty() || key.size() > max_key_bytes)
        return WorkspaceFault::bad_key;
    return add_digest(m_hasher.digest(key));
}

std::optional<WorkspaceFault> Workspaces::add_digest(const KeyDigest& digest)
{
    const size_t key_owner = m_all.size() - 1;
    const auto [entry, added] = m_key_owners.try_emplace(digest, key_owner);
    if (!added && entry->second != key_owner)
        return WorkspaceFault::shared_key;
    return std::nullopt;
}

const Workspace* Workspaces::find(const std::string& name) const
{
    const auto found
        = std::find_if(m_all.begin(), m_all.end(),
                       [&](const Workspace& workspace) { return workspace.name == name; });
    return found == m_all.end() ? nullptr : &*found;
}

const Workspace* Workspaces::find_by_key(std::string_view key) const
{
    const auto found = m_key_owners.find(m_hasher.digest(key));
    return found == m_key_owners.end() ? nullptr : &m_all[found->second];
}

std::vector<std::pair<KeyDigest, size_t>> Workspaces::digests() const
{
    return { m_key_owners.begin(), m_key_owners.end() };
}

} // namespace pathport::callers
