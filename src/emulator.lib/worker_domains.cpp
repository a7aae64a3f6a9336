// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Failure domains that the operators drain.

#include <pathport/emulator/workers.h>

namespace pathport::emulator {

void Workers::note_drained(const std::string& domain, Millis last_start)
{
    m_drained_domains.emplace(domain, last_start);
}

void Workers::check_domain(const Incarnation& incarnation, const std::string& task)
{
    const auto drained = m_drained_domains.find(incarnation.info.zone);
    if (drained != m_drained_domains.end() && !m_executing_delayed
        && m_world.now() > drained->second)
        note_violation("started in the drained domain " + incarnation.info.zone + ": "
                       + task);
}

} // namespace pathport::emulator
