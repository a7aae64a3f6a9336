// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "job_feed.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis poll_interval { 500 };
/// Maximum number of polls without a reply.
constexpr int max_open_polls = 4;
/// Delay after all rows were read, since the store may drop its history repeatedly.
constexpr Millis reread_pause { 900 };

} // namespace

JobFeed::JobFeed(EventLoop& loop, JobStore& store,
                 std::function<void(const StoredRow&)> on_row)
    : m_loop(loop)
    , m_store(store)
    , m_on_row(std::move(on_row))
    , m_reader(loop, store)
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
    if (m_polls_open == 0 && !m_reader.reading())
        poll();
}

void JobFeed::timer_fired()
{
    if (may_poll())
        poll();
    else
        schedule(poll_interval);
}

// A second poll while a reply is being received returns the same rows and slows that reply
// down: on a slow link, four polls take longer than the changes in their replies took to
// happen, and the feed falls further and further behind.
bool JobFeed::may_poll() const
{
    if (m_reader.reading() || m_polls_open >= max_open_polls)
        return false;
    return m_polls_open == 0 || !m_store.receiving_feed();
}

void JobFeed::schedule(Millis delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_timer = 0;
        timer_fired();
    }));
}

void JobFeed::poll()
{
    ++m_polls_open;
    const Millis started_at = m_loop.now();
    schedule(poll_interval);
    m_store.watch(jobs_table, m_version, Millis(0),
                  m_lifetime.wrap([this, started_at](const StoreResult& result) {
                      --m_polls_open;
                      polled(result, started_at);
                  }));
}

void JobFeed::polled(const StoreResult& result, Millis started_at)
{
    if (result.status == StoreStatus::history_lost) {
        if (m_reader.reading())
            return;
        log_event(LogLevel::warn, "job_history_lost", { { "version", m_version } });
        reread();
        return;
    }
    if (result.status != StoreStatus::ok)
        return;
    m_known_at = std::max(m_known_at, started_at);
    m_version = std::max(m_version, result.version);
    deliver(result.rows);
}

void JobFeed::reread()
{
    const Millis started_at = m_loop.now();
    const auto on_rows = [this](const std::vector<StoredRow>& rows) { deliver(rows); };
    m_reader.read(jobs_table, job_partition_names(), on_rows,
                  [this, started_at](int64_t version) {
                      m_version = std::max(m_version, version);
                      m_known_at = std::max(m_known_at, started_at);
                      schedule(reread_pause);
                  });
}

void JobFeed::deliver(const std::vector<StoredRow>& rows)
{
    const auto alive = m_lifetime.observe();
    for (const StoredRow& row : rows) {
        m_on_row(row);
        if (alive.expired())
            return;
    }
}

} // namespace pathport::jobs
