// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "peer_list.h"

#include "store_keys.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace pathport::jobs {

namespace {

/// Number of changes that are remembered. Nodes that send heartbeats lag by a few.
constexpr size_t max_changes = 64;

using Addresses = std::vector<std::string>;

int64_t hash_of(const Addresses& addresses)
{
    if (addresses.empty())
        return 0;
    std::string joined;
    for (const std::string& address : addresses)
        joined += address + " ";
    return static_cast<int64_t>(stable_hash(joined) >> 1);
}

/// Returns what `left` has and `right` lacks; both are in ascending order.
Addresses difference(const Addresses& left, const Addresses& right)
{
    Addresses result;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                        std::back_inserter(result));
    return result;
}

} // namespace

void PeerList::set(Addresses addresses)
{
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (addresses == m_addresses)
        return;
    m_changes.push_back(
        { m_hash, difference(addresses, m_addresses), difference(m_addresses, addresses) });
    if (m_changes.size() > max_changes)
        m_changes.pop_front();
    m_addresses = std::move(addresses);
    m_hash = hash_of(m_addresses);
}

PeerListUpdate PeerList::update_for(int64_t hash) const
{
    PeerListUpdate update;
    update.hash = m_hash;
    if (hash == m_hash)
        return update;
    const auto first
        = std::find_if(m_changes.rbegin(), m_changes.rend(),
                       [&](const Change& change) { return change.before == hash; });
    if (first == m_changes.rend() || hash == 0) {
        update.full = true;
        update.added = m_addresses;
        return update;
    }
    std::set<std::string> added;
    std::set<std::string> removed;
    for (auto change = std::prev(first.base()); change != m_changes.end(); ++change) {
        for (const std::string& address : change->added) {
            if (removed.erase(address) == 0)
                added.insert(address);
        }
        for (const std::string& address : change->removed) {
            if (added.erase(address) == 0)
                removed.insert(address);
        }
    }
    update.added.assign(added.begin(), added.end());
    update.removed.assign(removed.begin(), removed.end());
    return update;
}

bool PeerList::apply(const PeerListUpdate& update)
{
    Addresses addresses
        = update.full ? update.added : difference(m_addresses, update.removed);
    if (!update.full)
        addresses.insert(addresses.end(), update.added.begin(), update.added.end());
    set(std::move(addresses));
    // A leader of another version may compute another hash.
    if (update.full)
        m_hash = update.hash;
    if (m_hash == update.hash)
        return true;
    set({});
    return false;
}

} // namespace pathport::jobs
