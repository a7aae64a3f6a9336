// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "acceptor.h"

#include "store_keys.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 600 };
/// Pause after a write that the store refused.
constexpr Millis refused_pause { 80 };
/// Each row takes a check and a put.
constexpr size_t most_rows = max_transaction_entries / 2;

} // namespace

Acceptor::Acceptor(EventLoop& loop, StoreHealth& store)
    : m_loop(loop)
    , m_store(store)
{
}

void Acceptor::accept(const std::string& id, const std::string& row, Millis give_up,
                      WriteReply done)
{
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->row = job_row(id);
    entry->value = row;
    entry->give_up = give_up;
    entry->done.push_back(std::move(done));
    add(job_part(id), std::move(entry));
}

void Acceptor::cancel(const std::string& id, Millis give_up, WriteReply done)
{
    look_up(id, give_up, [this, id, give_up, done](WriteOutcome found) {
        if (found != WriteOutcome::written) {
            done(found);
            return;
        }
        auto entry = std::make_shared<Entry>();
        entry->id = id;
        entry->row = cancel_row(id);
        entry->value = "1";
        entry->give_up = give_up;
        entry->done.push_back(done);
        add(job_part(id), std::move(entry));
    });
}

// Says `written` if the job's row is there.
void Acceptor::look_up(const std::string& id, Millis give_up, WriteReply done)
{
    StoreRange range;
    range.table = jobs_table;
    range.part = job_part(id);
    range.from = id;
    range.to = id + "!";
    range.limit = 1;
    m_store.read(range, read_timeout,
                 m_lifetime.wrap([this, id, give_up, done](const StoreResult& result) {
                     if (result.status == StoreStatus::ok) {
                         done(result.rows.empty() ? WriteOutcome::missing
                                                  : WriteOutcome::written);
                         return;
                     }
                     if (m_loop.now() >= give_up || m_store.failing()) {
                         done(WriteOutcome::refused);
                         return;
                     }
                     m_loop.after(refused_pause, m_lifetime.wrap([this, id, give_up, done] {
                         look_up(id, give_up, done);
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
                done(WriteOutcome::refused);
        }));
        return;
    }
    m_open[entry->row.key] = entry;
    m_parts[part].waiting.push_back(std::move(entry));
    flush(part);
}

void Acceptor::flush(const std::string& name)
{
    Part& part = m_parts[name];
    if (part.busy)
        return;
    give_up_late(part);
    StoreWrite write;
    size_t bytes = 0;
    while (!part.waiting.empty() && part.under_way.size() < most_rows
           && bytes < max_transaction_bytes) {
        const EntryPtr entry = part.waiting.front();
        part.waiting.pop_front();
        part.under_way.push_back(entry);
        bytes += entry->value.size();
        write.checks.push_back({ entry->row, 0 });
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
    Part& part = m_parts[name];
    part.busy = false;
    std::vector<EntryPtr> sent;
    sent.swap(part.under_way);
    Millis pause(0);
    if (result.status == StoreStatus::ok) {
        for (const EntryPtr& entry : sent)
            finish(entry, WriteOutcome::written);
    } else {
        if (result.status == StoreStatus::refused)
            pause = refused_pause;
        for (auto entry = sent.rbegin(); entry != sent.rend(); ++entry) {
            // A conflict tells which rows are there already; the others go out again.
            const bool there = result.status == StoreStatus::conflict
                && std::any_of(result.rows.begin(), result.rows.end(),
                               [&](const StoredRow& row) {
                                   return row.id == (*entry)->row && row.version > 0;
                               });
            if (there) {
                finish(*entry, WriteOutcome::written);
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
    give_up_late(part);
    m_loop.after(pause, m_lifetime.wrap([this, name] { flush(name); }));
}

void Acceptor::give_up_late(Part& part)
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
        finish(entry, entry->in_doubt ? WriteOutcome::in_doubt : WriteOutcome::refused);
}

void Acceptor::finish(const EntryPtr& entry, WriteOutcome outcome)
{
    m_open.erase(entry->row.key);
    for (const WriteReply& done : entry->done)
        done(outcome);
}

} // namespace pathport::jobs
