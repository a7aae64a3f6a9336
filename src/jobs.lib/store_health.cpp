// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_health.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>
#include <iterator>

namespace pathport::jobs {

namespace {
/// A served call proves availability for this long.
constexpr Millis served_validity { 1500 };
/// A store that replied to none of its open calls for this long is unavailable.
constexpr Millis silence_limit { 900 };
/// Refusals this soon after a served call don't mean that the store is unavailable.
constexpr Millis refusal_grace { 350 };
/// Interval of probes while the store is failing.
constexpr Millis probe_interval { 200 };
constexpr Millis probe_timeout { 800 };
/// An open call without a reply for this long counts as failed.
constexpr Millis overdue_time { 350 };
/// A call that is served takes some time, so that zero can mean that none was.
constexpr Millis min_call_time { 1 };
} // namespace

const char* to_string(StoreStatus status)
{
    switch (status) {
    case StoreStatus::ok:
        return "ok";
    case StoreStatus::conflict:
        return "conflict";
    case StoreStatus::refused:
        return "refused";
    case StoreStatus::rejected:
        return "rejected";
    case StoreStatus::unknown:
        return "unknown";
    case StoreStatus::history_lost:
        break;
    }
    return "history_lost";
}

StoreHealth::StoreHealth(EventLoop& loop, JobStore& store, Metrics& metrics)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(metrics)
{
}

StoreReply StoreHealth::instrument(StoreReply done, const char* call, bool is_watch)
{
    const int64_t started_at = m_loop.now().count();
    if (!is_watch)
        m_open.insert(started_at);
    return m_lifetime.wrap([this, started_at, call, is_watch,
                            done = std::move(done)](const StoreResult& result) {
        if (!is_watch)
            m_open.erase(m_open.find(started_at));
        if (!is_watch && result.clock_ms > 0)
            m_clock.update(result.clock_ms, Millis(started_at), m_loop.now());
        m_metrics.observe_seconds(
            "pathport_store_call_seconds", double(m_loop.now().count() - started_at) / 1000,
            { { "call", call }, { "outcome", to_string(result.status) } });
        const bool served = result.status == StoreStatus::ok
            || result.status == StoreStatus::conflict
            || result.status == StoreStatus::rejected
            || result.status == StoreStatus::history_lost;
        // A lost reply means nothing as long as other calls are answered, and a refusal
        // may be due to a rate limit if other calls were served just before.
        const Millis since_served = m_loop.now() - m_served_at;
        const bool lost_reply
            = result.status == StoreStatus::unknown && m_served_at.count() > started_at;
        const bool isolated_refusal = result.status == StoreStatus::refused && m_last_served
            && since_served < refusal_grace;
        if (lost_reply || isolated_refusal) {
            done(result);
            return;
        }
        if (m_known && served != m_last_served)
            log_event(LogLevel::info, served ? "store_regained" : "store_lost",
                      { { "served_ms_ago", (m_loop.now() - m_served_at).count() } });
        m_known = true;
        m_last_served = served;
        if (!served)
            note_failed_call(Millis(started_at));
        if (served) {
            m_served_at = m_loop.now();
            m_failed_calls.reset();
            if (!is_watch)
                note_call_time(m_loop.now() - Millis(started_at));
        }
        if (result.clock_ms > 0) {
            m_clock_ms = result.clock_ms;
            m_clock_at = m_loop.now();
        }
        if (!served)
            schedule_probe();
        done(result);
    });
}

Millis StoreHealth::outage() const
{
    return failing() ? m_loop.now() - m_served_at : Millis(0);
}

void StoreHealth::note_call_time(Millis elapsed)
{
    const Millis time = std::max(elapsed, min_call_time);
    m_call_time
        = call_time() == Millis(0) ? time : Millis((m_call_time + time).count() / 2);
    m_call_timed_at = m_loop.now();
}

void StoreHealth::note_failed_call(Millis sent)
{
    if (!m_failed_calls)
        m_failed_calls = FailedCalls { sent, sent };
    m_failed_calls->first = std::min(m_failed_calls->first, sent);
    m_failed_calls->last = std::max(m_failed_calls->last, sent);
}

std::optional<StoreHealth::FailedCalls> StoreHealth::failed_calls() const
{
    std::optional<FailedCalls> failed = m_failed_calls;
    const int64_t overdue = (m_loop.now() - overdue_time).count();
    const auto first_timely = m_open.upper_bound(overdue);
    if (first_timely == m_open.begin())
        return failed;
    const Millis first(*m_open.begin());
    const Millis last(*std::prev(first_timely));
    if (!failed)
        return FailedCalls { first, last };
    return FailedCalls { std::min(failed->first, first), std::max(failed->last, last) };
}

Millis StoreHealth::served_ago() const
{
    return served() ? m_loop.now() - m_served_at : Millis(0);
}

Millis StoreHealth::call_time() const
{
    const bool recent = m_loop.now() - m_call_timed_at < served_validity;
    return served() && recent ? m_call_time : Millis(0);
}

bool StoreHealth::failing() const
{
    if (m_known && !m_last_served)
        return true;
    const Millis now = m_loop.now();
    return !m_open.empty() && now - Millis(*m_open.begin()) > silence_limit
        && now - m_served_at > silence_limit;
}

void StoreHealth::schedule_probe()
{
    if (m_probing)
        return;
    m_probing = true;
    m_loop.after(probe_interval, m_lifetime.wrap([this] {
        m_probing = false;
        if (failing())
            check();
    }));
}

void StoreHealth::check(std::function<void()> on_served)
{
    StoreRange range;
    range.table = lead_table;
    range.partition = scheduler_partition;
    range.limit = 1;
    read(range, probe_timeout,
         [on_served = std::move(on_served)](const StoreResult& result) {
             if (on_served && result.status == StoreStatus::ok)
                 on_served();
         });
}

void StoreHealth::write(const StoreWrite& write, Millis timeout, StoreReply done)
{
    m_store.write(write, timeout, instrument(std::move(done), "write", false));
}

void StoreHealth::read(const StoreRange& range, Millis timeout, StoreReply done)
{
    m_store.read(range, timeout, instrument(std::move(done), "read", false));
}

void StoreHealth::watch(const std::string& table, int64_t version, Millis wait,
                        StoreReply done)
{
    m_store.watch(table, version, wait, instrument(std::move(done), "watch", true));
}

bool StoreHealth::served() const
{
    return m_known && m_last_served && m_loop.now() - m_served_at < served_validity;
}

int64_t StoreHealth::clock_ms() const
{
    if (m_clock_ms == 0)
        return 0;
    return m_clock_ms + (m_loop.now() - m_clock_at).count();
}

} // namespace pathport::jobs
