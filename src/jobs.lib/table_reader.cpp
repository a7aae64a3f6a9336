// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "table_reader.h"

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

/// Parts that are read at a time, and rows on a page, at most.
constexpr int64_t most_open_parts = 8;
constexpr int64_t most_rows = 500;
/// What is read at a time fills the link for a tenth of a second at most: a page that takes
/// longer than `reread_interval` is sent again and again, and a new leader's own writes,
/// without which it is taken for dead, wait behind it.
constexpr int64_t link_fraction = 10;
/// Bytes of a part of the jobs' table and of a progress row, about, at the users' largest
/// load.
constexpr int64_t bytes_of_part = 16000;
constexpr int64_t bytes_of_row = 600;
constexpr int64_t least_rows = 40;
constexpr Millis read_timeout { 1500 };
/// A read is sent again after this time, with so many open at most: about thirty times what
/// the users' store takes for one.
constexpr Millis reread_interval { 300 };
constexpr int most_open_reads = 6;
/// Sorts below every character that keys hold.
const char* const next_key_suffix = "!";

} // namespace

TableReader::TableReader(EventLoop& loop, JobStore& store)
    : m_loop(loop)
    , m_store(store)
    , m_max_open(most_open_parts)
    , m_page_rows(most_rows)
{
}

void TableReader::set_link_rate(int64_t bytes)
{
    if (bytes <= 0)
        return;
    const int64_t at_once = bytes / link_fraction;
    m_max_open = std::clamp<int64_t>(at_once / bytes_of_part, 1, most_open_parts);
    m_page_rows = std::clamp(at_once / bytes_of_row, least_rows, most_rows);
}

void TableReader::read(const std::string& table, const std::vector<std::string>& parts,
                       std::function<void(std::vector<StoredRow>)> seen,
                       std::function<void(int64_t)> done)
{
    m_table = table;
    m_waiting.assign(parts.begin(), parts.end());
    m_version = std::numeric_limits<int64_t>::max();
    m_on_rows = std::move(seen);
    m_done = std::move(done);
    while (!m_waiting.empty() && m_open < m_max_open)
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
    range.partition = page->part;
    range.from = page->from;
    range.limit = static_cast<int>(m_page_rows);
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
    m_on_rows(std::move(result.rows));
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
