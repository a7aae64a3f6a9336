// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "job_feed.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

constexpr Millis poll_interval { 500 };
/// Pause after all rows were read: the store may forget its history again and again.
constexpr Millis reread_pause { 900 };
constexpr Millis read_timeout { 1500 };
constexpr Millis read_retry { 80 };
constexpr int rows_per_read = 500;
/// Sorts below every character that keys hold.
const char* const next_key_suffix = "!";

} // namespace

JobFeed::JobFeed(EventLoop& loop, JobStore& store,
                 std::function<void(const StoredRow&)> seen)
    : m_loop(loop)
    , m_store(store)
    , m_seen(std::move(seen))
{
}

void JobFeed::begin(int64_t version, Millis read_begun)
{
    m_version = version;
    m_known_at = read_begun;
    poll();
}

void JobFeed::poll_now()
{
    if (!m_polling && m_parts_left == 0)
        poll();
}

void JobFeed::schedule(Millis delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_timer = 0;
        poll_now();
    }));
}

void JobFeed::poll()
{
    m_polling = true;
    const Millis begun = m_loop.now();
    m_store.watch(jobs_table, m_version, Millis(0),
                  m_lifetime.wrap([this, begun](const StoreResult& result) {
                      m_polling = false;
                      polled(result, begun);
                  }));
}

void JobFeed::polled(const StoreResult& result, Millis begun)
{
    if (result.status == StoreStatus::history_lost) {
        log_event(LogLevel::warn, "job_history_lost", { { "version", m_version } });
        reread();
        return;
    }
    schedule(poll_interval);
    if (result.status != StoreStatus::ok)
        return;
    m_known_at = begun;
    m_version = std::max(m_version, result.version);
    const auto alive = m_lifetime.observe();
    for (const StoredRow& row : result.rows) {
        m_seen(row);
        if (alive.expired())
            return;
    }
}

void JobFeed::reread()
{
    m_parts_left = job_parts;
    m_reread_version = std::numeric_limits<int64_t>::max();
    m_reread_begun = m_loop.now();
    for (int part = 0; part < job_parts; ++part)
        reread_part(job_part_name(part), "");
}

void JobFeed::reread_part(const std::string& part, const std::string& from)
{
    StoreRange range;
    range.table = jobs_table;
    range.part = part;
    range.from = from;
    range.limit = rows_per_read;
    m_store.read(range, read_timeout,
                 m_lifetime.wrap([this, part, from](const StoreResult& result) {
                     part_read(part, from, result);
                 }));
}

void JobFeed::part_read(const std::string& part, const std::string& from,
                        const StoreResult& result)
{
    if (result.status != StoreStatus::ok) {
        m_loop.after(read_retry,
                     m_lifetime.wrap([this, part, from] { reread_part(part, from); }));
        return;
    }
    m_reread_version = std::min(m_reread_version, result.version);
    const auto alive = m_lifetime.observe();
    for (const StoredRow& row : result.rows) {
        m_seen(row);
        if (alive.expired())
            return;
    }
    if (result.more && !result.rows.empty()) {
        reread_part(part, result.rows.back().id.key + next_key_suffix);
        return;
    }
    if (--m_parts_left > 0)
        return;
    m_version = std::max(m_version, m_reread_version);
    m_known_at = m_reread_begun;
    schedule(reread_pause);
}

} // namespace pathport::jobs
