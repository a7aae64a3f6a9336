// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Handling of peers' messages.

#include "job_node_impl.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

/// Time limit for a write on behalf of a peer.
constexpr Millis forwarded_write_time { 900 };
constexpr Millis advice_timeout { 5000 };
/// Time limit for a state query on behalf of a peer.
constexpr Millis state_query_time { 500 };
/// Minimum time between checks of the leader on behalf of nodes that ask whether this one
/// can claim: a hundred may ask at once.
constexpr Millis candidacy_check_interval { 100 };

} // namespace

void JobNode::Impl::handle_peer(const PeerRequest& request, PeerResponder done)
{
    answer_peer(request, m_gossip.receive(request, std::move(done)));
}

void JobNode::Impl::answer_peer(const PeerRequest& request, PeerResponder done)
{
    PeerAnswer answer;
    answer.node = m_setup.node;
    answer.epoch = m_leadership.epoch();
    answer.leads = m_scheduler != nullptr;
    switch (request.topic) {
    case PeerTopic::heartbeat:
        handle_heartbeat(request, answer);
        break;
    case PeerTopic::job_accepted:
        handle_job_accepted(request, answer);
        break;
    case PeerTopic::job_canceled:
        if (m_scheduler) {
            m_scheduler->job_canceled(request.job, "peer");
            answer.served = true;
        }
        break;
    case PeerTopic::job_state:
        handle_state(request, std::move(answer), std::move(done));
        return;
    case PeerTopic::queue_pending:
        if (m_scheduler) {
            const auto count = m_scheduler->pending_in(request.queue);
            answer.count = count.value_or(0);
            answer.served = count.has_value();
        }
        break;
    case PeerTopic::configuration:
        if (m_configuration.current())
            answer.row = encode(*m_configuration.current());
        answer.drains = *m_configuration.drains();
        answer.served = m_configuration.current() != nullptr;
        break;
    case PeerTopic::advice:
        handle_advice(request, std::move(done));
        return;
    case PeerTopic::accept_job:
    case PeerTopic::cancel_job:
        handle_accept(request, std::move(done));
        return;
    case PeerTopic::worker_calls:
        m_relay.handle(request, std::move(done));
        return;
    case PeerTopic::job_payload:
        handle_job_payload(request, answer);
        break;
    case PeerTopic::candidacy:
        handle_candidacy(answer);
        break;
    case PeerTopic::worker_list:
        m_list_reader.handle(request, std::move(answer), std::move(done));
        return;
    }
    done(std::move(answer));
}

void JobNode::Impl::handle_job_accepted(const PeerRequest& request, PeerAnswer& answer)
{
    Failure reason;
    const auto job = decode_accepted_job(request.job, request.row, reason);
    if (!m_scheduler || !job)
        return;
    m_relayed.note_acceptor(request.job, request.address);
    m_scheduler->job_announced(*job, request.version);
    answer.served = true;
}

void JobNode::Impl::handle_job_payload(const PeerRequest& request, PeerAnswer& answer) const
{
    const std::string* payload = m_payloads.find(request.job);
    answer.served = payload != nullptr;
    if (payload != nullptr)
        answer.row = *payload;
}

void JobNode::Impl::handle_heartbeat(const PeerRequest& request, PeerAnswer& answer)
{
    const Millis now = m_context.loop.now();
    answer.incarnation = m_setup.incarnation;
    answer.leader = m_leadership.leader().identity.address;
    answer.leader_incarnation = m_leadership.leader().identity.incarnation;
    answer.sent_ms = now.count();
    if (!m_scheduler) {
        if (request.resigned)
            m_leadership.leader_resigned(request.epoch);
        else if (request.leads)
            m_leadership.leader_announced(
                { request.epoch,
                  { request.node, request.address, request.incarnation,
                    request.cpu_millicores } });
        return;
    }
    answer.served = m_scheduler->log().served();
    if (request.resigned) {
        // It is shutting down, so it neither claims nor leads.
        m_followers.erase(request.address);
        m_unheard_peers.erase(request.address);
        refresh_relays();
    } else if (!request.leads) {
        note_follower(request);
    }
    answer.cpu_millicores = m_setup.cpu_millicores;
    answer.max_follower_millicores = m_followers.max_millicores();
    answer.candidates = m_candidates;
    answer.call_rate = static_cast<int64_t>(m_relayed.load().calls);
    answer.call_bytes_per_s = static_cast<int64_t>(m_relayed.load().bytes);
    answer.resigned = m_scheduler->resigned();
    answer.closed = m_scheduler->closed_queues();
    answer.limited = m_scheduler->limited_queues();
    answer.peers = m_peers.update_for(request.peers_hash);
}

// The asking node has found the leader gone, which this one may notice much later by
// itself.
void JobNode::Impl::handle_candidacy(PeerAnswer& answer)
{
    answer.incarnation = m_setup.incarnation;
    answer.leader = m_leadership.leader().identity.address;
    answer.leader_incarnation = m_leadership.leader().identity.incarnation;
    answer.served = m_leadership.may_claim() && !m_store.failing();
    const Millis now = m_context.loop.now();
    if (m_scheduler || now - m_leader_checked < candidacy_check_interval)
        return;
    m_leader_checked = now;
    // While the store counts as failing, a heartbeat would renew the promise not to claim.
    if (m_store.failing())
        m_store.check(m_lifetime.wrap([this] { m_leadership.heartbeat_now(); }));
    else
        m_leadership.heartbeat_now();
}

void JobNode::Impl::note_follower(const PeerRequest& request)
{
    Follower follower;
    follower.last_heard = m_context.loop.now();
    follower.node = request.node;
    follower.incarnation = request.incarnation;
    follower.store_served = request.store_served;
    // The heartbeat may have lain unread for as long as this leader is late.
    follower.store_served_at = follower.last_heard - Millis(request.store_served_ago_ms)
        - m_scheduler->log().lateness();
    follower.store_fails = request.store_fails;
    follower.store_call_time = Millis(request.store_call_ms);
    follower.cpu_millicores = request.cpu_millicores;
    follower.link_bytes_per_s = request.link_bytes_per_s;
    follower.promised_until
        = request.promises ? Millis(request.echo_ms) + promise_time : Millis(0);
    m_followers.note(request.address, follower);
    note_follower_served(follower);
    update_promises();
    consider_resigning();
}

// A leader that does not know the job reads the store, on behalf of a node that may be
// unable to.
void JobNode::Impl::handle_state(const PeerRequest& request, PeerAnswer answer,
                                 PeerResponder done)
{
    if (!m_scheduler) {
        done(std::move(answer));
        return;
    }
    query(request.job, m_context.loop.now(), state_query_time, request.caller,
          [answer = std::move(answer), done](ClientStatus status, JobState state) mutable {
              answer.served = true;
              answer.status = static_cast<int>(status);
              if (status == ClientStatus::ok)
                  answer.state = state;
              done(std::move(answer));
          });
}

void JobNode::Impl::handle_accept(const PeerRequest& request, PeerResponder done)
{
    const Millis give_up_at = m_context.loop.now() + forwarded_write_time;
    Failure reason;
    const auto job = request.topic == PeerTopic::accept_job
        ? decode_accepted_job(request.job, request.row, reason)
        : std::nullopt;
    const auto reply = [this, request, done](const WriteResult& result) {
        const WriteOutcome outcome = result.outcome;
        PeerAnswer answer;
        answer.node = m_setup.node;
        answer.epoch = m_leadership.epoch();
        answer.leads = m_scheduler != nullptr;
        answer.served = true;
        ClientStatus status = ClientStatus::in_doubt;
        if (outcome == WriteOutcome::written)
            status = request.topic == PeerTopic::accept_job
                ? accepted_status(request.job, result, request.caller)
                : ClientStatus::ok;
        if (outcome == WriteOutcome::refused)
            status = ClientStatus::refused;
        if (outcome == WriteOutcome::missing)
            status = ClientStatus::not_found;
        answer.status = static_cast<int>(status);
        done(answer);
        if (outcome == WriteOutcome::written && request.topic == PeerTopic::accept_job)
            accepted(request.job, result);
    };
    if (request.topic == PeerTopic::cancel_job) {
        record_cancel(request.job, request.caller, give_up_at, reply);
        return;
    }
    if (!job) {
        reply({ WriteOutcome::refused });
        return;
    }
    m_acceptor.accept(request.job, request.row, job->workspace, give_up_at, reply);
}

void JobNode::Impl::handle_advice(const PeerRequest& request, PeerResponder done)
{
    m_context.advisor.ask(
        request.job, request.workers, advice_timeout,
        [node = m_setup.node, done](std::optional<std::vector<WorkerTicket>> tickets) {
            PeerAnswer answer;
            answer.node = node;
            answer.served = tickets.has_value();
            if (tickets)
                answer.tickets = std::move(*tickets);
            done(std::move(answer));
        });
}

} // namespace pathport::jobs
