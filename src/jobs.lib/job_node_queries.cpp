// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Clients' queries, answered by the leader or from the rows in the store.

#include "job_node_impl.h"
#include "store_keys.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 600 };
/// Delay before a failed read of a job's state is retried.
constexpr Millis query_retry { 100 };

} // namespace

// A job that the caller may not see is reported as not found: a distinct answer would
// reveal that the id is in use.
void JobNode::Impl::query(const std::string& id, Millis received, Millis limit,
                          const callers::Caller& caller, StateReply done)
{
    const Millis deadline = received
        + (limit > Millis(0) ? std::max(Millis(100), limit - reply_margin)
                             : max_request_time);
    if (m_scheduler) {
        const auto state = m_scheduler->state_of(id);
        if (!state)
            query_store(id, deadline, caller, done);
        else if (caller.may_see(m_scheduler->workspace_of(id)))
            done(ClientStatus::ok, *state);
        else
            done(ClientStatus::not_found, JobState::pending);
        return;
    }
    const std::string leader = remote_leader();
    if (leader.empty() || !m_leadership.leader_responsive()) {
        query_store(id, deadline, caller, done);
        return;
    }
    PeerRequest request;
    request.topic = PeerTopic::job_state;
    request.node = m_setup.node;
    request.job = id;
    request.caller = caller;
    m_gossip.send(leader, request, leader_query_timeout,
                  m_lifetime.wrap([this, id, deadline, caller,
                                   done](PeerEnd end, const PeerAnswer& answer) {
                      const auto status = static_cast<ClientStatus>(answer.status);
                      const bool is_known = end == PeerEnd::answered && answer.served
                          && status != ClientStatus::unavailable;
                      if (is_known)
                          done(status, answer.state.value_or(JobState::pending));
                      else
                          query_store(id, deadline, caller, done);
                  }));
}

void JobNode::Impl::query_store(const std::string& id, Millis deadline,
                                const callers::Caller& caller, StateReply done)
{
    StoreRange range;
    range.table = jobs_table;
    range.partition = job_partition(id);
    range.from = id;
    range.to = id + "/"; // Above the cancellation's key.
    range.limit = 2;
    m_store.read(
        range, read_timeout,
        m_lifetime.wrap([this, id, deadline, caller, done](const StoreResult& result) {
            if (result.status == StoreStatus::ok) {
                read_state(id, caller, result.rows, done);
                return;
            }
            if (m_store.failing() || m_context.loop.now() + query_retry >= deadline) {
                done(ClientStatus::unavailable, JobState::pending);
                return;
            }
            m_context.loop.after(query_retry,
                                 m_lifetime.wrap([this, id, deadline, caller, done] {
                                     query_store(id, deadline, caller, done);
                                 }));
        }));
}

// `rows` holds the job's row and that of its cancellation, as far as they exist.
void JobNode::Impl::read_state(const std::string& id, const callers::Caller& caller,
                               const std::vector<StoredRow>& rows, StateReply done)
{
    const StoredRow* job = nullptr;
    bool canceled = false;
    for (const StoredRow& row : rows) {
        if (row.id.key == id)
            job = &row;
        canceled = canceled || row.id.key == id + cancel_suffix;
    }
    if (job == nullptr)
        query_closed(id, std::nullopt, caller, std::move(done));
    else if (caller.may_see(workspace_of_job_row(job->value)))
        query_progress(id, canceled, caller, std::move(done));
    else
        done(ClientStatus::not_found, JobState::pending);
}

// The job row is removed in the transaction that adds the row read here. `open_state` is
// the state to report if the job isn't closed; empty means that the job's row is missing.
void JobNode::Impl::query_closed(const std::string& id, std::optional<JobState> open_state,
                                 const callers::Caller& caller, StateReply done)
{
    StoreRange range;
    range.table = closed_table;
    range.partition = job_partition(id);
    range.from = id;
    range.to = id + "!";
    range.limit = 1;
    m_store.read(range, read_timeout,
                 m_lifetime.wrap([open_state, caller, done](const StoreResult& result) {
                     if (result.status != StoreStatus::ok) {
                         done(ClientStatus::unavailable, JobState::pending);
                         return;
                     }
                     if (result.rows.empty()) {
                         done(open_state ? ClientStatus::ok : ClientStatus::not_found,
                              open_state.value_or(JobState::pending));
                         return;
                     }
                     const std::string& row = result.rows.front().value;
                     if (!caller.may_see(workspace_of_final_progress(row))) {
                         done(ClientStatus::not_found, JobState::pending);
                         return;
                     }
                     const auto state = final_state_of_progress(row);
                     done(state ? ClientStatus::ok : ClientStatus::unavailable,
                          state.value_or(JobState::pending));
                 }));
}

// A job without a progress row has not started, or was archived after its row was read: the
// progress row is removed only after the row of the closed job was added.
void JobNode::Impl::query_progress(const std::string& id, bool canceled,
                                   const callers::Caller& caller, StateReply done)
{
    StoreRange range;
    range.table = progress_table;
    range.partition = scheduler_partition;
    range.from = id;
    range.to = id + "!";
    range.limit = 1;
    m_store.read(
        range, read_timeout,
        m_lifetime.wrap([this, id, canceled, caller, done](const StoreResult& result) {
            if (result.status != StoreStatus::ok) {
                done(ClientStatus::unavailable, JobState::pending);
                return;
            }
            if (result.rows.empty()) {
                query_closed(id, canceled ? JobState::canceled : JobState::pending, caller,
                             done);
                return;
            }
            const auto final_state = final_state_of_progress(result.rows.front().value);
            const JobState open_state = canceled ? JobState::canceled : JobState::active;
            done(ClientStatus::ok, final_state.value_or(open_state));
        }));
}

void JobNode::Impl::count_pending(const Queue& queue, Millis, Millis, CountReply done)
{
    if (m_scheduler) {
        const auto count = m_scheduler->pending_in(queue.name);
        done(count ? ClientStatus::ok : ClientStatus::unavailable, count.value_or(0));
        return;
    }
    const std::string leader = remote_leader();
    if (leader.empty()) {
        done(ClientStatus::unavailable, 0);
        return;
    }
    PeerRequest request;
    request.topic = PeerTopic::queue_pending;
    request.node = m_setup.node;
    request.queue = queue.name;
    m_gossip.send(leader, request, leader_query_timeout,
                  m_lifetime.wrap([done](PeerEnd end, const PeerAnswer& answer) {
                      const bool good = end == PeerEnd::answered && answer.served;
                      done(good ? ClientStatus::ok : ClientStatus::unavailable,
                           answer.count);
                  }));
}

} // namespace pathport::jobs
