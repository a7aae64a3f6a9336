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
#include <string>
#include <vector>

namespace pathport::jobs {

/// Reads all rows of some parts of a table, a few parts at a time, until it has them all.
/// Many connections that are opened at once might be dropped and tried again only after
/// seconds.
class TableReader {
public:
    TableReader(EventLoop& loop, JobStore& store);

    /// Begins; one reading at a time. `seen` is told the rows, `done` the lowest version
    /// that an answer named: all rows are known as of then.
    void read(const std::string& table, const std::vector<std::string>& parts,
              std::function<void(std::vector<StoredRow>)> seen,
              std::function<void(int64_t)> done);
    /// Returns whether a reading goes on.
    bool reading() const { return m_open > 0; }

private:
    void next_part();
    void read_part(const std::string& part, const std::string& from, bool first_try);
    void answered(const std::string& part, const std::string& from, StoreResult result);

    EventLoop& m_loop;
    JobStore& m_store;
    std::string m_table;
    std::deque<std::string> m_waiting; ///< Parts that no read has been sent for.
    int m_open = 0; ///< Parts that are being read.
    int64_t m_version = 0;
    std::function<void(std::vector<StoredRow>)> m_seen;
    std::function<void(int64_t)> m_done;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
