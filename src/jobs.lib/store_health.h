// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A JobStore wrapper that monitors the availability of the store behind it.

#pragma once

#include "lifetime.h"
#include "store_clock.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/metrics.h>

#include <functional>
#include <optional>
#include <set>

namespace pathport::jobs {

/// Forwards calls, and records when the store last served this node and the store's clock.
class StoreHealth : public JobStore {
public:
    StoreHealth(EventLoop& loop, JobStore& store, Metrics& metrics);

    void write(const StoreWrite& write, Millis timeout, StoreReply done) override;
    void read(const StoreRange& range, Millis timeout, StoreReply done) override;
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override;
    bool receiving_feed() const override { return m_store.receiving_feed(); }

    /// Returns whether the last completed call was served, and recently.
    bool served() const;
    /// Returns whether the store is unavailable to this node: the last completed call was
    /// not served, or calls have been open for long and none has been served meanwhile.
    bool failing() const;
    /// Returns the time since it last served this node; zero while it is not failing.
    Millis outage() const;
    /// Returns the time since the store last served this node; zero if served() is false.
    Millis served_ago() const;
    /// When calls were sent that failed since the store last served this node: the first
    /// and the last of them.
    struct FailedCalls {
        Millis first;
        Millis last;
    };
    /// Returns them, also counting open calls without a reply for long; nothing if none.
    std::optional<FailedCalls> failed_calls() const;
    /// Returns the smoothed time of the calls that were served, from the call to the
    /// reading of its reply; zero before the first, and while the store has not served one
    /// recently.
    Millis call_time() const;
    /// Probes the store, so that served() and failing() become current; `on_served` is
    /// called if it replies.
    void check(std::function<void()> on_served = {});
    /// Returns an estimate of the store's clock; 0 before the first reply.
    int64_t clock_ms() const;
    /// Returns the bounds on the store's clock.
    const StoreClock& clock() const { return m_clock; }

private:
    StoreReply instrument(StoreReply done, const char* call, bool is_watch);
    void note_call_time(Millis elapsed);
    void note_failed_call(Millis sent);
    void schedule_probe();

    EventLoop& m_loop;
    JobStore& m_store;
    Metrics& m_metrics;
    bool m_known = false;
    bool m_last_served = false;
    Millis m_served_at;
    std::optional<FailedCalls> m_failed_calls; ///< That have ended.
    Millis m_call_time; ///< Smoothed; watches, which wait for changes, don't count.
    Millis m_call_timed_at; ///< When a call last changed it.
    std::multiset<int64_t> m_open; ///< Start times of the open calls.
    bool m_probing = false;
    int64_t m_clock_ms = 0;
    Millis m_clock_at;
    StoreClock m_clock;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
