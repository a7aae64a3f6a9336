// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "head_log.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Pause between the starts of two writes, so that rows share transactions. A job's row is
/// written anew for each of its tasks that starts or ends, so a longer pause writes fewer.
constexpr Millis least_spacing { 16 };
/// No pause is longer: starts wait for their records.
constexpr Millis most_spacing { 100 };
/// The rows of a write take one part in so many of the processor's time and of the link at
/// most: unspaced they took 100 of 250 kB/s at 350 starts and ends a second.
constexpr int64_t processor_share = 8;
constexpr int64_t link_share = 5;
constexpr Millis gathering_time { 3 };
/// A write is made at least so often, to renew the lease.
constexpr Millis renewal_interval { 400 };
/// A last write that began longer ago means that the store is away; the second holds while
/// it is known to be slow.
constexpr Millis usual_write_age { 900 };
constexpr Millis slow_write_age { 2600 };
/// A write that took longer is told of in the log.
constexpr Millis slow_write { 100 };
/// Pause before a write is sent again that was refused.
constexpr Millis refused_pause { 60 };
/// A log counts its writes from a random number below this on.
constexpr uint64_t first_number_bound = uint64_t(1) << 40;
/// What silent workers may take of the head row, of which the platform's store takes 65,536
/// bytes (row_bytes): the ids of 1,100 workers twice leave as much again.
constexpr size_t most_silent_bytes = 24000;
/// Where the row's array holds them.
constexpr size_t silent_field = 4;
/// Rows in one transaction beside the head row, its check and the leader row.
constexpr size_t most_rows = max_transaction_entries - 3;

} // namespace

std::string encode(const HeadValue& head)
{
    return nlohmann::json::array({ head.epoch, head.number, head.incarnation,
                                   head.unrecorded_task_workers, head.silent.grouped() })
        .dump();
}

HeadValue unreadable_head()
{
    HeadValue head;
    head.unrecorded_task_workers = { any_worker };
    return head;
}

std::optional<HeadValue> decode_head(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        HeadValue head { json.at(0).get<int64_t>(),
                         json.at(1).get<int64_t>(),
                         json.at(2).get<std::string>(),
                         {},
                         {} };
        // Earlier versions only said whether there may be such tasks.
        if (json.at(3).is_array())
            head.unrecorded_task_workers = json.at(3).get<std::vector<std::string>>();
        else if (json.at(3).get<bool>())
            head.unrecorded_task_workers = { any_worker };
        // Earlier versions named no silent workers.
        if (json.size() > silent_field)
            head.silent = SilentWorkers::from_groups(
                json.at(silent_field).get<std::vector<SilentWorkers::Group>>());
        return head;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

bool HeadValue::may_run_unrecorded(const std::string& worker) const
{
    return std::find(unrecorded_task_workers.begin(), unrecorded_task_workers.end(), worker)
        != unrecorded_task_workers.end();
}

HeadLog::HeadLog(EventLoop& loop, JobStore& store, HeadLogOwner& owner, HeadValue head,
                 int64_t version, Millis claimed, Mechanisms mechanisms)
    : m_loop(loop)
    , m_owner(owner)
    , m_mechanisms(mechanisms)
    , m_head(std::move(head))
    , m_version(version)
    , m_lease_until(claimed + leader_lease)
    , m_last_write_start(claimed)
    , m_spacing(least_spacing)
    , m_writer(loop, store, mechanisms)
{
    // What the claim's row says holds until a write of this log replaces it.
    m_committed.head = m_head;
    m_prepared.head = m_head;
    // Writes of another log under the same claim, if there ever is one, have other numbers.
    m_head.number = static_cast<int64_t>(loop.random() % first_number_bound);
    schedule(renewal_interval);
}

void HeadLog::record(const std::string& job, std::function<void()> done)
{
    if (m_closed)
        return;
    const auto [entry, added] = m_waiting.try_emplace(job);
    if (added) {
        entry->second.job = job;
        m_queue.push_back(job);
    }
    if (done)
        entry->second.done.push_back(std::move(done));
    // An end and the intents of the pass that follows it share a transaction.
    write_soon();
}

void HeadLog::write_soon()
{
    if (m_closed || m_sending || m_pending_write)
        return;
    const Millis since = m_loop.now() - m_last_write_start;
    schedule(std::max(gathering_time, m_spacing - since));
}

void HeadLog::hand_over(std::string leader_row, std::string incarnation,
                        std::function<void()> done)
{
    if (m_closed || m_successor)
        return;
    m_successor = Successor { std::move(leader_row), std::move(incarnation),
                              std::move(done), false };
    if (!m_sending && !m_pending_write)
        schedule(Millis(1));
}

void HeadLog::when_recorded(const std::string& job, std::function<void()> done)
{
    const auto waiting = m_waiting.find(job);
    if (waiting != m_waiting.end()) {
        waiting->second.done.push_back(std::move(done));
        return;
    }
    for (Entry& entry : m_in_flight) {
        if (entry.job == job) {
            entry.done.push_back(std::move(done));
            return;
        }
    }
    done();
}

bool HeadLog::served() const
{
    const Millis last_write = m_lease_until - leader_lease;
    const Millis allowed
        = m_committed.early_orders_allowed ? slow_write_age : usual_write_age;
    return m_served && m_loop.now() - last_write < allowed;
}

bool HeadLog::may_order_early(const std::string& worker) const
{
    return m_committed.early_orders_allowed && m_prepared.early_orders_allowed
        && m_committed.head.may_run_unrecorded(worker)
        && m_prepared.head.may_run_unrecorded(worker);
}

bool HeadLog::may_lease(const std::string& worker) const
{
    return !m_committed.head.silent.contains(worker)
        && !m_prepared.head.silent.contains(worker);
}

void HeadLog::schedule(Millis delay)
{
    const Millis at = m_loop.now() + delay;
    if (m_timer != 0 && m_timer_at <= at)
        return;
    m_loop.cancel(m_timer);
    m_timer_at = at;
    m_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_timer = 0;
        flush();
    }));
}

void HeadLog::flush()
{
    if (m_closed || m_sending)
        return;
    if (!m_pending_write)
        prepare_write();
    send();
}

// Spaces writes by what the last one took.
void HeadLog::adapt_spacing(Millis filling, size_t bytes)
{
    Millis wanted = Millis(filling.count() * processor_share);
    if (m_link_bytes_per_s > 0) {
        constexpr int64_t millis_of_a_second = 1000;
        const auto sent = static_cast<int64_t>(bytes);
        wanted = std::max(
            wanted, Millis(sent * link_share * millis_of_a_second / m_link_bytes_per_s));
    }
    m_spacing = std::clamp(wanted, least_spacing, most_spacing);
}

void HeadLog::prepare_write()
{
    const Millis begun = m_loop.now();
    m_write = {};
    m_write.checks.push_back({ lead_row(head_key), m_version });
    m_write.puts.push_back({ lead_row(head_key), {} });
    size_t bytes = 0;
    const size_t most = m_mechanisms.uses(Mechanism::write_batching) ? most_rows : 1;
    while (!m_queue.empty() && m_in_flight.size() < most && bytes < max_transaction_bytes) {
        const std::string job = m_queue.front();
        m_queue.pop_front();
        const auto entry = m_waiting.find(job);
        m_in_flight.push_back(std::move(entry->second));
        m_waiting.erase(entry);
        std::optional<std::string> value = m_owner.progress_of(job);
        if (!value) {
            m_write.removes.push_back(progress_row(job));
            continue;
        }
        bytes += value->size();
        m_write.puts.push_back({ progress_row(job), std::move(*value) });
    }
    prepare_head();
    m_pending_write = true;
    adapt_spacing(m_loop.now() - begun, bytes);
}

void HeadLog::prepare_head()
{
    const bool last = m_successor && m_queue.empty();
    // Once the store is quick again and this write holds all that waits, what comes later
    // is recorded first.
    m_prepared.early_orders_allowed = !last && (m_writer.slow() || !m_queue.empty())
        && m_mechanisms.uses(Mechanism::early_orders);
    ++m_head.number;
    if (last) {
        // A head that no claim writes, so that it proves this write alone.
        m_head.number = -m_head.number;
        ++m_head.epoch;
        m_head.incarnation = m_successor->incarnation;
        m_write.puts.push_back({ lead_row(leader_key), m_successor->leader_row });
        m_successor->written = true;
    }
    m_head.unrecorded_task_workers
        = m_owner.unrecorded_workers(m_prepared.early_orders_allowed);
    SilentWorkers silent = m_owner.silent_workers();
    silent.truncate_to(most_silent_bytes);
    m_head.silent = silent.rounded();
    m_prepared.head = m_head;
    m_write.puts.front().value = encode(m_head);
}

void HeadLog::send()
{
    m_sending = true;
    const Millis asked = m_loop.now();
    m_last_write_start = asked;
    m_writer.send(m_write, [this, asked](const StoreResult& result) {
        m_sending = false;
        answered(result, asked);
    });
}

void HeadLog::answered(const StoreResult& result, Millis asked)
{
    if (m_closed)
        return;
    const Millis took = m_loop.now() - asked;
    if (took > slow_write || result.status != StoreStatus::ok)
        log_event(LogLevel::info, "log_write_slow",
                  { { "epoch", m_head.epoch },
                    { "status", to_string(result.status) },
                    { "rows", static_cast<int64_t>(m_in_flight.size()) },
                    { "waiting", static_cast<int64_t>(m_queue.size()) },
                    { "unrecorded_orders", m_prepared.early_orders_allowed ? "yes" : "no" },
                    { "after_ms", took.count() } });
    switch (result.status) {
    case StoreStatus::ok:
        committed(result.version, asked);
        return;
    case StoreStatus::conflict:
        if (const StoredRow* head = own_head(result))
            committed(head->version, asked);
        else
            handle_fenced();
        return;
    case StoreStatus::refused:
    case StoreStatus::history_lost:
        m_served = false;
        schedule(refused_pause);
        return;
    case StoreStatus::unknown:
        if (const StoredRow* head = own_head(result)) {
            committed(head->version, asked);
            return;
        }
        // The same write goes out again: its check lets it take effect once at most.
        m_served = false;
        schedule(Millis(1));
        return;
    }
}

void HeadLog::committed(int64_t version, Millis asked)
{
    m_served = true;
    m_version = version;
    m_lease_until = asked + leader_lease;
    m_pending_write = false;
    m_committed = m_prepared;
    std::vector<Entry> written;
    written.swap(m_in_flight);
    const bool handed_over = m_successor && m_successor->written;
    const Millis since = m_loop.now() - asked;
    if (handed_over)
        m_closed = true;
    else
        schedule(m_queue.empty() && !m_successor ? renewal_interval
                                                 : std::max(Millis(1), m_spacing - since));
    // A callback may end this leadership and destroy the log.
    const auto alive = m_lifetime.observe();
    for (const Entry& entry : written) {
        for (const auto& done : entry.done) {
            done();
            if (alive.expired())
                return;
        }
    }
    if (handed_over) {
        m_successor->done();
        return;
    }
    m_owner.head_written();
    if (m_committed.early_orders_allowed)
        m_owner.early_orders_enabled();
}

// Returns the head row among those of a result if it is the one of the present write. Each
// write has a head of its own, so an earlier sending of it took effect, and nobody had
// claimed the leadership when the row was seen.
const StoredRow* HeadLog::own_head(const StoreResult& result) const
{
    for (const StoredRow& row : result.rows) {
        if (row.id == lead_row(head_key) && decode_head(row.value) == m_head)
            return &row;
    }
    return nullptr;
}

void HeadLog::handle_fenced()
{
    m_closed = true;
    m_loop.cancel(m_timer);
    log_event(LogLevel::warn, "leadership_lost",
              { { "epoch", m_head.epoch }, { "number", m_head.number } });
    m_owner.log_fenced();
}

} // namespace pathport::jobs
