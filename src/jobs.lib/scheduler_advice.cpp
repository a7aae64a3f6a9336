// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Advisor queries: which workers a step may use. A query is sent only when it helps to
/// place tasks, since queries are expensive and tickets expire. A worker that was allowed
/// stays allowed; only its ticket expires. Refused workers are asked about again when a
/// step finds no capacity without them.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

/// A ticket is not used in the last part of its validity.
constexpr Millis ticket_margin { 250 };
/// Delay after a query without an answer.
constexpr Millis no_answer_delay { 150 };
/// Delay after an answer without any new verdict.
constexpr Millis no_news_delay { 120 };
/// The delay doubles with each further such answer, at most this many times (up to about 2
/// s), so that steps with futile queries leave the advisor to the others.
constexpr int max_delay_doublings = 4;
/// A refused worker may be asked about again after this time, which doubles with each
/// further refusal: verdicts are lasting, but the advisor may have been unaware of a worker
/// for a moment. The platform's tickets, valid for 2 s, have expired twice by then.
constexpr Millis refusal_retry_delay { 5000 };
/// The time doubles at most this many times (up to 80 s).
constexpr int max_refusal_doublings = 4;
/// After its tickets have arrived, a gang keeps its workers reserved for this long, beyond
/// the time that the tasks there take to stop.
constexpr Millis reservation_after_answer { 100 };
/// Delay after finding no worker worth a query.
constexpr Millis no_candidate_delay { 30 };
/// A query is only composed when it can be sent soon: otherwise the free capacity it is
/// based on is outdated, and the step that is most urgent at that moment should be the one
/// to ask. This many queries of each queue may wait, so that no caller idles.
constexpr size_t max_waiting_per_queue = 2;
/// Number of workers in one query. A gang needs capacity on many workers at once, and its
/// start deadline allows for a query about thirty. Non-urgent steps ask about so many that
/// these add half of the decision time: verdicts are lasting, and a second query would take
/// the decision time again.
constexpr int min_asked = 10;
constexpr int min_asked_for_gang = 30;
constexpr double worker_share_of_decision = 0.5;
constexpr double share_learning_rate = 0.1;
constexpr double cost_learning_rate = 0.1;

} // namespace

// Returns how long the advisor takes for a query about as many workers as one may name.
Millis Scheduler::longest_answer_time(const JobRecord& job)
{
    const AdviceRule& rule = *job.accepted().queue.advice;
    return Millis(
        static_cast<int64_t>(rule.decision_ms + rule.per_worker_ms * double(max_asked)));
}

int Scheduler::min_workers_to_ask(const JobRecord& job, const Step& step)
{
    const Queue& queue = job.accepted().queue;
    if (step.spec->gang)
        return min_asked_for_gang;
    if (queue.priority == 0 || queue.advice->per_worker_ms <= 0)
        return min_asked;
    const double named = worker_share_of_decision * queue.advice->decision_ms
        / queue.advice->per_worker_ms;
    return std::clamp(static_cast<int>(named), min_asked, int(max_asked));
}

// Asks about workers whose verdict is unknown or may have changed, so many that those
// allowed should suffice.
void Scheduler::ask_about(const JobRecord& job, Step& step, int needed,
                          const WorkerCandidates& found,
                          std::vector<WorkerCandidate> unknown)
{
    if (hold_back_if_full(job, step))
        return;
    if (step.spec->gang)
        std::sort(unknown.begin(), unknown.end(), is_better_candidate);
    QueryPlan plan = query_plan(job, step, needed, found);
    size_t chosen = 0;
    while (chosen < unknown.size() && !plan.complete()) {
        plan.add(unknown[chosen].fit, unknown[chosen].potential_fit);
        ++chosen;
    }
    unknown.resize(chosen);
    ask(job, step, worker_numbers(unknown));
}

// For tasks that need not start together: asks again about allowed workers if they have
// capacity for some of the tasks, otherwise about further workers, and finally about
// refused ones.
void Scheduler::ask_for_independent(const JobRecord& job, Step& step, int needed)
{
    if (step.advice.asking() || m_pass_begun < step.advice.retry_at) {
        step.advice.held_back = false;
        return;
    }
    if (hold_back_if_full(job, step))
        return;
    WorkerCandidates found = worker_candidates(job, step, needed);
    bool first_query = step.advice.workers.empty();
    // While other queries are about all free capacity, a step that can't be in time leaves
    // the advisor to those that can.
    if (first_query && !m_claims.empty() && !any_fit(found.unasked) && is_late(job)
        && !asks_regardless(step))
        first_query = false;
    if (found.preferred_fit < needed && (first_query || any_fit(found.unasked))) {
        ask_about(job, step, needed, found, found.unasked);
        return;
    }
    if (found.preferred_fit == 0 && any_fit(found.refused)) {
        // The same answer renews the tickets for the second choices.
        std::vector<WorkerCandidate> both = found.allowed;
        both.insert(both.end(), found.refused.begin(), found.refused.end());
        ask_about(job, step, needed, found, both);
        return;
    }
    if (preempt_for_independent(job, step, found, needed))
        return;
    constexpr int spare = 2;
    size_t used = 0;
    int fit = 0;
    while (used < found.allowed.size() && fit < needed + spare
           && found.allowed[used].fit > 0)
        fit += found.allowed[used++].fit;
    found.allowed.resize(used);
    ask(job, step, worker_numbers(found.allowed));
}

// Queries of the most urgent queue are quick and always sent.
int Scheduler::free_query_places(const Queue& queue) const
{
    if (queue.priority == 0)
        return std::numeric_limits<int>::max();
    const size_t waiting = m_context.advice.waiting_of(queue.name);
    return static_cast<int>(max_waiting_per_queue)
        - static_cast<int>(std::min(waiting, max_waiting_per_queue));
}

// Returns whether the step may not ask now, since enough queries of its queue wait.
bool Scheduler::hold_back_if_full(const JobRecord& job, Step& step) const
{
    step.advice.held_back
        = free_query_places(job.accepted().queue) == 0 && !asks_regardless(step);
    return step.advice.held_back;
}

bool Scheduler::is_late(const JobRecord& job) const
{
    return slack_ms(*m_jobs.at(job.id()), m_context.store_clock_ms()) < 0;
}

void Scheduler::note_query_cost(const AdviceQuery& query)
{
    const double cost = query.advisor_ms();
    double& smoothed = m_query_ms.try_emplace(query.queue, cost).first->second;
    smoothed += cost_learning_rate * (cost - smoothed);
}

// Asks about these workers. For a gang, more than one query may name are divided into equal
// parts and all queries are sent at once: a gang needs valid tickets for all its workers at
// the same time, and they would expire one after another.
void Scheduler::ask(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers)
{
    const Millis now = m_pass_begun;
    if (workers.empty()) {
        step.advice.retry_at = now + no_candidate_delay;
        return;
    }
    if (now < step.advice.retry_at || hold_back_if_full(job, step))
        return;
    if (!step.spec->gang && workers.size() > max_asked)
        workers.resize(max_asked);
    if (asks_regardless(step))
        m_longest_waiting_asked_at[job.accepted().queue.name] = now;
    const size_t parts = (workers.size() + max_asked - 1) / max_asked;
    step.advice.has_news = false;
    step.advice.named.clear();
    for (size_t part = 0; part < parts; ++part) {
        const auto begin = static_cast<std::ptrdiff_t>(workers.size() * part / parts);
        const auto end = static_cast<std::ptrdiff_t>(workers.size() * (part + 1) / parts);
        send_query(job, step, { workers.begin() + begin, workers.begin() + end });
    }
    claim_for(job, step);
}

void Scheduler::send_query(const JobRecord& job, Step& step,
                           std::vector<WorkerNumber> workers)
{
    AdviceQuery query;
    query.queue = job.accepted().queue.name;
    query.step = step.name(job.id());
    for (const WorkerNumber number : workers)
        query.workers.push_back(m_workers_by_number[number]->session->id());
    query.rule = *job.accepted().queue.advice;
    query.priority = job.accepted().queue.priority;
    query.waiting_since = step.idle_since;
    ++step.advice.queries_in_progress;
    step.advice.named.insert(step.advice.named.end(), workers.begin(), workers.end());
    note_query_cost(query);
    auto on_reply = m_lifetime.wrap(
        [this, id = job.id(), repeat = step.repeat, index = step.index,
         asked = std::move(workers), asked_at = m_pass_begun, queue = query.queue,
         cost_ms = query.advisor_ms()](const AdviceReply& reply) {
            note_advisor_answer(queue, cost_ms, reply.tickets.has_value(),
                                find_step(id, repeat, index));
            advice_received(id, repeat, index, asked, asked_at, reply);
        });
    ++m_load_counts.queries;
    m_context.advice.ask(std::move(query), std::move(on_reply));
}

// Stores an answer; returns whether it contained a new verdict. An allowed worker missing
// from the answer stays allowed as a second choice, since the advisor may have been unaware
// of it for a moment.
bool Scheduler::apply_advice(StepAdvice& advice, const std::vector<WorkerNumber>& asked,
                             const std::vector<WorkerTicket>& tickets, Millis now,
                             Millis expires)
{
    bool has_news = false;
    for (const WorkerNumber worker : asked) {
        const auto [entry, added] = advice.workers.try_emplace(worker);
        Permission& known = entry->second;
        known.no_ticket = true;
        known.ask_again_at = now + Millis(refusal_retry_delay.count() << known.refusals);
        known.refusals = std::min(known.refusals + 1, max_refusal_doublings);
        has_news = has_news || added;
    }
    for (const WorkerTicket& ticket : tickets) {
        const Worker* worker = find_worker(ticket.worker);
        if (worker == nullptr)
            continue;
        Permission& permission = advice.workers[worker->number];
        has_news = has_news || !permission.allowed;
        permission = Permission();
        permission.allowed = true;
        permission.ticket = ticket.ticket;
        permission.expires = expires;
    }
    advice.verdicts_changed();
    if (!tickets.empty())
        advice.tickets_until = expires;
    if (has_news)
        advice.verdicts_at = now;
    return has_news;
}

// Tickets with which nothing could be placed are not requested again at once.
void Scheduler::set_retry_delay(StepAdvice& advice, Millis now)
{
    if (advice.has_news) {
        advice.retry_at = Millis(0);
        advice.unhelpful_answers = 0;
        return;
    }
    advice.retry_at = now + Millis(no_news_delay.count() << advice.unhelpful_answers);
    advice.unhelpful_answers = std::min(advice.unhelpful_answers + 1, max_delay_doublings);
}

void Scheduler::advice_received(const std::string& id, int repeat, int index,
                                const std::vector<WorkerNumber>& asked, Millis asked_at,
                                const AdviceReply& reply)
{
    JobRecord* job = find_job(id);
    Step* step = find_step(id, repeat, index);
    if (step == nullptr)
        return;
    const Millis now = m_context.loop.now();
    const bool last = --step->advice.queries_in_progress == 0;
    if (last) {
        step->advice.named.clear();
        step->reserved_until
            = std::min(step->reserved_until,
                       now + m_context.bounds.kill_grace + reservation_after_answer);
    }
    if (!reply.tickets) {
        step->advice.retry_at = now + no_answer_delay;
        return;
    }
    const Millis valid(job->accepted().queue.advice->valid_ms);
    const bool has_news = apply_advice(step->advice, asked, *reply.tickets, now,
                                       now + valid - ticket_margin);
    step->next_placement_at = Millis(0);
    step->advice.has_news = step->advice.has_news || has_news;
    if (last)
        set_retry_delay(step->advice, now);
    double& share = m_allowed_share[job->accepted().queue.name];
    const double seen = double(reply.tickets->size()) / double(asked.size());
    if (has_news)
        share += share_learning_rate * (seen - share);
    m_context.metrics.observe_seconds("pathport_advice_seconds",
                                      double((now - asked_at).count()) / 1000);
    log_event(LogLevel::debug, "advice",
              { { "job", id },
                { "asked", static_cast<int64_t>(asked.size()) },
                { "allowed", static_cast<int64_t>(reply.tickets->size()) },
                { "after_ms", (now - asked_at).count() } });
    schedule_pass();
}

} // namespace pathport::jobs
