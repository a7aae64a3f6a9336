// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads tables of the store whole.

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

/// Reads all rows of some parts of a table, a few parts at a time, until it has them all.
/// Many connections that are opened at once might be dropped and tried again only after
/// seconds. A read without an answer is soon followed by another, since it may have been
/// lost on its way or with an outage that is over; in a slow store the first one is
/// answered.
class TableReader {
public:
    TableReader(EventLoop& loop, JobStore& store);

    /// Sets what the node's link moves in a second, in bytes; 0 for no bound. Less is read
    /// at a time through a thin one.
    void set_link_rate(int64_t bytes);
    /// Begins; one reading at a time. `seen` is told the rows, `done` the lowest version
    /// that an answer named: all rows are known as of then.
    void read(const std::string& table, const std::vector<std::string>& parts,
              std::function<void(std::vector<StoredRow>)> seen,
              std::function<void(int64_t)> done);
    /// Returns whether a reading goes on.
    bool reading() const { return m_open > 0; }

private:
    /// The reads of one page of a part's rows; the first answer counts.
    struct Page {
        std::string part;
        std::string from; ///< The first key.
        int reads_open = 0;
        bool answered = false;
    };
    using PagePtr = std::shared_ptr<Page>;

    void next_part();
    void read_page(const std::string& part, const std::string& from);
    void send_read(const PagePtr& page);
    void answered(const PagePtr& page, StoreResult result);

    EventLoop& m_loop;
    JobStore& m_store;
    std::string m_table;
    std::deque<std::string> m_waiting; ///< Parts that no read has been sent for.
    int64_t m_max_open;
    int64_t m_page_rows;
    int64_t m_open = 0; ///< Parts that are being read.
    int64_t m_version = 0;
    std::function<void(std::vector<StoredRow>)> m_on_rows;
    std::function<void(int64_t)> m_done;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
