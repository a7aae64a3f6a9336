// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_clock.h"

namespace pathport::jobs {

namespace {
/// How long a reply is preferred over later, slower ones. Steady clocks that differ in
/// speed by a thousandth drift apart by 10 ms in this time.
constexpr Millis sample_lifetime { 10000 };
/// Allowance for that drift and for rounding.
constexpr Millis clock_margin { 20 };
} // namespace

void StoreClock::update(int64_t clock_ms, Millis sent_at, Millis received)
{
    const bool expired = received - m_received > sample_lifetime;
    const bool faster = received - sent_at <= m_received - m_sent_at;
    // A clock outside the expected bounds has been reset.
    const bool was_reset = clock_ms + clock_margin.count() < m_clock_ms
        || clock_ms > latest_at(received) + clock_margin.count();
    if (known() && !expired && !faster && !was_reset)
        return;
    m_clock_ms = clock_ms;
    m_sent_at = sent_at;
    m_received = received;
}

int64_t StoreClock::latest_at(Millis time) const
{
    return m_clock_ms + (time - m_sent_at + clock_margin).count();
}

Millis StoreClock::reached_by(int64_t clock_ms) const
{
    return m_received + Millis(clock_ms - m_clock_ms) + clock_margin;
}

} // namespace pathport::jobs
