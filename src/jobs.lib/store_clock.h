// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a node knows of the store's clock, within bounds.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport::jobs {

/// The store's steady clock as its answers tell of it. The store read it at some time
/// between the call and the answer, so a time converted to it and back lies later by as
/// much as the answer took, never earlier.
class StoreClock {
public:
    /// Takes what an answer says: `clock_ms`, asked for at `asked` and received now.
    void update(int64_t clock_ms, Millis asked, Millis received);
    /// Returns whether any answer has told.
    bool known() const { return m_clock_ms > 0; }
    /// Returns what the store's clock shows at the local time `time`, at most.
    int64_t latest_at(Millis time) const;
    /// Returns the local time by which the store's clock has surely reached `clock_ms`.
    Millis reached_by(int64_t clock_ms) const;

private:
    int64_t m_clock_ms = 0;
    Millis m_asked;
    Millis m_received;
};

} // namespace pathport::jobs
