// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The kept connections of one process to one server, as far as they may go silent.

#pragma once

#include <pathport/clock.h>

#include <algorithm>
#include <cstdint>

namespace pathport::emulator {

/// Kept connections of which some are silent for good. Each swallows one call, as long as
/// the client has not found out; then it uses new ones.
class PooledConnections {
public:
    /// All that are open go silent: `kept` idle ones and those that carry a call.
    void blackhole(int kept)
    {
        m_silent = kept;
        m_found_at = Millis();
        ++m_generation;
    }

    /// Takes a connection for a call that begins now and returns whether it is a silent
    /// one. The server may hold the answer back for `hold`; the caller waits for `timeout`.
    bool drops_call(Millis now, Millis hold, Millis timeout)
    {
        if (m_silent == 0)
            return false;
        if (m_found_at > Millis() && now >= m_found_at) {
            m_silent = 0;
            return false;
        }
        --m_silent;
        const Millis found = now + std::min(timeout, hold + late_time);
        m_found_at = m_found_at > Millis() ? std::min(m_found_at, found) : found;
        return true;
    }

    /// Returns a number that changes when the connections of open calls go silent.
    int64_t generation() const { return m_generation; }

private:
    /// As AsyncHttpClient takes an answer for late.
    static constexpr Millis late_time { 300 };

    int m_silent = 0;
    Millis m_found_at; ///< When the client finds out; zero while it has no reason to.
    int64_t m_generation = 0;
};

} // namespace pathport::emulator
