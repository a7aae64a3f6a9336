// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "acceptor.h"

#include "job_record.h"
#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 600 };
/// Delay after a write that the store refused.
constexpr Millis refused_retry_delay { 80 };
/// Each job needs a put and two checks.
constexpr size_t max_jobs_per_write = max_transaction_entries / 3;

} // namespace

const char* to_string(WriteEvidence evidence)
{
    switch (evidence) {
    case WriteEvidence::answer:
        return "answer";
    case WriteEvidence::row:
        return "row";
    case WriteEvidence::none:
        break;
    }
    return "none";
}

Acceptor::Acceptor(EventLoop& loop, StoreHealth& store)
    : m_loop(loop)
    , m_store(store)
{
}

void Acceptor::accept(const std::string& id, const std::string& row,
                      const std::string& workspace, Millis give_up_at, WriteReply done)
{
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->row = job_row(id);
    entry->is_job = true;
    entry->value = row;
    entry->workspace = workspace;
    entry->give_up_at = give_up_at;
    entry->done.push_back(std::move(done));
    add(job_partition(id), std::move(entry));
}

// A job that is closed needs no cancellation.
void Acceptor::cancel(const std::string& id, const callers::Caller& caller,
                      Millis give_up_at, WriteReply done)
{
    const auto on_job_row
        = [this, id, caller, give_up_at, done](Presence job, const std::string& owner) {
              if (job == Presence::undetermined) {
                  done({ WriteOutcome::refused });
                  return;
              }
              if (job == Presence::open && !caller.may_see(owner)) {
                  done({ WriteOutcome::missing });
                  return;
              }
              if (job == Presence::open) {
                  record_cancel(id, give_up_at, done);
                  return;
              }
              look_up(closed_row(id), give_up_at,
                      [caller, done](Presence closed, const std::string& of) {
                          WriteResult result { WriteOutcome::written };
                          if (closed == Presence::missing || !caller.may_see(of))
                              result.outcome = WriteOutcome::missing;
                          if (closed == Presence::undetermined)
                              result.outcome = WriteOutcome::refused;
                          done(result);
                      });
          };
    look_up(job_row(id), give_up_at, on_job_row);
}

void Acceptor::record_cancel(const std::string& id, Millis give_up_at, WriteReply done)
{
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->row = cancel_row(id);
    entry->value = "1";
    entry->give_up_at = give_up_at;
    entry->done.push_back(std::move(done));
    add(job_partition(id), std::move(entry));
}

// Reports whether the row exists, retrying until `give_up_at`.
void Acceptor::look_up(const RowKey& row, Millis give_up_at, LookUpReply done)
{
    StoreRange range;
    range.table = row.table;
    range.partition = row.partition;
    range.from = row.key;
    range.to = row.key + "!";
    range.limit = 1;
    m_store.read(range, read_timeout,
                 m_lifetime.wrap([this, row, give_up_at, done](const StoreResult& result) {
                     if (result.status == StoreStatus::ok) {
                         const bool closed = row.table == closed_table;
                         if (result.rows.empty()) {
                             done(Presence::missing, "");
                             return;
                         }
                         const std::string& value = result.rows.front().value;
                         if (closed)
                             done(Presence::closed, workspace_of_final_progress(value));
                         else
                             done(Presence::open, workspace_of_job_row(value));
                         return;
                     }
                     if (m_loop.now() >= give_up_at || m_store.failing()) {
                         done(Presence::undetermined, "");
                         return;
                     }
                     m_loop.after(refused_retry_delay,
                                  m_lifetime.wrap([this, row, give_up_at, done] {
                                      look_up(row, give_up_at, done);
                                  }));
                 }));
}

void Acceptor::add(const std::string& partition, EntryPtr entry)
{
    const auto open = m_open.find(entry->row.key);
    if (open != m_open.end()) {
        // The same job was submitted again while it is being written.
        open->second->done.push_back(entry->done.front());
        open->second->give_up_at = std::max(open->second->give_up_at, entry->give_up_at);
        return;
    }
    if (m_store.failing()) {
        m_loop.after(Millis(0), m_lifetime.wrap([entry] {
            for (const WriteReply& done : entry->done)
                done({ WriteOutcome::refused });
        }));
        return;
    }
    m_open[entry->row.key] = entry;
    m_partitions[partition].waiting.push_back(std::move(entry));
    flush(partition);
}

void Acceptor::flush(const std::string& name)
{
    Partition& partition = m_partitions[name];
    if (partition.busy)
        return;
    expire_entries(partition);
    StoreWrite write;
    size_t bytes = 0;
    // After a rejected write its rows are written one by one, which shows the faulty one.
    const size_t max_jobs = partition.single_writes > 0 ? 1 : max_jobs_per_write;
    if (partition.single_writes > 0)
        --partition.single_writes;
    while (!partition.waiting.empty() && partition.in_flight.size() < max_jobs
           && bytes < max_transaction_bytes) {
        const EntryPtr entry = partition.waiting.front();
        partition.waiting.pop_front();
        partition.in_flight.push_back(entry);
        bytes += entry->value.size();
        write.checks.push_back({ entry->row, 0 });
        if (entry->is_job)
            write.checks.push_back({ closed_row(entry->id), 0 });
        write.puts.push_back({ entry->row, entry->value });
    }
    if (partition.in_flight.empty())
        return;
    partition.busy = true;
    if (!partition.writer)
        partition.writer = std::make_unique<StoreWriter>(m_loop, m_store);
    partition.writer->send(
        write, [this, name](const StoreResult& result) { answered(name, result); });
}

void Acceptor::answered(const std::string& name, const StoreResult& result)
{
    Partition& partition = m_partitions[name];
    partition.busy = false;
    std::vector<EntryPtr> sent;
    sent.swap(partition.in_flight);
    Millis pause(0);
    if (result.status == StoreStatus::ok) {
        for (const EntryPtr& entry : sent)
            finish(entry,
                   { WriteOutcome::written, result.version, WriteEvidence::answer,
                     entry->value, entry->workspace });
    } else {
        if (result.status == StoreStatus::refused)
            pause = refused_retry_delay;
        const bool rejected = result.status == StoreStatus::rejected;
        if (rejected)
            partition.single_writes = sent.size() > 1 ? sent.size() : 0;
        for (auto entry = sent.rbegin(); entry != sent.rend(); ++entry) {
            // Rows returned with the result are stored already; the others are sent again.
            const auto finished = outcome_from_rows(**entry, result);
            if (finished) {
                finish(*entry, *finished);
                continue;
            }
            if (rejected && sent.size() == 1) {
                log_event(LogLevel::error, "row_rejected",
                          { { "row", (*entry)->row.key },
                            { "bytes", static_cast<int64_t>((*entry)->value.size()) } });
                finish(*entry, { WriteOutcome::refused });
                continue;
            }
            if (result.status == StoreStatus::unknown)
                (*entry)->in_doubt = true;
            if (result.status == StoreStatus::refused && m_store.failing())
                (*entry)->give_up_at = m_loop.now();
            partition.waiting.push_front(*entry);
        }
    }
    if (pause == Millis(0)) {
        flush(name);
        return;
    }
    expire_entries(partition);
    m_loop.after(pause, m_lifetime.wrap([this, name] { flush(name); }));
}

void Acceptor::expire_entries(Partition& partition)
{
    const Millis now = m_loop.now();
    std::deque<EntryPtr> remaining;
    std::vector<EntryPtr> expired;
    for (const EntryPtr& entry : partition.waiting) {
        if (now < entry->give_up_at)
            remaining.push_back(entry);
        else
            expired.push_back(entry);
    }
    partition.waiting.swap(remaining);
    for (const EntryPtr& entry : expired)
        finish(entry, { entry->in_doubt ? WriteOutcome::in_doubt : WriteOutcome::refused });
}

// Returns the outcome if the rows of a result, from a conflict or from a read, show that
// nothing is left to write. The version of a closed job is 0: its row does not tell when
// the job was stored.
std::optional<WriteResult> Acceptor::outcome_from_rows(const Entry& entry,
                                                       const StoreResult& result)
{
    for (const StoredRow& row : result.rows) {
        if (row.version == 0)
            continue;
        if (row.id == entry.row)
            return WriteResult { WriteOutcome::written, row.version, WriteEvidence::row,
                                 row.value, workspace_of_job_row(row.value) };
        if (entry.is_job && row.id == closed_row(entry.id))
            return WriteResult { WriteOutcome::written,
                                 0,
                                 WriteEvidence::row,
                                 {},
                                 workspace_of_final_progress(row.value) };
    }
    return std::nullopt;
}

void Acceptor::finish(const EntryPtr& entry, const WriteResult& result)
{
    m_open.erase(entry->row.key);
    for (const WriteReply& done : entry->done)
        done(result);
}

} // namespace pathport::jobs
