// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "store_writer.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

/// After so many times the usual latency an answer is overdue.
constexpr int64_t overdue_multiple = 5;
constexpr int64_t least_overdue_ms = 60;
/// In a slow store the row is read at once: a write takes effect long before its answer,
/// and that of a read comes sooner (on the users' store after 4 ms, not 9, times 99).
constexpr Millis first_read_when_slow { 15 };
/// The longest that an answer is waited for.
constexpr Millis longest_wait { 2500 };
constexpr Millis probe_timeout { 1500 };
/// The row is read again at this interval, with so many reads open at most.
constexpr Millis probe_interval { 400 };
constexpr int most_open_probes = 4;
/// A read that was answered within this time was quick.
constexpr Millis quick_read { 100 };

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
    call->asked = m_loop.now();
    m_store.write(write, longest_wait,
                  m_lifetime.wrap(
                      [this, call](const StoreResult& result) { answered(call, result); }));
    const Millis overdue(std::max(overdue_multiple * m_latency_ms, least_overdue_ms));
    const bool early = slow() && m_mechanisms.uses(Mechanism::early_reads);
    probe_later(call, early ? first_read_when_slow : overdue);
}

void StoreWriter::probe_later(const CallPtr& call, Millis delay)
{
    m_loop.after(delay, m_lifetime.wrap([this, call] { probe(call); }));
}

void StoreWriter::probe(const CallPtr& call)
{
    if (call->ended)
        return;
    // A read may be lost with an outage that is over: others follow while it is open.
    probe_later(call, probe_interval);
    if (call->probes_open >= most_open_probes)
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
        m_lifetime.wrap([this, call, asked = m_loop.now()](const StoreResult& result) {
            --call->probes_open;
            probed(call, result, asked);
        }));
}

void StoreWriter::probed(const CallPtr& call, const StoreResult& result, Millis asked)
{
    if (call->ended || result.status != StoreStatus::ok)
        return;
    const Millis took = m_loop.now() - asked;
    const bool slow_read = took > quick_read;
    if (slow_read)
        m_latency_ms = std::max(m_latency_ms, took.count());
    for (const StoredRow& row : result.rows) {
        if (row.id == call->first_put.id && row.value == call->first_put.value) {
            StoreResult seen;
            seen.status = StoreStatus::unknown;
            seen.rows = { row };
            seen.clock_ms = result.clock_ms;
            finish(call, seen);
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
        m_latency_ms = (m_latency_ms + (m_loop.now() - call->asked).count()) / 2;
    finish(call, result);
}

void StoreWriter::finish(const CallPtr& call, const StoreResult& result)
{
    call->ended = true;
    call->done(result);
}

} // namespace pathport::jobs
