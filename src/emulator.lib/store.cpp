// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/emulator/store.h>

#include <algorithm>
#include <memory>

namespace pathport::emulator {

namespace {

using jobs::StoreResult;
using jobs::StoreStatus;

constexpr int64_t base_latency_ms = 4;
constexpr int64_t latency_spread_ms = 4;
/// Extra time that the platform's store client waits for the reply to a watch.
constexpr Millis watch_margin { 1500 };
constexpr Millis watch_poll { 20 };
/// Time to the answer to a write that the store does not take.
constexpr Millis failure_time { 5 };
/// The partition of the leader's log and of claims.
const char* const log_partition = "s";
/// Page size of the worker list.
constexpr size_t page_rows = 500;

// Limits of the platform's store.
constexpr size_t max_key_bytes = 200;
constexpr size_t max_value_bytes = 65536;
constexpr size_t max_entries = 100;
constexpr size_t max_bytes = 1000000; ///< Of a transaction, and of a page of rows.
constexpr int max_page_rows = 500;

bool within_limits(const jobs::StoreWrite& write)
{
    size_t bytes = 0;
    bool fits
        = write.checks.size() + write.puts.size() + write.removes.size() <= max_entries;
    const auto add_key = [&](const jobs::RowKey& row) {
        fits = fits && row.table.size() <= max_key_bytes
            && row.partition.size() <= max_key_bytes && row.key.size() <= max_key_bytes;
    };
    for (const jobs::RowCheck& check : write.checks)
        add_key(check.id);
    for (const jobs::RowKey& row : write.removes)
        add_key(row);
    for (const jobs::RowPut& put : write.puts) {
        add_key(put.id);
        fits = fits && put.value.size() <= max_value_bytes;
        bytes += put.value.size();
    }
    return fits && bytes <= max_bytes;
}

StoreResult with_status(StoreStatus status)
{
    StoreResult result;
    result.status = status;
    return result;
}

} // namespace

Store::Store(World& world)
    : m_world(world)
{
}

void Store::configure(const jobs::Configuration& configuration)
{
    m_configuration = configuration;
    m_configuration_version = ++m_version;
    m_operator_version = m_version;
}

void Store::drain(const std::string& domain, bool drained)
{
    m_drains[domain] = { domain, drained, ++m_version };
    m_operator_version = m_version;
}

std::vector<jobs::DrainChange> Store::drains_after(int64_t version) const
{
    std::vector<jobs::DrainChange> changes;
    for (const auto& [domain, change] : m_drains) {
        if (version == 0 ? change.drained : change.version > version)
            changes.push_back(change);
    }
    return changes;
}

StoreResult Store::write_now(const jobs::StoreWrite& write)
{
    StoreResult result;
    result.clock_ms = m_world.now().count();
    if (!within_limits(write)) {
        result.status = StoreStatus::rejected;
        return result;
    }
    bool holds = true;
    for (const jobs::RowCheck& check : write.checks) {
        const auto found = m_rows.find(key(check.id));
        jobs::StoredRow row;
        row.id = check.id;
        if (found != m_rows.end()) {
            row.value = found->second.value;
            row.version = found->second.version;
        }
        holds = holds && row.version == check.version;
        result.rows.push_back(row);
    }
    if (!holds) {
        result.status = StoreStatus::conflict;
        result.version = m_version;
        return result;
    }
    result.rows.clear();
    ++m_version;
    for (const jobs::RowPut& put : write.puts)
        m_rows[key(put.id)] = Row { put.value, m_version };
    for (const jobs::RowKey& row : write.removes)
        m_rows.erase(key(row));
    result.status = StoreStatus::ok;
    result.version = m_version;
    return result;
}

StoreResult Store::read_now(const jobs::StoreRange& range) const
{
    StoreResult result = with_status(StoreStatus::ok);
    result.version = m_version;
    result.clock_ms = m_world.now().count();
    size_t bytes = 0;
    auto row = m_rows.lower_bound({ range.table, range.partition, range.from });
    for (; row != m_rows.end(); ++row) {
        const auto& [table, part, name] = row->first;
        if (table != range.table || part != range.partition
            || (!range.to.empty() && name >= range.to))
            break;
        bytes += row->second.value.size();
        const bool is_full
            = result.rows.size() == size_t(std::min(range.limit, max_page_rows));
        if (is_full || (!result.rows.empty() && bytes > max_bytes)) {
            result.more = true;
            break;
        }
        result.rows.push_back(
            { { table, part, name }, row->second.value, row->second.version, false });
    }
    return result;
}

StoreResult Store::watch_now(const std::string& table, int64_t version) const
{
    if (version < m_history_from)
        return with_status(StoreStatus::history_lost);
    StoreResult result = with_status(StoreStatus::ok);
    result.version = m_version;
    result.clock_ms = m_world.now().count();
    for (const auto& [name, row] : m_rows) {
        if (std::get<0>(name) == table && row.version > version)
            result.rows.push_back({ { table, std::get<1>(name), std::get<2>(name) },
                                    row.value,
                                    row.version,
                                    false });
    }
    return result;
}

std::string Store::value(const jobs::RowKey& row) const
{
    const auto found = m_rows.find(key(row));
    return found == m_rows.end() ? std::string() : found->second.value;
}

size_t Store::count(const std::string& table) const
{
    return static_cast<size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& entry) {
            return std::get<0>(entry.first) == table;
        }));
}

Millis Store::latency()
{
    const auto spread = static_cast<int64_t>(m_world.random_below(latency_spread_ms));
    return Millis((base_latency_ms + spread) * injected.latency_factor);
}

StorePort::StorePort(Store& store, ProcessLoop& loop, std::string node)
    : m_store(store)
    , m_loop(loop)
    , m_node(std::move(node))
{
}

StorePort::Reach StorePort::reach() const
{
    const InjectedStoreFaults& faults = m_store.injected;
    if (faults.unresponsive || faults.partitioned_nodes.count(m_node) > 0)
        return Reach::no_reply;
    if (faults.refuse_calls || faults.refused_nodes.count(m_node) > 0)
        return Reach::refused;
    return Reach::served;
}

std::optional<StoreStatus> StorePort::log_failure(const jobs::StoreWrite& write) const
{
    const bool to_log
        = !write.puts.empty() && write.puts.front().id.partition == log_partition;
    if (!to_log || reach() != Reach::served)
        return std::nullopt;
    if (m_store.injected.refused_log_nodes.count(m_node) > 0)
        return StoreStatus::refused;
    if (m_store.injected.rejected_log_nodes.count(m_node) > 0)
        return StoreStatus::rejected;
    return std::nullopt;
}

void StorePort::answer(Millis delay, StoreResult result, const jobs::StoreReply& done)
{
    m_loop.world().after(
        delay, [this, alive = m_loop.alive_flag(), result = std::move(result), done] {
            if (*alive)
                m_loop.deliver([result, done] { done(result); });
        });
}

bool StorePort::lose_call(Millis timeout, const jobs::StoreReply& done)
{
    if (!connections.drops_call(m_loop.world().now(), Millis(0), timeout))
        return false;
    answer(timeout, with_status(StoreStatus::unknown), done);
    return true;
}

void StorePort::call(Millis timeout, std::function<StoreResult()> work,
                     jobs::StoreReply done)
{
    if (lose_call(timeout, done))
        return;
    const Millis latency = m_store.latency();
    if (reach() == Reach::refused) {
        answer(Millis(2), with_status(StoreStatus::refused), done);
        return;
    }
    if (reach() == Reach::no_reply || latency > timeout) {
        answer(timeout, with_status(StoreStatus::unknown), done);
        return;
    }
    m_loop.world().after(
        Millis(latency.count() / 2),
        [this, alive = m_loop.alive_flag(), work = std::move(work), done, latency] {
            const StoreResult result = work();
            if (*alive)
                answer(Millis(latency.count() / 2), result, done);
        });
}

bool StorePort::loses_reply()
{
    const double share = m_store.injected.lost_read_replies;
    return share > 0 && reach() == Reach::served && m_loop.world().chance(share);
}

void StorePort::query(Millis timeout, std::function<StoreResult()> work,
                      jobs::StoreReply done)
{
    if (loses_reply())
        answer(timeout, with_status(StoreStatus::unknown), done);
    else
        call(timeout, std::move(work), std::move(done));
}

void StorePort::read(const jobs::StoreRange& range, Millis timeout, jobs::StoreReply done)
{
    Store& store = m_store;
    ++store.m_reads;
    query(
        timeout, [&store, range] { return store.read_now(range); }, std::move(done));
}

void StorePort::write(const jobs::StoreWrite& write, Millis timeout, jobs::StoreReply done)
{
    World& world = m_loop.world();
    Store& store = m_store;
    if (lose_call(timeout, done))
        return;
    if (const auto failure = log_failure(write)) {
        answer(failure_time, with_status(*failure), done);
        return;
    }
    if (reach() == Reach::served && world.chance(store.injected.lost_write_replies)) {
        const Millis when = store.injected.delay_lost_writes
            ? Millis(1000 + int64_t(world.random_below(5000)))
            : store.latency();
        world.after(when, [&store, write] { store.write_now(write); });
        answer(timeout, with_status(StoreStatus::unknown), done);
        return;
    }
    const Millis latency = store.latency();
    if (reach() == Reach::served && latency > timeout) {
        // The caller stops waiting, but the write is executed all the same.
        world.after(latency, [&store, write] { store.write_now(write); });
        answer(timeout, with_status(StoreStatus::unknown), done);
        return;
    }
    call(
        timeout, [&store, write] { return store.write_now(write); }, std::move(done));
}

void StorePort::watch(const std::string& table, int64_t version, Millis wait,
                      jobs::StoreReply done)
{
    Store& store = m_store;
    query(
        wait + watch_margin,
        [&store, table, version] { return store.watch_now(table, version); },
        std::move(done));
}

void StorePort::read_workers(
    Millis timeout,
    std::function<void(jobs::DirectoryAnswer<std::vector<jobs::WorkerInfo>>)> done)
{
    const auto listed = std::make_shared<std::vector<jobs::WorkerInfo>>();
    Store& store = m_store;
    query(
        timeout,
        [&store, listed] {
            *listed = store.list_workers();
            return with_status(StoreStatus::ok);
        },
        [this, done, listed](const StoreResult& result) {
            jobs::DirectoryAnswer<std::vector<jobs::WorkerInfo>> answer;
            answer.status = result.status;
            if (result.status == StoreStatus::ok)
                answer.value = *listed;
            // Further pages are read one at a time, so the first one is the oldest.
            const auto further = static_cast<int64_t>(listed->size() / page_rows);
            if (further == 0)
                done(answer);
            else
                m_loop.after(Millis(further * m_store.latency().count()),
                             [done, answer] { done(answer); });
        });
}

void StorePort::read_configuration(Millis timeout,
                                   std::function<void(jobs::OperatorAnswer)> done)
{
    query(
        timeout, [] { return with_status(StoreStatus::ok); },
        [this, done](const StoreResult& result) {
            jobs::OperatorAnswer answer;
            answer.status = result.status;
            answer.version = m_store.version();
            answer.drains = m_store.drains_after(0);
            if (result.status == StoreStatus::ok && m_store.configuration_version() > 0)
                answer.value = m_store.configuration();
            done(answer);
        });
}

void StorePort::watch_configuration(int64_t version, Millis wait,
                                    std::function<void(jobs::OperatorAnswer)> done)
{
    const Millis now = m_loop.now();
    const Watch watch { version, wait, now + wait + watch_margin, connections.generation(),
                        std::move(done) };
    if (connections.drops_call(now, wait, wait + watch_margin) || reach() == Reach::no_reply
        || loses_reply())
        expire_watch(watch);
    else
        check_watch(watch);
}

// The caller gets no reply until its deadline.
void StorePort::expire_watch(const Watch& watch)
{
    m_loop.after(watch.deadline - m_loop.now(), [done = watch.done] { done({}); });
}

void StorePort::check_watch(const Watch& watch)
{
    if (watch.connections != connections.generation()) {
        expire_watch(watch);
        return;
    }
    const bool due
        = watch.remaining <= Millis(0) || m_store.operator_version() > watch.version;
    if (due || reach() == Reach::refused) {
        answer_watch(watch);
        return;
    }
    Watch next = watch;
    next.remaining = watch.remaining - watch_poll;
    m_loop.after(watch_poll, [this, next = std::move(next)] { check_watch(next); });
}

void StorePort::answer_watch(const Watch& watch)
{
    const Millis latency = m_store.latency();
    jobs::OperatorAnswer answer;
    answer.version = m_store.version();
    answer.drains = m_store.drains_after(watch.version);
    if (reach() == Reach::no_reply || m_loop.now() + latency > watch.deadline) {
        expire_watch(watch);
        return;
    }
    answer.status = reach() == Reach::refused ? StoreStatus::refused : StoreStatus::ok;
    if (watch.version < m_store.m_history_from)
        answer.status = StoreStatus::history_lost;
    if (answer.status == StoreStatus::ok && m_store.configuration_version() > watch.version)
        answer.value = m_store.configuration();
    m_loop.world().after(latency, [this, alive = m_loop.alive_flag(), answer, watch] {
        if (watch.connections != connections.generation()) {
            if (*alive)
                expire_watch(watch);
            return;
        }
        if (*alive)
            m_loop.deliver([answer, done = watch.done] { done(answer); });
    });
}

} // namespace pathport::emulator
