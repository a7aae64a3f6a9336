// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/jobs/worker_list_feed.h>

#include <utility>

namespace pathport::jobs {

WorkerListFeed::WorkerListFeed(JobStore& store, std::string table, Parser parse)
    : m_store(store)
    , m_table(std::move(table))
    , m_parse(std::move(parse))
{
}

void WorkerListFeed::read(Millis timeout, Reply done)
{
    if (m_version == 0) {
        read_all(timeout, std::move(done));
        return;
    }
    m_store.watch(m_table, m_version, Millis(0),
                  [this, timeout, done = std::move(done)](const StoreResult& result) {
                      changes_received(result, timeout, done);
                  });
}

// Answers may overtake each other. One that ends before the list's version holds nothing
// new; of the others, the changes that the list includes are skipped: to apply the removal
// and the earlier entry of a worker in the wrong order would list it again.
void WorkerListFeed::changes_received(const StoreResult& result, Millis timeout,
                                      const Reply& done)
{
    if (result.status == StoreStatus::history_lost) {
        read_all(timeout, done);
        return;
    }
    if (result.status == StoreStatus::ok && result.version > m_version) {
        for (const StoredRow& row : result.rows) {
            if (row.version > m_version && row.id.partition.empty())
                apply(row);
        }
        m_version = result.version;
    }
    answer(result.status, done);
}

void WorkerListFeed::apply(const StoredRow& row)
{
    auto worker = row.removed ? std::nullopt : m_parse(row);
    if (worker)
        m_workers[row.id.key] = std::move(*worker);
    else
        m_workers.erase(row.id.key);
}

void WorkerListFeed::read_all(Millis timeout, Reply done)
{
    auto read = std::make_shared<FullRead>();
    read->timeout = timeout;
    read->done = std::move(done);
    read_page("", read);
}

void WorkerListFeed::read_page(const std::string& from,
                               const std::shared_ptr<FullRead>& read)
{
    StoreRange range;
    range.table = m_table;
    range.from = from;
    m_store.read(range, read->timeout,
                 [this, read](const StoreResult& result) { page_received(result, read); });
}

void WorkerListFeed::page_received(const StoreResult& result,
                                   const std::shared_ptr<FullRead>& read)
{
    if (result.status != StoreStatus::ok) {
        answer(result.status, read->done);
        return;
    }
    if (read->version == 0)
        read->version = result.version;
    for (const StoredRow& row : result.rows) {
        if (auto worker = m_parse(row))
            read->workers[row.id.key] = std::move(*worker);
    }
    if (result.more && !result.rows.empty()) {
        read_page(result.rows.back().id.key + "!", read);
        return;
    }
    if (read->version > m_version) {
        m_workers = std::move(read->workers);
        m_version = read->version;
    }
    answer(StoreStatus::ok, read->done);
}

void WorkerListFeed::answer(StoreStatus status, const Reply& done) const
{
    Answer answer;
    answer.status = status;
    if (status == StoreStatus::ok) {
        answer.version = m_version;
        answer.value.emplace();
        answer.value->reserve(m_workers.size());
        for (const auto& [key, worker] : m_workers)
            answer.value->push_back(worker);
    }
    done(std::move(answer));
}

} // namespace pathport::jobs
