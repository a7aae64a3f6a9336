// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "acceptor.h"

#include "job_record.h"
#include "store_keys.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 600 };
/// Pause after a write that the store refused.
constexpr Millis refused_pause { 80 };
/// Each job takes a put and two checks.
constexpr size_t most_rows = max_transaction_entries / 3;

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
                      const std::string& workspace, Millis give_up, WriteReply done)
{
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->row = job_row(id);
    entry->is_job = true;
    entry->value = row;
    entry->workspace = workspace;
    entry->give_up = give_up;
    entry->done.push_back(std::move(done));
    add(job_partition(id), std::move(entry));
}

// A job that is closed needs no cancellation.
void Acceptor::cancel(const std::string& id, const callers::Caller& caller, Millis give_up,
                      WriteReply done)
{
    const auto from_open
        = [this, id, caller, give_up, done](Presence job, const std::string& owner) {
              if (job == Presence::undetermined) {
                  done({ WriteOutcome::refused });
                  return;
              }
              if (job == Presence::open && !caller.may_see(owner)) {
                  done({ WriteOutcome::missing });
                  return;
              }
              if (job == Presence::open) {
                  record_cancel(id, give_up, done);
                  return;
              }
              look_up(closed_row(id), give_up,
                      [caller, done](Presence closed, const std::string& of) {
                          WriteResult result { WriteOutcome::written };
                          if (closed == Presence::missing || !caller.may_see(of))
                              result.outcome = WriteOutcome::missing;
                          if (closed == Presence::undetermined)
                              result.outcome = WriteOutcome::refused;
                          done(result);
                      });
          };
    look_up(job_row(id), give_up, from_open);
}

void Acceptor::record_cancel(const std::string& id, Millis give_up, WriteReply done)
{
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->row = cancel_row(id);
    entry->value = "1";
    entry->give_up = give_up;
    entry->done.push_back(std::move(done));
    add(job_partition(id), std::move(entry));
}

// Says whether the row is there, trying until `give_up`.
void Acceptor::look_up(const RowKey& row, Millis give_up, LookUpReply done)
{
    StoreRange range;
    range.table = row.table;
    range.partition = row.partition;
    range.from = row.key;
    range.to = row.key + "!";
    range.limit = 1;
    m_store.read(range, read_timeout,
                 m_lifetime.wrap([this, row, give_up, done](const StoreResult& result) {
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
                     if (m_loop.now() >= give_up || m_store.failing()) {
                         done(Presence::undetermined, "");
                         return;
                     }
                     m_loop.after(refused_pause,
                                  m_lifetime.wrap([this, row, give_up, done] {
                                      look_up(row, give_up, done);
                                  }));
                 }));
}

void Acceptor::add(const std::string& part, EntryPtr entry)
{
    const auto open = m_open.find(entry->row.key);
    if (open != m_open.end()) {
        // The same job came again while it is being written.
        open->second->done.push_back(entry->done.front());
        open->second->give_up = std::max(open->second->give_up, entry->give_up);
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
    m_partitions[part].waiting.push_back(std::move(entry));
    flush(part);
}

void Acceptor::flush(const std::string& name)
{
    Partition& part = m_partitions[name];
    if (part.busy)
        return;
    expire_entries(part);
    StoreWrite write;
    size_t bytes = 0;
    while (!part.waiting.empty() && part.under_way.size() < most_rows
           && bytes < max_transaction_bytes) {
        const EntryPtr entry = part.waiting.front();
        part.waiting.pop_front();
        part.under_way.push_back(entry);
        bytes += entry->value.size();
        write.checks.push_back({ entry->row, 0 });
        if (entry->is_job)
            write.checks.push_back({ closed_row(entry->id), 0 });
        write.puts.push_back({ entry->row, entry->value });
    }
    if (part.under_way.empty())
        return;
    part.busy = true;
    if (!part.writer)
        part.writer = std::make_unique<StoreWriter>(m_loop, m_store);
    part.writer->send(write,
                      [this, name](const StoreResult& result) { answered(name, result); });
}

void Acceptor::answered(const std::string& name, const StoreResult& result)
{
    Partition& part = m_partitions[name];
    part.busy = false;
    std::vector<EntryPtr> sent;
    sent.swap(part.under_way);
    Millis pause(0);
    if (result.status == StoreStatus::ok) {
        for (const EntryPtr& entry : sent)
            finish(entry,
                   { WriteOutcome::written, result.version, WriteEvidence::answer,
                     entry->value, entry->workspace });
    } else {
        if (result.status == StoreStatus::refused)
            pause = refused_pause;
        for (auto entry = sent.rbegin(); entry != sent.rend(); ++entry) {
            // Rows that came with the result are there already; the others go out again.
            const auto finished = outcome_from_rows(**entry, result);
            if (finished) {
                finish(*entry, *finished);
                continue;
            }
            if (result.status == StoreStatus::unknown)
                (*entry)->in_doubt = true;
            if (result.status == StoreStatus::refused && m_store.failing())
                (*entry)->give_up = m_loop.now();
            part.waiting.push_front(*entry);
        }
    }
    if (pause == Millis(0)) {
        flush(name);
        return;
    }
    expire_entries(part);
    m_loop.after(pause, m_lifetime.wrap([this, name] { flush(name); }));
}

void Acceptor::expire_entries(Partition& part)
{
    const Millis now = m_loop.now();
    std::deque<EntryPtr> kept;
    std::vector<EntryPtr> late;
    for (const EntryPtr& entry : part.waiting) {
        if (now < entry->give_up)
            kept.push_back(entry);
        else
            late.push_back(entry);
    }
    part.waiting.swap(kept);
    for (const EntryPtr& entry : late)
        finish(entry, { entry->in_doubt ? WriteOutcome::in_doubt : WriteOutcome::refused });
}

// Returns the outcome if the rows of a result, those that a conflict names or one that was
// read, show that there is nothing left to write. A closed job's version is left at 0: it
// says nothing about when the job came.
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
