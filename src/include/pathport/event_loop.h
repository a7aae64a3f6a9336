// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of the event loop: the one thread on which a program of the job path does all
/// its work.

#pragma once

#include <pathport/clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace pathport {

/// Runs callbacks on a single thread, so that they need no locks. Tests replace it by a
/// loop with a manual clock.
class EventLoop : public Clock {
public:
    /// Identifies a pending timer; 0 is no timer.
    using TimerId = uint64_t;

    /// Schedules `work` to run once after `delay`; never runs it within this call.
    virtual TimerId after(Millis delay, std::function<void()> work) = 0;

    /// Cancels a timer; does nothing when it has fired.
    virtual void cancel(TimerId timer) = 0;

    /// Returns a random number; seeded in tests.
    virtual uint64_t random() = 0;

    /// Tells the loop that the present callback has processed this many entries of a long
    /// list. Real loops ignore it; emulated ones may charge processor time for it.
    virtual void note_work(size_t /*entries*/) { }
};

} // namespace pathport
