// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A store that notes how the store behind it fares.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <map>

namespace pathport::jobs {

/// Passes calls on and remembers when the store last served this node, and its clock.
class StoreHealth : public JobStore {
public:
    StoreHealth(EventLoop& loop, JobStore& store);

    void write(const StoreWrite& write, Millis timeout, StoreReply done) override;
    void read(const StoreRange& range, Millis timeout, StoreReply done) override;
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override;

    /// Returns whether the last call that ended was served, not long ago.
    bool served() const;
    /// Returns whether the last call that ended was not served.
    bool failing() const { return m_known && !m_last_served; }
    /// Returns the store's clock as well as it is known; 0 before the first answer.
    int64_t clock_ms() const;

private:
    StoreReply noting(StoreReply done);

    EventLoop& m_loop;
    JobStore& m_store;
    bool m_known = false;
    bool m_last_served = false;
    Millis m_served_at;
    int64_t m_clock_ms = 0;
    Millis m_clock_at;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
