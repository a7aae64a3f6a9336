// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_writer.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A reply is overdue after this multiple of the usual latency.
constexpr int64_t overdue_multiple = 5;
constexpr int64_t min_overdue_ms = 60;
/// In a slow store the row is read back at once: a write takes effect long before its reply
/// arrives, and a read is answered sooner (4 ms instead of 9 ms in a normal store, each
/// multiplied by 99 in a slow one).
constexpr Millis slow_first_probe_delay { 15 };
/// Time-out of a write.
constexpr Millis write_timeout { 2500 };
constexpr Millis probe_timeout { 1500 };
/// Interval at which the row is read again, and maximum number of open reads.
constexpr Millis probe_interval { 400 };
constexpr int max_open_probes = 4;
/// A read that is answered within this time is fast.
constexpr Millis fast_read { 100 };

} // namespace

StoreWriter::StoreWriter(EventLoop& loop, JobStore& store, Mechanisms mechanisms)
    : m_loop(loop)
    , m_store(store)
    , m_mechanisms(mechanisms)
{
}

void StoreWriter::send(const StoreWrite& write, StoreReply done)
{
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    call->first_put = write.puts.front();
    call->sent_at = m_loop.now();
    m_store.write(write, write_timeout,
                  m_lifetime.wrap(
                      [this, call](const StoreResult& result) { answered(call, result); }));
    const Millis overdue(std::max(overdue_multiple * m_latency_ms, min_overdue_ms));
    const bool early = slow() && m_mechanisms.uses(Mechanism::early_reads);
    probe_later(call, early ? slow_first_probe_delay : overdue);
}

void StoreWriter::probe_later(const CallPtr& call, Millis delay)
{
    m_loop.after(delay, m_lifetime.wrap([this, call] { probe(call); }));
}

void StoreWriter::probe(const CallPtr& call)
{
    if (call->ended)
        return;
    // A read may have been lost in an outage that is over, so others follow while it is
    // open.
    probe_later(call, probe_interval);
    if (call->probes_open >= max_open_probes)
        return;
    ++call->probes_open;
    const RowKey& row = call->first_put.id;
    StoreRange range;
    range.table = row.table;
    range.partition = row.partition;
    range.from = row.key;
    range.to = row.key + "!";
    range.limit = 1;
    m_store.read(
        range, probe_timeout,
        m_lifetime.wrap([this, call, sent_at = m_loop.now()](const StoreResult& result) {
            --call->probes_open;
            probed(call, result, sent_at);
        }));
}

void StoreWriter::probed(const CallPtr& call, const StoreResult& result, Millis sent_at)
{
    if (call->ended || result.status != StoreStatus::ok)
        return;
    const Millis elapsed = m_loop.now() - sent_at;
    const bool slow_read = elapsed > fast_read;
    if (slow_read)
        m_latency_ms = std::max(m_latency_ms, elapsed.count());
    for (const StoredRow& row : result.rows) {
        if (row.id == call->first_put.id && row.value == call->first_put.value) {
            StoreResult found;
            found.status = StoreStatus::unknown;
            found.rows = { row };
            found.clock_ms = result.clock_ms;
            finish(call, found);
            return;
        }
    }
    if (slow_read)
        return;
    StoreResult lost;
    lost.status = StoreStatus::unknown;
    finish(call, lost);
}

void StoreWriter::answered(const CallPtr& call, const StoreResult& result)
{
    if (call->ended)
        return;
    if (result.status == StoreStatus::ok || result.status == StoreStatus::conflict)
        m_latency_ms = (m_latency_ms + (m_loop.now() - call->sent_at).count()) / 2;
    finish(call, result);
}

void StoreWriter::finish(const CallPtr& call, const StoreResult& result)
{
    call->ended = true;
    call->done(result);
}

} // namespace pathport::jobs
