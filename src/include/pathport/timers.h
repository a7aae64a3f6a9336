// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Delayed callbacks, run on a dedicated thread.

#pragma once

#include <pathport/clock.h>

#include <functional>
#include <memory>

namespace pathport {

/// Runs functions after a delay. They must return quickly, since they share one thread.
class Timers {
public:
    Timers();
    /// Discards the functions that have not run yet.
    ~Timers();
    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;

    /// Runs `work` once, after `delay`.
    void after(Millis delay, std::function<void()> work);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
