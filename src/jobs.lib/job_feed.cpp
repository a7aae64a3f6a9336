// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "job_feed.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis poll_interval { 500 };
/// So many polls may be without an answer at a time.
constexpr int most_open_polls = 4;
/// Pause after all rows were read: the store may forget its history again and again.
constexpr Millis reread_pause { 900 };

} // namespace

JobFeed::JobFeed(EventLoop& loop, JobStore& store,
                 std::function<void(const StoredRow&)> seen)
    : m_loop(loop)
    , m_store(store)
    , m_on_row(std::move(seen))
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

// A poll beside one whose answer is coming brings the same rows, and slows it down: four of
// them on a thin link take longer than what they bring took to happen, and the feed falls
// further and further behind.
bool JobFeed::may_poll() const
{
    if (m_reader.reading() || m_polls_open >= most_open_polls)
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
    const Millis begun = m_loop.now();
    schedule(poll_interval);
    m_store.watch(jobs_table, m_version, Millis(0),
                  m_lifetime.wrap([this, begun](const StoreResult& result) {
                      --m_polls_open;
                      polled(result, begun);
                  }));
}

void JobFeed::polled(const StoreResult& result, Millis begun)
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
    m_known_at = std::max(m_known_at, begun);
    m_version = std::max(m_version, result.version);
    deliver(result.rows);
}

void JobFeed::reread()
{
    const Millis begun = m_loop.now();
    const auto seen = [this](const std::vector<StoredRow>& rows) { deliver(rows); };
    m_reader.read(jobs_table, job_partition_names(), seen, [this, begun](int64_t version) {
        m_version = std::max(m_version, version);
        m_known_at = std::max(m_known_at, begun);
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
