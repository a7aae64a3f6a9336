// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A store that notes how the store behind it fares.

#pragma once

#include "lifetime.h"
#include "store_clock.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/metrics.h>

#include <functional>
#include <set>

namespace pathport::jobs {

/// Passes calls on and remembers when the store last served this node, and its clock.
class StoreHealth : public JobStore {
public:
    StoreHealth(EventLoop& loop, JobStore& store, Metrics& metrics);

    void write(const StoreWrite& write, Millis timeout, StoreReply done) override;
    void read(const StoreRange& range, Millis timeout, StoreReply done) override;
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override;
    bool receiving_feed() const override { return m_store.receiving_feed(); }

    /// Returns whether the last call that ended was served, not long ago.
    bool served() const;
    /// Returns whether the store does not serve this node: the last call that ended was not
    /// served, or calls have been open for long and none has been served meanwhile.
    bool failing() const;
    /// Returns for how long it has not served this node; zero while it is not failing.
    Millis outage() const;
    /// Tries the store, so that served() and failing() tell of the present; `served_now` is
    /// called if it answers.
    void check(std::function<void()> served_now = {});
    /// Returns the store's clock as well as it is known; 0 before the first answer.
    int64_t clock_ms() const;
    /// Returns the same within bounds.
    const StoreClock& clock() const { return m_clock; }

private:
    StoreReply instrument(StoreReply done, const char* call, bool waits);
    void schedule_probe();

    EventLoop& m_loop;
    JobStore& m_store;
    Metrics& m_metrics;
    bool m_known = false;
    bool m_last_served = false;
    Millis m_served_at;
    std::multiset<int64_t> m_open; ///< When the calls without an answer began.
    bool m_probing = false;
    int64_t m_clock_ms = 0;
    Millis m_clock_at;
    StoreClock m_clock;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
