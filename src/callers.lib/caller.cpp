// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/caller.h>

namespace pathport::callers {

const std::string& Caller::workspace() const
{
    static const std::string none;
    return m_workspace ? *m_workspace : none;
}

bool Caller::may_see(const std::string& owner) const
{
    return !m_workspace || owner.empty() || owner == *m_workspace;
}

CallerCheck check_caller(const std::optional<Workspaces>& workspaces, bool queue_is_public,
                         const PresentedKey& key, bool is_fresh)
{
    if (!workspaces)
        return { CallerVerdict::admitted, Caller() };
    const Workspace* key_owner
        = key.text() ? workspaces->find_by_key(*key.text()) : nullptr;
    if (key_owner != nullptr)
        return { CallerVerdict::admitted, Caller::of(key_owner->name) };
    if (queue_is_public)
        return { CallerVerdict::admitted, Caller::anonymous() };
    // A call without a key is undecided too while the configuration is not fresh: a newer
    // one may have made the queue public.
    return { is_fresh ? CallerVerdict::denied : CallerVerdict::undecided, Caller() };
}

} // namespace pathport::callers
