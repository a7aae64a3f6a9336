// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Follows the rows of the jobs table: hand-ins and cancellations that any node recorded.

#pragma once

#include "lifetime.h"
#include "table_reader.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <functional>
#include <vector>

namespace pathport::jobs {

/// Asks for changes at regular times. When the store has forgotten the changes that were
/// missed, all rows are read again, by one such reading at a time. A poll that gets no
/// answer is soon followed by another, unless its answer is under way: it may have been
/// lost with an outage that is over.
class JobFeed {
public:
    /// `seen` is told each row, some of them more than once.
    JobFeed(EventLoop& loop, JobStore& store, std::function<void(const StoredRow&)> seen);

    /// Sets what the node's link moves in a second, in bytes; 0 for no bound.
    void set_link_rate(int64_t bytes) { m_reader.set_link_rate(bytes); }
    /// Begins. All rows up to `version` are known from reads that began at `read_begun`.
    void begin(int64_t version, Millis read_begun);
    /// Asks for changes now instead of at the next regular time.
    void poll_now();
    /// Returns the time as of which all rows are known: the beginning of the read that
    /// brought them, however long its answer took.
    Millis known_at() const { return m_known_at; }

private:
    void schedule(Millis delay);
    void timer_fired();
    bool may_poll() const;
    void poll();
    void polled(const StoreResult& result, Millis begun);
    void reread();
    void deliver(const std::vector<StoredRow>& rows);

    EventLoop& m_loop;
    JobStore& m_store;
    std::function<void(const StoredRow&)> m_on_row;
    int64_t m_version = 0; ///< Changes are known up to here.
    Millis m_known_at;
    int m_polls_open = 0; ///< Without an answer.
    EventLoop::TimerId m_timer = 0;
    TableReader m_reader;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
