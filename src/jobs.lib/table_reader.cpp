// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "table_reader.h"

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

/// Parts that are read at a time.
constexpr int most_open = 8;
/// A read that was lost on its way is sent again soon; one to a slow store gets more time.
constexpr Millis first_timeout { 300 };
constexpr Millis later_timeout { 1500 };
constexpr Millis retry_pause { 80 };
constexpr int rows_per_read = 500;
/// Sorts below every character that keys hold.
const char* const next_key_suffix = "!";

} // namespace

TableReader::TableReader(EventLoop& loop, JobStore& store)
    : m_loop(loop)
    , m_store(store)
{
}

void TableReader::read(const std::string& table, const std::vector<std::string>& parts,
                       std::function<void(std::vector<StoredRow>)> seen,
                       std::function<void(int64_t)> done)
{
    m_table = table;
    m_waiting.assign(parts.begin(), parts.end());
    m_version = std::numeric_limits<int64_t>::max();
    m_seen = std::move(seen);
    m_done = std::move(done);
    while (!m_waiting.empty() && m_open < most_open)
        next_part();
}

void TableReader::next_part()
{
    const std::string part = m_waiting.front();
    m_waiting.pop_front();
    ++m_open;
    read_part(part, "", true);
}

void TableReader::read_part(const std::string& part, const std::string& from,
                            bool first_try)
{
    StoreRange range;
    range.table = m_table;
    range.part = part;
    range.from = from;
    range.limit = rows_per_read;
    m_store.read(range, first_try ? first_timeout : later_timeout,
                 m_lifetime.wrap([this, part, from](StoreResult result) {
                     answered(part, from, std::move(result));
                 }));
}

void TableReader::answered(const std::string& part, const std::string& from,
                           StoreResult result)
{
    if (result.status != StoreStatus::ok) {
        m_loop.after(retry_pause,
                     m_lifetime.wrap([this, part, from] { read_part(part, from, false); }));
        return;
    }
    m_version = std::min(m_version, result.version);
    const std::string last = result.rows.empty() ? "" : result.rows.back().id.key;
    const auto alive = m_lifetime.observe();
    m_seen(std::move(result.rows));
    if (alive.expired())
        return;
    if (result.more && !last.empty()) {
        read_part(part, last + next_key_suffix, true);
        return;
    }
    --m_open;
    if (!m_waiting.empty())
        next_part();
    else if (m_open == 0)
        m_done(m_version);
}

} // namespace pathport::jobs
