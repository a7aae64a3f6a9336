// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "run_evidence.h"

#include <algorithm>

namespace pathport::jobs {

const char* to_string(RunExistence existence)
{
    switch (existence) {
    case RunExistence::possible:
        return "possible";
    case RunExistence::confirmed:
        return "confirmed";
    case RunExistence::none:
        break;
    }
    return "none";
}

RunEvidence RunEvidence::ordered(Millis at)
{
    RunEvidence evidence;
    evidence.m_existence = RunExistence::possible;
    evidence.m_ordered_here = true;
    evidence.m_since = at;
    return evidence;
}

RunEvidence RunEvidence::unobserved(bool confirmed)
{
    RunEvidence evidence;
    evidence.m_existence = confirmed ? RunExistence::confirmed : RunExistence::possible;
    return evidence;
}

RunEvidence RunEvidence::adopted(Millis at)
{
    RunEvidence evidence = unobserved(true);
    evidence.m_since = at;
    evidence.m_confirmed_at = at;
    evidence.m_last_listed = at;
    evidence.m_alive_at = at;
    return evidence;
}

RunEvidence RunEvidence::accepted(Millis at) const
{
    RunEvidence evidence = *this;
    if (m_confirmed_at == Millis(0))
        evidence.m_confirmed_at = at;
    evidence.m_existence = RunExistence::confirmed;
    evidence.m_last_listed = at;
    return evidence;
}

RunEvidence RunEvidence::listed(Millis at, Millis polled_at) const
{
    RunEvidence evidence = accepted(at);
    evidence.m_alive_at = polled_at;
    return evidence;
}

RunEvidence RunEvidence::after_restart() const
{
    RunEvidence evidence = unobserved(false);
    evidence.m_since = m_since;
    return evidence;
}

std::optional<Millis> RunEvidence::known_runtime() const
{
    if (!is_confirmed() || !m_ordered_here)
        return std::nullopt;
    return m_last_listed - m_confirmed_at;
}

Millis RunEvidence::age(Millis now) const
{
    return m_confirmed_at == Millis(0) ? Millis(0) : now - m_confirmed_at;
}

Millis RunEvidence::observed_runtime() const
{
    return std::max(Millis(0), m_alive_at - m_confirmed_at);
}

std::optional<Millis> RunEvidence::max_runtime(Millis ended_by) const
{
    if (!m_ordered_here)
        return std::nullopt;
    return std::max(Millis(0), ended_by - m_since);
}

} // namespace pathport::jobs
