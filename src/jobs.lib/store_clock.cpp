// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_clock.h"

namespace pathport::jobs {

namespace {
/// An answer counts for so long although later ones were slower. Steady clocks that drift
/// by a thousandth differ by 10 ms after it.
constexpr Millis answer_life { 10000 };
/// For that drift and for roundings.
constexpr Millis clock_margin { 20 };
} // namespace

void StoreClock::update(int64_t clock_ms, Millis asked, Millis received)
{
    const bool old = received - m_received > answer_life;
    const bool quicker = received - asked <= m_received - m_asked;
    // A clock that does not go on as it did has been set anew.
    const bool set_anew = clock_ms + clock_margin.count() < m_clock_ms
        || clock_ms > latest_at(received) + clock_margin.count();
    if (known() && !old && !quicker && !set_anew)
        return;
    m_clock_ms = clock_ms;
    m_asked = asked;
    m_received = received;
}

int64_t StoreClock::latest_at(Millis time) const
{
    return m_clock_ms + (time - m_asked + clock_margin).count();
}

Millis StoreClock::reached_by(int64_t clock_ms) const
{
    return m_received + Millis(clock_ms - m_clock_ms) + clock_margin;
}

} // namespace pathport::jobs
