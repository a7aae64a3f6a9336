// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "head_log.h"

#include "store_keys.h"

#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace pathport::jobs {

namespace {

/// Minimum time between the starts of two writes, so that rows share transactions. Each
/// start and end of a task rewrites its job's row, so longer pauses mean fewer writes.
constexpr Millis min_spacing { 16 };
/// Maximum of that time, since starts of tasks wait for their records.
constexpr Millis max_spacing { 100 };
/// The rows of writes use at most 1/8 of the processor time and 1/5 of the link: without
/// spacing they used 100 of 250 kB/s at 350 starts and ends per second.
constexpr int64_t processor_divisor = 8;
constexpr int64_t link_divisor = 5;
constexpr Millis batch_delay { 3 };
/// Maximum time between writes, so that the lease is renewed.
constexpr Millis renewal_interval { 400 };
/// If the last write started longer ago, the store counts as unavailable; the second value
/// holds while the store is known to be slow.
constexpr Millis max_write_age { 900 };
constexpr Millis max_slow_write_age { 2600 };
/// Slower writes are logged.
constexpr Millis slow_write_threshold { 100 };
/// Delay before a refused write is sent again.
constexpr Millis refused_retry_delay { 60 };
/// A log numbers its writes from a random start below this.
constexpr uint64_t start_number_bound = uint64_t(1) << 40;
/// Maximum size of the list of silent workers in the head row. Workers that are left out
/// are handled as if every lease were the longest possible.
constexpr size_t max_silent_bytes = 24000;
/// Below this size, the lists of workers are not shortened further when the store rejects
/// the head row.
constexpr size_t min_list_bytes = 1000;
/// Index of the silent workers in the row's JSON array.
constexpr size_t silent_index = 4;
/// Index of the lateness, which is there if it is not 0.
constexpr size_t lateness_index = 5;
/// Lateness is told in steps of this size, and up to a limit: a successor waits longer for
/// a leader that is late.
constexpr Millis lateness_step { 100 };
constexpr Millis max_lateness { 1000 };
/// Maximum number of rows in one transaction besides the head row, its check and the leader
/// row.
constexpr size_t max_rows = max_transaction_entries - 3;

size_t list_bytes(const std::vector<std::string>& workers)
{
    size_t bytes = 0;
    for (const std::string& worker : workers)
        bytes += bytes_in_head(worker);
    return bytes;
}

size_t list_bytes(const SilentWorkers& silent)
{
    return nlohmann::json(silent.grouped()).dump().size();
}

} // namespace

std::string encode(const HeadValue& head)
{
    auto json
        = nlohmann::json::array({ head.epoch, head.number, head.incarnation,
                                  head.unrecorded_task_workers, head.silent.grouped() });
    if (head.lateness > Millis(0))
        json.push_back(head.lateness.count());
    return json.dump();
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
        // Earlier versions only stored whether there may be such tasks.
        if (json.at(3).is_array())
            head.unrecorded_task_workers = json.at(3).get<std::vector<std::string>>();
        else if (json.at(3).get<bool>())
            head.unrecorded_task_workers = { any_worker };
        // Earlier versions stored no silent workers.
        if (json.size() > silent_index)
            head.silent = SilentWorkers::from_groups(
                json.at(silent_index).get<std::vector<SilentWorkers::Group>>());
        if (json.size() > lateness_index)
            head.lateness = std::clamp(Millis(json.at(lateness_index).get<int64_t>()),
                                       Millis(0), max_lateness);
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
    , m_row_limit(mechanisms.uses(Mechanism::write_batching) ? max_rows : 1)
    , m_lease_until(claimed + leader_lease)
    , m_last_write_start(claimed)
    , m_spacing(min_spacing)
    , m_writer(loop, store, mechanisms)
{
    // The head row of the claim is valid until a write of this log replaces it.
    m_committed.head = m_head;
    m_prepared.head = m_head;
    // The random start keeps the heads of a second log under the same claim, if there ever
    // is one, distinct.
    m_head.number = static_cast<int64_t>(loop.random() % start_number_bound);
    schedule(renewal_interval);
}

void HeadLog::record(const std::string& job, std::function<void()> done)
{
    if (m_closed)
        return;
    const auto [entry, added] = m_waiting.try_emplace(job);
    if (added) {
        entry->second.job = job;
        entry->second.requested_at = m_loop.now();
        m_queue.push_back(job);
    }
    if (done)
        entry->second.done.push_back(std::move(done));
    // The end of a task and the intents of the following scheduling pass share a
    // transaction.
    write_soon();
}

void HeadLog::write_soon()
{
    if (m_closed || m_sending || m_pending_write)
        return;
    const Millis since = m_loop.now() - m_last_write_start;
    schedule(std::max(batch_delay, m_spacing - since));
}

void HeadLog::hand_over(std::string leader_row, std::string incarnation,
                        std::function<void()> done)
{
    if (m_closed || m_successor)
        return;
    m_successor = Successor { std::move(leader_row), std::move(incarnation),
                              std::move(done), false };
    // A timer would run late on a node that is short of processor time.
    if (!m_pending_write)
        flush();
}

bool HeadLog::withdraw_successor()
{
    if (m_successor && m_successor->written)
        return false;
    m_successor.reset();
    return true;
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

Millis HeadLog::age_of_records() const
{
    return m_in_flight.empty() ? Millis(0)
                               : m_loop.now() - m_in_flight.front().requested_at;
}

// A slow store leaves processor time for polls, and what ends meanwhile should be known.
Millis HeadLog::record_time() const
{
    if (m_writer.slow())
        return Millis(0);
    return std::max(m_record_time, age_of_records());
}

bool HeadLog::served() const
{
    const Millis last_write = m_lease_until - leader_lease;
    const Millis allowed
        = m_committed.early_orders_allowed ? max_slow_write_age : max_write_age;
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
        note_lateness(m_loop.now() - m_timer_at);
        flush();
    }));
}

// A single pause is soon forgotten.
void HeadLog::note_lateness(Millis late)
{
    m_lateness = std::max(late, Millis(m_lateness.count() / 2));
}

void HeadLog::flush()
{
    if (m_closed || m_sending)
        return;
    if (!m_pending_write)
        prepare_write();
    send();
}

// Adapts the spacing of writes to the cost of the last one.
void HeadLog::adapt_spacing(Millis preparation, size_t bytes)
{
    Millis spacing = Millis(preparation.count() * processor_divisor);
    if (m_link_bytes_per_s > 0) {
        constexpr int64_t ms_per_second = 1000;
        const auto sent = static_cast<int64_t>(bytes);
        spacing = std::max(
            spacing, Millis(sent * link_divisor * ms_per_second / m_link_bytes_per_s));
    }
    m_spacing = std::clamp(spacing, min_spacing, max_spacing);
}

void HeadLog::prepare_write()
{
    const Millis started_at = m_loop.now();
    m_write = {};
    m_write.checks.push_back({ lead_row(head_key), m_version });
    m_write.puts.push_back({ lead_row(head_key), {} });
    size_t bytes = 0;
    while (!m_queue.empty() && m_in_flight.size() < m_row_limit
           && bytes < max_transaction_bytes) {
        const std::string job = m_queue.front();
        m_queue.pop_front();
        const auto entry = m_waiting.find(job);
        Entry taken = std::move(entry->second);
        m_waiting.erase(entry);
        std::optional<std::string> value = m_owner.progress_of(job);
        if (is_rejected(job, value))
            continue;
        m_in_flight.push_back(std::move(taken));
        if (!value) {
            m_write.removes.push_back(progress_row(job));
            continue;
        }
        bytes += value->size();
        m_write.puts.push_back({ progress_row(job), std::move(*value) });
    }
    prepare_head();
    m_pending_write = true;
    adapt_spacing(m_loop.now() - started_at, bytes);
}

// Returns whether more than half of the rows that waited at the last write still wait
// although a successor waits. The successor learns what they say from the workers, as after
// a crash.
bool HeadLog::falls_behind()
{
    const size_t waiting_before = m_successor->rows_waiting;
    m_successor->rows_waiting = m_queue.size();
    return m_queue.size() > waiting_before / 2;
}

void HeadLog::prepare_head()
{
    m_head_before = m_head;
    const bool names_successor = m_successor && (m_queue.empty() || falls_behind());
    // When the store is fast again and this write contains all pending rows, later orders
    // are sent only after they are recorded.
    m_prepared.early_orders_allowed = !names_successor
        && (m_writer.slow() || !m_queue.empty())
        && m_mechanisms.uses(Mechanism::early_orders);
    ++m_head.number;
    if (names_successor) {
        // No claim writes a negative number, so this head identifies this write alone.
        m_head.number = -m_head.number;
        ++m_head.epoch;
        m_head.incarnation = m_successor->incarnation;
        m_write.puts.push_back({ lead_row(leader_key), m_successor->leader_row });
        m_successor->written = true;
    }
    // Both lists grow with the cell, and a row does not. Inherited workers have to stay;
    // silent ones go before those that may get orders early.
    const size_t inherited = list_bytes(m_owner.unrecorded_workers(false, 0));
    SilentWorkers silent = m_owner.silent_workers();
    silent.truncate_to(std::min(max_silent_bytes,
                                m_max_list_bytes - std::min(m_max_list_bytes, inherited)));
    m_head.silent = silent.rounded();
    const size_t silent_bytes = list_bytes(m_head.silent);
    // Rows that are left out may belong to orders that preceded their record.
    const bool lists_early_orders
        = m_prepared.early_orders_allowed || (names_successor && !m_queue.empty());
    m_head.unrecorded_task_workers = m_owner.unrecorded_workers(
        lists_early_orders, m_max_list_bytes - std::min(m_max_list_bytes, silent_bytes));
    m_head.lateness = Millis(std::min(m_lateness, max_lateness).count()
                             / lateness_step.count() * lateness_step.count());
    m_prepared.head = m_head;
    m_write.puts.front().value = encode(m_head);
}

void HeadLog::send()
{
    m_sending = true;
    const Millis sent_at = m_loop.now();
    m_last_write_start = sent_at;
    m_writer.send(m_write, [this, sent_at](const StoreResult& result) {
        m_sending = false;
        answered(result, sent_at);
    });
}

void HeadLog::answered(const StoreResult& result, Millis sent_at)
{
    if (m_closed)
        return;
    const Millis elapsed = m_loop.now() - sent_at;
    if (elapsed > slow_write_threshold || result.status != StoreStatus::ok)
        log_event(LogLevel::info, "log_write_slow",
                  { { "epoch", m_head.epoch },
                    { "status", to_string(result.status) },
                    { "rows", static_cast<int64_t>(m_in_flight.size()) },
                    { "waiting", static_cast<int64_t>(m_queue.size()) },
                    { "unrecorded_orders", m_prepared.early_orders_allowed ? "yes" : "no" },
                    { "after_ms", elapsed.count() } });
    switch (result.status) {
    case StoreStatus::ok:
        committed(result.version, sent_at);
        return;
    case StoreStatus::conflict:
        if (const StoredRow* head = own_head(result))
            committed(head->version, sent_at);
        else
            handle_fenced();
        return;
    case StoreStatus::rejected:
        rejected();
        return;
    case StoreStatus::refused:
    case StoreStatus::history_lost:
        note_unserved();
        schedule(refused_retry_delay);
        return;
    case StoreStatus::unknown:
        if (const StoredRow* head = own_head(result)) {
            committed(head->version, sent_at);
            return;
        }
        // The same write is sent again; its check ensures that it takes effect at most
        // once.
        note_unserved();
        schedule(Millis(1));
        return;
    }
}

void HeadLog::note_unserved()
{
    if (m_served)
        m_unserved_since = m_loop.now();
    m_served = false;
}

// Logs the end of an outage of the store for this log.
void HeadLog::note_served(Millis sent_at)
{
    if (!m_served)
        log_event(
            LogLevel::info, "log_write_resumed",
            { { "epoch", m_head.epoch },
              { "unserved_ms", (m_loop.now() - m_unserved_since).count() },
              { "written_ms_ago", (m_loop.now() - (m_lease_until - leader_lease)).count() },
              { "after_ms", (m_loop.now() - sent_at).count() },
              { "lateness_ms", m_lateness.count() },
              { "rows", static_cast<int64_t>(m_in_flight.size()) },
              { "waiting", static_cast<int64_t>(m_queue.size()) } });
    m_served = true;
}

// The store will never take this write, and sending it again would hold back all others.
// Its rows are divided until the faulty one is alone, and that one is set aside.
void HeadLog::rejected()
{
    log_event(
        LogLevel::error, "log_write_rejected",
        { { "epoch", m_head.epoch },
          { "rows", static_cast<int64_t>(m_in_flight.size()) },
          { "head_bytes", static_cast<int64_t>(m_write.puts.front().value.size()) } });
    m_pending_write = false;
    m_head = m_head_before;
    m_prepared = m_committed;
    if (m_successor)
        m_successor->written = false;
    if (m_in_flight.size() > 1) {
        m_row_limit = m_in_flight.size() / 2;
        requeue_in_flight();
        schedule(Millis(1));
        return;
    }
    if (m_in_flight.empty()) {
        m_max_list_bytes = std::max(m_max_list_bytes / 2, min_list_bytes);
        schedule(refused_retry_delay);
        return;
    }
    const std::string job = m_in_flight.front().job;
    size_t bytes = 0;
    for (const RowPut& put : m_write.puts)
        bytes = put.id == progress_row(job) ? put.value.size() : bytes;
    m_rejected[job] = bytes;
    m_in_flight.clear();
    log_event(LogLevel::error, "row_rejected",
              { { "job", job }, { "bytes", static_cast<int64_t>(bytes) } });
    schedule(Millis(1));
}

void HeadLog::requeue_in_flight()
{
    for (auto entry = m_in_flight.rbegin(); entry != m_in_flight.rend(); ++entry) {
        const auto [waiting, added] = m_waiting.try_emplace(entry->job);
        if (added) {
            waiting->second = std::move(*entry);
            m_queue.push_front(waiting->first);
            continue;
        }
        auto& done = waiting->second.done;
        done.insert(done.begin(), std::make_move_iterator(entry->done.begin()),
                    std::make_move_iterator(entry->done.end()));
    }
    m_in_flight.clear();
}

bool HeadLog::is_rejected(const std::string& job,
                          const std::optional<std::string>& value) const
{
    const auto found = m_rejected.find(job);
    return found != m_rejected.end() && value && value->size() >= found->second;
}

void HeadLog::committed(int64_t version, Millis sent_at)
{
    if (m_mechanisms.uses(Mechanism::write_batching))
        m_row_limit = std::min(m_row_limit * 2, max_rows);
    note_served(sent_at);
    m_version = version;
    m_lease_until = sent_at + leader_lease;
    m_pending_write = false;
    m_committed = m_prepared;
    if (!m_in_flight.empty())
        m_record_time = Millis((m_record_time + age_of_records()).count() / 2);
    std::vector<Entry> written;
    written.swap(m_in_flight);
    const bool handed_over = m_successor && m_successor->written;
    const Millis since = m_loop.now() - sent_at;
    if (handed_over)
        m_closed = true;
    else
        schedule(m_queue.empty() ? renewal_interval
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
    if (m_successor)
        flush();
}

// Returns the head row of a result if the present write wrote it. Each write has a unique
// head, so in that case an earlier attempt took effect, and no other node had claimed
// leadership when the row was read.
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
