// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Follows the jobs table: submissions and cancellations recorded by any node.

#pragma once

#include "lifetime.h"
#include "table_reader.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <functional>
#include <vector>

namespace pathport::jobs {

/// Polls for changes at a regular interval. When the store no longer keeps the changes
/// since the last poll, all rows are read again, by one read of the table at a time. A poll
/// without a reply is soon followed by another one, since it may have been lost in an
/// outage that is over, unless its reply is being received.
class JobFeed {
public:
    /// `on_row` is called for each row, for some rows more than once.
    JobFeed(EventLoop& loop, JobStore& store, std::function<void(const StoredRow&)> on_row);

    /// Sets the bandwidth of the node's link in bytes per second; 0 for unlimited.
    void set_link_rate(int64_t bytes) { m_reader.set_link_rate(bytes); }
    /// Starts. All rows up to `version` are known from reads that started at `read_begun`.
    void begin(int64_t version, Millis read_begun);
    /// Polls now instead of at the next regular time.
    void poll_now();
    /// Returns the time as of which all rows are known: the start of the read that returned
    /// them, however long its reply took.
    Millis known_at() const { return m_known_at; }

private:
    void schedule(Millis delay);
    void timer_fired();
    bool may_poll() const;
    void poll();
    void polled(const StoreResult& result, Millis started_at);
    void reread();
    void deliver(const std::vector<StoredRow>& rows);

    EventLoop& m_loop;
    JobStore& m_store;
    std::function<void(const StoredRow&)> m_on_row;
    int64_t m_version = 0; ///< Changes are known up to this version.
    Millis m_known_at;
    int m_polls_open = 0; ///< Polls without a reply.
    EventLoop::TimerId m_timer = 0;
    TableReader m_reader;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
