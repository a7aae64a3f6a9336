// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The one thread on which a program of the job path does all its work, as its parts see
/// it.

#pragma once

#include <pathport/clock.h>

#include <cstdint>
#include <functional>

namespace pathport {

/// Runs work later on one thread, so that what runs there needs no locks. Tests replace it
/// by a loop over a manual clock.
class EventLoop : public Clock {
public:
    /// Names a timer that has not fired; 0 names none.
    using TimerId = uint64_t;

    /// Runs `work` once, after `delay`. Never runs it inside this call.
    virtual TimerId after(Millis delay, std::function<void()> work) = 0;

    /// Drops a timer; does nothing when it has fired.
    virtual void cancel(TimerId timer) = 0;

    /// Returns a random number; tests seed it.
    virtual uint64_t random() = 0;
};

} // namespace pathport
