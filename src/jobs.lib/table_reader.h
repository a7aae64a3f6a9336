// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads whole tables from the store.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Reads all rows of some partitions of a table, a few partitions at a time, and retries
/// until it is complete. Many connections opened at once might be dropped, and retried only
/// after seconds. A read without a reply is soon followed by another one, since it may have
/// been lost on the way or in an outage that is over; in a slow store the first one is
/// answered eventually.
class TableReader {
public:
    TableReader(EventLoop& loop, JobStore& store);

    /// Sets the bandwidth of the node's link in bytes per second; 0 for unlimited. Less is
    /// read at a time over a slow link.
    void set_link_rate(int64_t bytes);
    /// Starts reading; only one read() may be in progress. `on_rows` is called with the
    /// rows, `done` with the lowest version that a reply reported: all rows are known as of
    /// that version.
    void read(const std::string& table, const std::vector<std::string>& partitions,
              std::function<void(std::vector<StoredRow>)> on_rows,
              std::function<void(int64_t)> done);
    /// Returns whether a read() is in progress.
    bool reading() const { return m_open > 0; }

private:
    /// The reads of one page of a partition's rows; the first reply is used.
    struct Page {
        std::string partition;
        std::string from; ///< First key of the page.
        int reads_open = 0;
        bool answered = false;
    };
    using PagePtr = std::shared_ptr<Page>;

    void next_partition();
    void read_page(const std::string& partition, const std::string& from);
    void send_read(const PagePtr& page);
    void schedule_reread(const PagePtr& page);
    void answered(const PagePtr& page, StoreResult result);

    EventLoop& m_loop;
    JobStore& m_store;
    std::string m_table;
    std::deque<std::string> m_waiting; ///< Partitions that have not been read yet.
    int64_t m_max_open;
    int64_t m_page_rows;
    int64_t m_open = 0; ///< Partitions that are being read.
    int64_t m_version = 0;
    std::function<void(std::vector<StoredRow>)> m_on_rows;
    std::function<void(int64_t)> m_done;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
