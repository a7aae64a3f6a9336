// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Handling of clients' submissions and cancellations.

#include "call_evidence.h"
#include "job_node_impl.h"
#include "retry_delay.h"
#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis forward_timeout { 1500 };
/// Interval at which the leader is notified of a cancellation again, and total time for
/// which this is repeated: it spans a few changes of leader.
constexpr Millis notify_cancel_interval { 200 };
constexpr Millis notify_cancel_time { 15000 };
/// Validity of the leader's last list of closed queues: a few heartbeats.
constexpr Millis closed_queue_validity { shortage::max_forecast_age };
/// Time limit for checking whether a rejected job was accepted earlier.
constexpr Millis resubmission_check_time { 500 };

const char* to_string(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::written:
        return "written";
    case WriteOutcome::refused:
        return "refused";
    case WriteOutcome::in_doubt:
        return "in_doubt";
    case WriteOutcome::missing:
        break;
    }
    return "missing";
}

ClientStatus to_client(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::written:
        return ClientStatus::ok;
    case WriteOutcome::refused:
        return ClientStatus::refused;
    case WriteOutcome::in_doubt:
        return ClientStatus::in_doubt;
    case WriteOutcome::missing:
        break;
    }
    return ClientStatus::not_found;
}

} // namespace

void JobNode::Impl::record_call_metrics(const char* call, const char* outcome,
                                        Millis received)
{
    m_context.metrics.observe_seconds("pathport_client_call_seconds",
                                      double((m_context.loop.now() - received).count())
                                          / 1000,
                                      { { "call", call }, { "outcome", outcome } });
}

Millis JobNode::Impl::write_deadline(Millis received, Millis limit) const
{
    Millis span = max_request_time;
    if (limit > Millis(0))
        span = std::min(span, std::max(Millis(50), limit - reply_margin));
    return received + span;
}

std::string JobNode::Impl::remote_leader() const
{
    return m_scheduler ? std::string() : m_leadership.leader_address();
}

Millis JobNode::Impl::closed_queue_retry_after(const std::string& queue) const
{
    const bool known_recently
        = m_context.loop.now() - m_queue_lists_updated < closed_queue_validity;
    if (!m_scheduler && !known_recently)
        return Millis(0);
    const auto& closed = m_scheduler ? m_scheduler->closed_queues() : m_closed_queues;
    const auto found
        = std::find_if(closed.begin(), closed.end(),
                       [&](const ClosedQueue& entry) { return entry.queue == queue; });
    return found == closed.end() ? Millis(0) : found->retry_after;
}

Millis JobNode::Impl::retry_after_refusal(const Queue& queue, const JobSpec& spec,
                                          const std::string& id) const
{
    const Millis closed = closed_queue_retry_after(queue.name);
    const auto capacity = lacks_capacity(queue, spec);
    if (capacity && !m_store.failing())
        return std::max(closed, capacity->retry_after);
    const Millis delay = retry_delay(queue, spec, id, m_store.outage());
    return std::max({ delay, closed, capacity ? capacity->retry_after : Millis(0) });
}

// Returns the leader's forecast for the queue; zero if the queue is not limited.
shortage::KnownWait JobNode::Impl::known_wait(const std::string& queue) const
{
    shortage::KnownWait known;
    known.age = m_scheduler ? m_scheduler->limited_queues_age()
                            : m_context.loop.now() - m_queue_lists_updated;
    for (const LimitedQueue& entry :
         m_scheduler ? m_scheduler->limited_queues() : m_limited_queues) {
        if (entry.queue == queue)
            known.wait = entry.wait;
    }
    return known;
}

std::optional<JobNode::Impl::CapacityRefusal>
JobNode::Impl::lacks_capacity(const Queue& queue, const JobSpec& spec) const
{
    const shortage::KnownWait known = known_wait(queue.name);
    if (known.wait == Millis(0))
        return std::nullopt;
    const auto allowance = allowance_of(queue, spec);
    const auto delay = allowance ? capacity_refusal(known, *allowance) : std::nullopt;
    if (!delay)
        return std::nullopt;
    return CapacityRefusal { known, *allowance, *delay };
}

std::optional<JobNode::Impl::Rejection>
JobNode::Impl::rejection_of(const Queue& queue, const JobSpec& spec,
                            const std::string& workspace) const
{
    const Millis closed = closed_queue_retry_after(queue.name);
    if (exceeds_bound(spec, workspace)) {
        const ClientStatus answer
            = m_configuration.is_fresh() ? ClientStatus::over_bound : ClientStatus::refused;
        return Rejection { "bound", answer, closed };
    }
    if (closed > Millis(0))
        return Rejection { "advice", ClientStatus::refused, closed };
    if (auto capacity = lacks_capacity(queue, spec))
        return Rejection { "capacity", ClientStatus::refused, capacity->retry_after,
                           capacity };
    return std::nullopt;
}

// A job that the advisor can't decide about in time would stall while its client waits in
// vain. An earlier attempt whose reply was lost may have been accepted, so only a job that
// is not stored may be reported as never going to run.
void JobNode::Impl::reject_submission(const std::string& queue, const std::string& id,
                                      Millis received, const callers::Caller& caller,
                                      const Rejection& rejection, ClientReply done)
{
    query(id, received, resubmission_check_time, caller,
          [this, queue, id, received, workspace = caller.workspace(), rejection,
           done](ClientStatus status, JobState) {
              const bool accepted_before = status == ClientStatus::ok;
              // While it is unknown whether it was accepted before, the client may retry.
              const bool undetermined = status == ClientStatus::unavailable;
              const ClientStatus refusal
                  = undetermined ? ClientStatus::refused : rejection.answer;
              record_call_metrics(
                  "submit", accepted_before ? "taken_before" : "turned_away", received);
              note_rejection(queue, id, workspace, rejection, accepted_before);
              done(accepted_before ? ClientStatus::ok : refusal);
          });
}

void JobNode::Impl::note_rejection(const std::string& queue, const std::string& id,
                                   const std::string& workspace, const Rejection& rejection,
                                   bool accepted_before)
{
    if (!accepted_before)
        m_context.metrics.count("pathport_jobs_turned_away_total",
                                { { "queue", queue }, { "reason", rejection.reason } });
    std::vector<LogField> fields { { "job", id },
                                   { "queue", queue },
                                   { "workspace", workspace },
                                   { "reason", rejection.reason },
                                   { "taken_before", accepted_before ? "yes" : "no" },
                                   { "come_back_ms", rejection.retry_after.count() } };
    if (rejection.capacity) {
        const auto& [known, allowance, delay] = *rejection.capacity;
        fields.push_back({ "wait_ms", known.wait.count() });
        fields.push_back({ "age_ms", known.age.count() });
        fields.push_back({ "slack_ms", static_cast<int64_t>(allowance.slack_ms) });
    }
    log_event(LogLevel::info, "job_turned_away", fields);
}

callers::CallerCheck JobNode::Impl::check_caller(const Configuration& configuration,
                                                 const Queue& queue,
                                                 const callers::PresentedKey& key)
{
    const bool fresh = m_configuration.is_fresh();
    callers::CallerCheck check
        = callers::check_caller(configuration.workspaces, queue.is_public, key, fresh);
    if (check.verdict == callers::CallerVerdict::admitted)
        return check;
    const bool denied = check.verdict == callers::CallerVerdict::denied;
    log_event(LogLevel::warn, denied ? "caller_denied" : "caller_undecided",
              { { "queue", queue.name },
                { "key", key.text() ? "unknown" : "none" },
                { "config", configuration.version },
                { "age_ms", m_configuration.age().count() } });
    m_context.metrics.count("pathport_callers_turned_away_total",
                            { { "verdict", denied ? "denied" : "undecided" } });
    return check;
}

// Returns whether a task or a gang needs more at once than its workspace's bound, so that
// it could never start.
bool JobNode::Impl::exceeds_bound(const JobSpec& spec, const std::string& workspace) const
{
    const auto current = configuration();
    const callers::Workspace* known
        = current && current->workspaces ? current->workspaces->find(workspace) : nullptr;
    if (known == nullptr)
        return false;
    return std::any_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
        const int at_once = step.gang ? step.count : 1;
        return callers::tasks_that_fit(step.need, known->bound, known->bound, at_once)
            < at_once;
    });
}

void JobNode::Impl::submit(const Queue& queue, const std::string& id, const JobSpec& spec,
                           Millis received, Millis limit, const callers::Caller& caller,
                           ClientReply done)
{
    if (const auto rejection = rejection_of(queue, spec, caller.workspace())) {
        reject_submission(queue.name, id, received, caller, *rejection, std::move(done));
        return;
    }
    AcceptedJob job;
    job.id = id;
    job.queue = queue;
    job.workspace = caller.workspace();
    job.spec = spec;
    job.accepted_ms = m_store.clock_ms();
    const std::string row = encode(job);
    const int64_t config_version = m_configuration.version();
    const auto written = [this, id, row, received, config_version, name = queue.name,
                          caller, done](const WriteResult& result) {
        const WriteOutcome outcome = result.outcome;
        record_call_metrics("submit", to_string(outcome), received);
        log_event(LogLevel::info, "job_submitted",
                  { { "job", id },
                    { "queue", name },
                    { "workspace", caller.workspace() },
                    { "config", config_version },
                    { "store", m_store.failing() ? "away" : "serves" },
                    { "outcome", to_string(outcome) },
                    { "evidence", to_string(result.evidence) },
                    { "version", result.version },
                    { "after_ms", (m_context.loop.now() - received).count() } });
        if (outcome == WriteOutcome::written) {
            done(accepted_status(id, result, caller));
            accepted(id, result);
            return;
        }
        PeerRequest request;
        request.topic = PeerTopic::accept_job;
        request.job = id;
        request.row = row;
        request.caller = caller;
        forward_write(std::move(request), outcome, done);
    };
    m_acceptor.accept(id, row, job.workspace, write_deadline(received, limit), written);
}

// Job ids are unique in the whole cell, since workers know tasks by them: a job that
// another workspace submitted under the id never becomes this caller's. A job that the
// caller may see is its own resubmission, also if the queue was public or callers were not
// distinguished at the time.
ClientStatus JobNode::Impl::accepted_status(const std::string& id,
                                            const WriteResult& written,
                                            const callers::Caller& caller)
{
    if (caller.may_see(written.workspace))
        return ClientStatus::ok;
    log_event(LogLevel::warn, "job_id_taken",
              { { "job", id }, { "workspace", caller.workspace() } });
    return ClientStatus::id_taken;
}

// Notifies the leader at once by a message; otherwise it soon reads the job from the store.
// The message has the stored row, which may differ from the one submitted to this node.
void JobNode::Impl::accepted(const std::string& id, const WriteResult& written)
{
    Failure reason;
    const auto job = decode_accepted_job(id, written.row, reason);
    if (!job)
        return;
    m_payloads.put(id, job->spec.payload);
    if (m_scheduler) {
        m_relayed.note_acceptor(id, m_setup.peer_address);
        m_scheduler->job_announced(*job, written.version);
        return;
    }
    const std::string leader = remote_leader();
    if (leader.empty())
        return;
    PeerRequest notice;
    notice.topic = PeerTopic::job_accepted;
    notice.node = m_setup.node;
    notice.address = m_setup.peer_address;
    notice.job = id;
    notice.row = written.row;
    notice.version = written.version;
    m_gossip.send(leader, notice, leader_query_timeout, [](PeerEnd, const PeerAnswer&) {});
}

// Forwards a write that the store did not accept from this node to the leader, from which
// the store may accept it.
void JobNode::Impl::forward_write(PeerRequest request, WriteOutcome own_outcome,
                                  ClientReply done)
{
    const std::string leader = remote_leader();
    if (leader.empty() || own_outcome == WriteOutcome::missing
        || !m_leadership.leader_responsive() || !m_leader_served) {
        done(to_client(own_outcome));
        return;
    }
    request.node = m_setup.node;
    m_gossip.send(leader, request, forward_timeout,
                  m_lifetime.wrap([this, id = request.job, own_outcome,
                                   done](PeerEnd end, const PeerAnswer& answer) {
                      ClientStatus status = ClientStatus::in_doubt;
                      if (effect_of(end) == CallEffect::none)
                          status = to_client(own_outcome);
                      if (end == PeerEnd::answered && answer.served)
                          status = static_cast<ClientStatus>(answer.status);
                      // This node's own write may still take effect.
                      if (status == ClientStatus::refused
                          && own_outcome == WriteOutcome::in_doubt)
                          status = ClientStatus::in_doubt;
                      log_event(LogLevel::info, "write_forwarded",
                                { { "job", id }, { "status", static_cast<int>(status) } });
                      done(status);
                  }));
}

void JobNode::Impl::record_cancel(const std::string& id, const callers::Caller& caller,
                                  Millis give_up_at, WriteReply done)
{
    m_acceptor.cancel(id, caller, give_up_at, [this, id, done](const WriteResult& result) {
        if (result.outcome == WriteOutcome::written && m_scheduler)
            m_scheduler->job_canceled(id, "own");
        done(result);
    });
}

void JobNode::Impl::cancel(const std::string& id, Millis received, Millis limit,
                           const callers::Caller& caller, ClientReply done)
{
    record_cancel(id, caller, write_deadline(received, limit),
                  [this, id, caller, received, done](const WriteResult& result) {
                      const WriteOutcome outcome = result.outcome;
                      record_call_metrics("cancel", to_string(outcome), received);
                      log_event(
                          LogLevel::info, "cancel_recorded",
                          { { "job", id },
                            { "outcome", to_string(outcome) },
                            { "after_ms", (m_context.loop.now() - received).count() } });
                      if (outcome != WriteOutcome::written) {
                          PeerRequest request;
                          request.topic = PeerTopic::cancel_job;
                          request.job = id;
                          request.caller = caller;
                          forward_write(std::move(request), outcome, done);
                          return;
                      }
                      done(ClientStatus::ok);
                      notify_cancel(id, m_context.loop.now() + notify_cancel_time);
                  });
}

// Notifies the leader at once by a message, repeated until a leader has accepted it: a node
// that is about to become the leader declines it, and a leader whose feed is behind may
// read the cancellation many seconds later, while the job's tasks keep running.
void JobNode::Impl::notify_cancel(const std::string& id, Millis until)
{
    if (m_scheduler) {
        m_scheduler->job_canceled(id, "own");
        return;
    }
    const std::string leader = remote_leader();
    if (leader.empty()) {
        retry_notify_cancel(id, until);
        return;
    }
    PeerRequest notice;
    notice.topic = PeerTopic::job_canceled;
    notice.node = m_setup.node;
    notice.job = id;
    m_gossip.send(
        leader, notice, leader_query_timeout,
        m_lifetime.wrap([this, id, leader, until](PeerEnd end, const PeerAnswer& answer) {
            if (end == PeerEnd::answered && answer.served)
                return;
            log_event(LogLevel::info, "cancel_not_told",
                      { { "job", id },
                        { "leader", leader },
                        { "outcome",
                          end == PeerEnd::answered      ? "declined"
                              : end == PeerEnd::refused ? "refused"
                                                        : "silent" } });
            retry_notify_cancel(id, until);
        }));
}

void JobNode::Impl::retry_notify_cancel(const std::string& id, Millis until)
{
    if (m_context.loop.now() + notify_cancel_interval >= until)
        return;
    m_context.loop.after(notify_cancel_interval,
                         m_lifetime.wrap([this, id, until] { notify_cancel(id, until); }));
}

} // namespace pathport::jobs
