// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node's bounds on the store's clock.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport::jobs {

/// Tracks the store's monotonic clock from the times in its replies. The store read its
/// clock at some time between the call and the reply, so a time converted to the store's
/// clock and back is late by up to the duration of the call, but never early.
class StoreClock {
public:
    /// Records the time `clock_ms` of a reply to a call sent at `asked`, received at
    /// `received`.
    void update(int64_t clock_ms, Millis sent_at, Millis received);
    /// Returns whether a time has been recorded.
    bool known() const { return m_clock_ms > 0; }
    /// Returns an upper bound of the store's clock at the local time `time`.
    int64_t latest_at(Millis time) const;
    /// Returns a local time by which the store's clock has certainly reached `clock_ms`.
    Millis reached_by(int64_t clock_ms) const;

private:
    int64_t m_clock_ms = 0;
    Millis m_sent_at;
    Millis m_received;
};

} // namespace pathport::jobs
