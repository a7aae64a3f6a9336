// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The keep-alive connections of one process to one server, which may be black-holed.

#pragma once

#include <pathport/clock.h>

#include <algorithm>
#include <cstdint>

namespace pathport::emulator {

/// Pooled keep-alive connections, some of which may be black-holed. Each of these loses
/// one call until the client detects the fault and opens new connections.
class PooledConnections {
public:
    /// Black-holes all open connections: `kept` idle ones and those with a call in
    /// progress.
    void blackhole(int kept)
    {
        m_blackholed = kept;
        m_detected_at = Millis();
        ++m_generation;
    }

    /// Takes a connection for a call that begins now and returns whether it is black-holed.
    /// The server may delay the reply by up to `max_delay`; the caller waits for `timeout`.
    bool drops_call(Millis now, Millis max_delay, Millis timeout)
    {
        if (m_blackholed == 0)
            return false;
        if (m_detected_at > Millis() && now >= m_detected_at) {
            m_blackholed = 0;
            return false;
        }
        --m_blackholed;
        const Millis detected_at = now + std::min(timeout, max_delay + late_after);
        m_detected_at
            = m_detected_at > Millis() ? std::min(m_detected_at, detected_at) : detected_at;
        return true;
    }

    /// Returns a number that changes whenever the open connections are black-holed.
    int64_t generation() const { return m_generation; }

private:
    /// Delay after which AsyncHttpClient considers a reply late.
    static constexpr Millis late_after { 300 };

    int m_blackholed = 0;
    /// When the client detects the fault; zero before the first lost call.
    Millis m_detected_at;
    int64_t m_generation = 0;
};

} // namespace pathport::emulator
