// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "relayed_directory.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

/// Time for the message to the reading node and back, beyond the time for reading.
constexpr Millis reader_margin { 300 };
/// Time-out for a page of the list.
constexpr Millis page_timeout { 1500 };
/// For this time after a failure of the reading node, this node reads the list itself.
constexpr Millis reader_pause { 3000 };
/// Upper bound of first version numbers, which are random so that those of one process are
/// not taken for those of another.
constexpr uint64_t first_version_bound = uint64_t(1) << 40;

} // namespace

RelayedDirectory::RelayedDirectory(EventLoop& loop, Directory& direct, PeerClient& peers,
                                   PeerRequest message, std::function<std::string()> reader)
    : m_loop(loop)
    , m_direct(direct)
    , m_peers(peers)
    , m_message_template(std::move(message))
    , m_reader(std::move(reader))
{
    m_message_template.topic = PeerTopic::worker_list;
}

void RelayedDirectory::read_workers(
    Millis timeout, std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)> done)
{
    const std::string reader = m_reader();
    if (reader.empty() || m_loop.now() < m_avoid_until) {
        m_direct.read_workers(timeout, std::move(done));
        return;
    }
    PeerRequest request = m_message_template;
    request.version = reader == m_list_source ? m_list_version : 0;
    m_peers.send(reader, request, timeout + reader_margin,
                 m_lifetime.wrap([this, reader, timeout, done = std::move(done)](
                                     PeerEnd end, const PeerAnswer& answer) {
                     changes_received(reader, end, answer, timeout, done);
                 }));
}

void RelayedDirectory::changes_received(
    const std::string& reader, PeerEnd end, const PeerAnswer& answer, Millis timeout,
    const std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)>& done)
{
    const auto changes = end == PeerEnd::answered && answer.served
        ? decode_worker_list_changes(answer.row)
        : std::nullopt;
    // Changes are relative to the list that this node has, or hold the full list.
    const bool fits = changes && (changes->full || reader == m_list_source);
    if (!fits) {
        log_event(LogLevel::warn, "worker_list_not_told",
                  { { "reader", reader },
                    { "answered", end == PeerEnd::answered ? "yes" : "no" } });
        m_avoid_until = m_loop.now() + reader_pause;
        m_list_version = 0;
        m_direct.read_workers(timeout, done);
        return;
    }
    m_list_source = reader;
    m_list_version = answer.count;
    apply(*changes, m_list);
    DirectoryAnswer<std::vector<WorkerInfo>> list_answer;
    list_answer.status = StoreStatus::ok;
    list_answer.value.emplace();
    list_answer.value->reserve(m_list.size());
    for (const auto& [id, worker] : m_list)
        list_answer.value->push_back(worker);
    done(std::move(list_answer));
}

void RelayedDirectory::read_configuration(Millis timeout,
                                          std::function<void(OperatorAnswer)> done)
{
    m_direct.read_configuration(timeout, std::move(done));
}

void RelayedDirectory::watch_configuration(int64_t version, Millis wait,
                                           std::function<void(OperatorAnswer)> done)
{
    m_direct.watch_configuration(version, wait, std::move(done));
}

WorkerListReader::WorkerListReader(EventLoop& loop, Directory& directory)
    : m_directory(directory)
    , m_version(static_cast<int64_t>(loop.random() % first_version_bound))
{
}

void WorkerListReader::handle(const PeerRequest& request, PeerAnswer answer,
                              PeerResponder done)
{
    m_directory.read_workers(
        page_timeout,
        m_lifetime.wrap([this, request, answer = std::move(answer), done = std::move(done)](
                            const DirectoryAnswer<std::vector<WorkerInfo>>& read) {
            list_received(request, answer, read, done);
        }));
}

void WorkerListReader::list_received(const PeerRequest& request, PeerAnswer answer,
                                     const DirectoryAnswer<std::vector<WorkerInfo>>& read,
                                     const PeerResponder& done)
{
    answer.served = read.status == StoreStatus::ok && read.value.has_value();
    if (!answer.served) {
        done(std::move(answer));
        return;
    }
    WorkersById now;
    for (const WorkerInfo& worker : *read.value)
        now[worker.id] = worker;
    const bool is_incremental = request.version != 0 && request.version == m_version
        && request.incarnation == m_leader;
    WorkerListChanges changes
        = changes_between(is_incremental ? m_last_sent : WorkersById(), now);
    changes.full = !is_incremental;
    m_leader = request.incarnation;
    m_last_sent = std::move(now);
    ++m_version;
    answer.count = m_version;
    answer.row = encode(changes);
    done(std::move(answer));
}

} // namespace pathport::jobs
