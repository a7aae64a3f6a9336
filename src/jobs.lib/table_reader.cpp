// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "table_reader.h"

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

/// Parts that are read at a time.
constexpr int most_open = 8;
constexpr Millis read_timeout { 1500 };
/// A read is sent again after this time, with so many open at most: about thirty times what
/// the users' store takes for one.
constexpr Millis reread_interval { 300 };
constexpr int most_open_reads = 6;
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
    read_page(part, "");
}

void TableReader::read_page(const std::string& part, const std::string& from)
{
    auto page = std::make_shared<Page>();
    page->part = part;
    page->from = from;
    send_read(page);
}

void TableReader::send_read(const PagePtr& page)
{
    if (page->answered)
        return;
    m_loop.after(reread_interval, m_lifetime.wrap([this, page] { send_read(page); }));
    if (page->reads_open >= most_open_reads)
        return;
    ++page->reads_open;
    StoreRange range;
    range.table = m_table;
    range.part = page->part;
    range.from = page->from;
    range.limit = rows_per_read;
    m_store.read(range, read_timeout, m_lifetime.wrap([this, page](StoreResult result) {
        --page->reads_open;
        answered(page, std::move(result));
    }));
}

void TableReader::answered(const PagePtr& page, StoreResult result)
{
    if (page->answered || result.status != StoreStatus::ok)
        return;
    page->answered = true;
    m_version = std::min(m_version, result.version);
    const std::string last = result.rows.empty() ? "" : result.rows.back().id.key;
    const auto alive = m_lifetime.observe();
    m_seen(std::move(result.rows));
    if (alive.expired())
        return;
    if (result.more && !last.empty()) {
        read_page(page->part, last + next_key_suffix);
        return;
    }
    --m_open;
    if (!m_waiting.empty())
        next_part();
    else if (m_open == 0)
        m_done(m_version);
}

} // namespace pathport::jobs
