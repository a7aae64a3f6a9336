// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "table_reader.h"

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

/// Maximum number of partitions read at a time, and of rows on a page.
constexpr int64_t max_open_partitions = 8;
constexpr int64_t max_rows = 500;
/// The reads in flight use at most a tenth of a second of the link's bandwidth: a page that
/// takes longer than `reread_interval` would be requested again and again, and would delay
/// a new leader's own writes, without which the leader is considered dead.
constexpr int64_t link_fraction = 10;
/// Approximate size of a partition of the jobs table and of a progress row, in bytes, at
/// the largest expected load.
constexpr int64_t partition_bytes = 16000;
constexpr int64_t row_bytes = 600;
constexpr int64_t min_rows = 40;
constexpr Millis read_timeout { 1500 };
/// Delay after which a read is sent again, about thirty times the usual duration of a read,
/// and maximum number of open reads per page.
constexpr Millis reread_interval { 300 };
constexpr int max_open_reads = 6;
/// Timers of a process with enough processor time are less late.
constexpr Millis max_normal_lateness { 50 };
/// Sorts before every character that occurs in keys.
const char* const next_key_suffix = "!";

} // namespace

TableReader::TableReader(EventLoop& loop, JobStore& store)
    : m_loop(loop)
    , m_store(store)
    , m_max_open(max_open_partitions)
    , m_page_rows(max_rows)
{
}

void TableReader::set_link_rate(int64_t bytes)
{
    if (bytes <= 0)
        return;
    const int64_t burst_bytes = bytes / link_fraction;
    m_max_open = std::clamp<int64_t>(burst_bytes / partition_bytes, 1, max_open_partitions);
    m_page_rows = std::clamp(burst_bytes / row_bytes, min_rows, max_rows);
}

void TableReader::read(const std::string& table, const std::vector<std::string>& partitions,
                       std::function<void(std::vector<StoredRow>)> on_rows,
                       std::function<void(int64_t)> done)
{
    m_table = table;
    m_waiting.assign(partitions.begin(), partitions.end());
    m_version = std::numeric_limits<int64_t>::max();
    m_on_rows = std::move(on_rows);
    m_done = std::move(done);
    while (!m_waiting.empty() && m_open < m_max_open)
        next_partition();
}

void TableReader::next_partition()
{
    const std::string partition = m_waiting.front();
    m_waiting.pop_front();
    ++m_open;
    read_page(partition, "");
}

void TableReader::read_page(const std::string& partition, const std::string& from)
{
    auto page = std::make_shared<Page>();
    page->partition = partition;
    page->from = from;
    send_read(page);
}

void TableReader::send_read(const PagePtr& page)
{
    if (page->answered)
        return;
    schedule_reread(page);
    if (page->reads_open >= max_open_reads)
        return;
    ++page->reads_open;
    StoreRange range;
    range.table = m_table;
    range.partition = page->partition;
    range.from = page->from;
    range.limit = static_cast<int>(m_page_rows);
    m_store.read(range, read_timeout, m_lifetime.wrap([this, page](StoreResult result) {
        --page->reads_open;
        answered(page, std::move(result));
    }));
}

// If the timer runs late, the answer may have arrived and lie unread for as long. Reading
// again at once would make this process later still.
void TableReader::schedule_reread(const PagePtr& page)
{
    const Millis due = m_loop.now() + reread_interval;
    m_loop.after(reread_interval, m_lifetime.wrap([this, page, due] {
        const Millis late = m_loop.now() - due;
        if (late < max_normal_lateness || page->answered) {
            send_read(page);
            return;
        }
        m_loop.after(std::min(late, read_timeout),
                     m_lifetime.wrap([this, page] { send_read(page); }));
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
        read_page(page->partition, last + next_key_suffix);
        return;
    }
    --m_open;
    if (!m_waiting.empty())
        next_partition();
    else if (m_open == 0)
        m_done(m_version);
}

} // namespace pathport::jobs
