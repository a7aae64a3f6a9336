// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_health.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {
/// An answer so old says nothing about the present.
constexpr Millis served_time { 1500 };
} // namespace

StoreHealth::StoreHealth(EventLoop& loop, JobStore& store)
    : m_loop(loop)
    , m_store(store)
{
}

StoreReply StoreHealth::noting(StoreReply done)
{
    return m_lifetime.wrap([this, done = std::move(done)](const StoreResult& result) {
        const bool served = result.status == StoreStatus::ok
            || result.status == StoreStatus::conflict
            || result.status == StoreStatus::history_lost;
        if (m_known && served != m_last_served)
            log_event(LogLevel::info, served ? "store_regained" : "store_lost",
                      { { "served_ms_ago", (m_loop.now() - m_served_at).count() } });
        m_known = true;
        m_last_served = served;
        if (served)
            m_served_at = m_loop.now();
        if (result.clock_ms > 0) {
            m_clock_ms = result.clock_ms;
            m_clock_at = m_loop.now();
        }
        done(result);
    });
}

void StoreHealth::write(const StoreWrite& write, Millis timeout, StoreReply done)
{
    m_store.write(write, timeout, noting(std::move(done)));
}

void StoreHealth::read(const StoreRange& range, Millis timeout, StoreReply done)
{
    m_store.read(range, timeout, noting(std::move(done)));
}

void StoreHealth::watch(const std::string& table, int64_t version, Millis wait,
                        StoreReply done)
{
    m_store.watch(table, version, wait, noting(std::move(done)));
}

bool StoreHealth::served() const
{
    return m_known && m_last_served && m_loop.now() - m_served_at < served_time;
}

int64_t StoreHealth::clock_ms() const
{
    if (m_clock_ms == 0)
        return 0;
    return m_clock_ms + (m_loop.now() - m_clock_at).count();
}

} // namespace pathport::jobs
