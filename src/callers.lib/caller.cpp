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
    const Workspace* holder = key.text() ? workspaces->find_by_key(*key.text()) : nullptr;
    if (holder != nullptr)
        return { CallerVerdict::admitted, Caller::of(holder->name) };
    if (queue_is_public)
        return { CallerVerdict::admitted, Caller::anonymous() };
    // Without a key no configuration would admit the call, but for one that has made the
    // queue public.
    return { is_fresh ? CallerVerdict::denied : CallerVerdict::undecided, Caller() };
}

} // namespace pathport::callers
