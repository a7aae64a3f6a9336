// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Advice: which workers a step may use is asked for when it helps to place tasks, since
/// calls are dear and tickets run out. An allowance stays; only its ticket ages. A refusal
/// is asked about again when a step finds no room without.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A ticket is not used in the last part of its life.
constexpr Millis ticket_margin { 250 };
/// Pause after a question that got no answer.
constexpr Millis advice_retry { 150 };
/// Pause after an answer that brought no verdict that wasn't known.
constexpr Millis fruitless_pause { 120 };
/// The pause doubles with each such answer in a row, so often at most (to about 2 s): steps
/// that ask in vain leave the advisor to the others.
constexpr int most_doublings = 4;
/// A worker that was refused may be asked about again after this time, and after twice as
/// long with each further refusal: the advisor's verdict stands, but it may not have known
/// a worker for a moment. The platform's tickets, of 2 s, have run out twice since.
constexpr Millis refusal_age { 5000 };
/// The time doubles so often at most (to 80 s).
constexpr int most_refusal_doublings = 4;
/// A gang keeps its workers for so long after the tickets for them have come, beyond the
/// time that the tasks there take to stop.
constexpr Millis kept_after_answer { 100 };
/// Pause after a look at the workers that found none worth a question.
constexpr Millis nobody_pause { 30 };
/// A question is only made up when it can be sent soon: what it asks about, the room of the
/// moment, is stale otherwise, and the most urgent step of that moment should be the one
/// that asks. So many of each queue wait, so that no caller idles.
constexpr size_t most_waiting_of_queue = 2;
/// Workers named in one question. A gang needs room on many at once, and the time that it
/// may take allows for a question about thirty. What is not urgent asks about so many that
/// they add half to the time of the decision: verdicts stay, and a second question takes
/// that time again.
constexpr int least_asked = 10;
constexpr int least_asked_for_gang = 30;
constexpr double named_per_decision = 0.5;
constexpr int most_asked = 100;
/// Asked for beyond what is needed on average, since the advisor's choice varies.
constexpr double asked_reserve = 1.5;
constexpr double first_allowed_share = 0.5;
constexpr double share_learning = 0.1;
constexpr double cost_learning = 0.1;

} // namespace

// Whatever speaks against a worker, it comes before those that have no room at present.
bool Scheduler::is_better_candidate(const WorkerCandidate& left,
                                    const WorkerCandidate& right)
{
    const auto key = [](const WorkerCandidate& prospect) {
        return std::make_tuple(prospect.fit == 0, prospect.second_choice, prospect.slow,
                               -prospect.fit, -prospect.potential_fit,
                               prospect.worker->number);
    };
    return key(left) < key(right);
}

std::vector<WorkerNumber>
Scheduler::worker_numbers(const std::vector<WorkerCandidate>& prospects)
{
    std::vector<WorkerNumber> workers;
    for (const WorkerCandidate& prospect : prospects) {
        if (workers.size() >= size_t(most_asked))
            break;
        workers.push_back(prospect.worker->number);
    }
    return workers;
}

// Puts the best ones in order, as many as one question may name. Of a thousand workers a
// question names a hundred at most, so the others stay as they are.
void Scheduler::sort_top(std::vector<WorkerCandidate>& prospects)
{
    const auto best
        = static_cast<std::ptrdiff_t>(std::min(prospects.size(), size_t(most_asked)));
    std::partial_sort(prospects.begin(), prospects.begin() + best, prospects.end(),
                      is_better_candidate);
}

bool Scheduler::any_fit(const std::vector<WorkerCandidate>& prospects)
{
    return std::any_of(prospects.begin(), prospects.end(),
                       [](const WorkerCandidate& prospect) { return prospect.fit > 0; });
}

// Adds a worker to those of its kind; `known` is its verdict, if it has one.
void Scheduler::classify(WorkerCandidates& found, WorkerCandidate prospect,
                         const Permission* known, Millis now)
{
    if (known == nullptr) {
        found.unasked.push_back(prospect);
    } else if (known->allowed) {
        prospect.second_choice = prospect.second_choice || known->no_ticket;
        found.preferred_fit += prospect.second_choice ? 0 : prospect.fit;
        found.fit += prospect.fit;
        found.potential_fit += prospect.potential_fit;
        found.allowed.push_back(prospect);
    } else if (now >= known->ask_again_at) {
        found.refused_fit += prospect.fit;
        found.refused.push_back(prospect);
    }
}

// Returns the workers that the step could use by what is known, and how many of its tasks
// each would hold.
Scheduler::WorkerCandidates Scheduler::worker_candidates(const JobRecord& job,
                                                         const Step& step, int needed)
{
    const std::string key = step.name(job.id());
    const StepSpec& spec = *step.spec;
    const int priority = job.rank();
    const int service = service_number(job.accepted().queue.service);
    const bool advised = job.accepted().queue.advice.has_value();
    // A verdict outlasts the room of the moment: what isn't urgent asks about full workers
    // as well.
    const bool seeks_verdicts = advised && (spec.gang || priority > 0);
    Permission without_advice;
    without_advice.allowed = true;
    const std::vector<WorkerNumber> second = second_choices(step);
    WorkerCandidates found;
    auto known = step.advice.workers.begin();
    for (WorkerNumber number = 0; number < m_capacity_table.size(); ++number) {
        const CapacityRow& row = m_capacity_table.row(number);
        if (!row.open || row.service != service)
            continue;
        Worker& worker = *m_workers_by_number[number];
        if (!spec.label.empty() && !worker.session->info().has_label(spec.label))
            continue;
        WorkerCandidate prospect;
        prospect.worker = &worker;
        if (row.available_to(step)) {
            int most = std::min(needed, row.max_new_tasks);
            if (spec.max_per_worker > 0)
                most = std::min(most, spec.max_per_worker - worker.load.count_of_step(key));
            prospect.fit = tasks_that_fit_into(spec, row.free, needed, most);
            const Resources later = row.free + worker.load.used_below(priority);
            prospect.potential_fit = tasks_that_fit_into(spec, later, needed, most);
        }
        const Permission* permission = &without_advice;
        if (advised) {
            while (known != step.advice.workers.end() && known->first < number)
                ++known;
            const bool asked = known != step.advice.workers.end() && known->first == number;
            permission = asked ? &known->second : nullptr;
        }
        const bool worth_a_verdict
            = permission == nullptr && seeks_verdicts && spec.need.fits_in(row.capacity);
        if (prospect.potential_fit == 0 && !worth_a_verdict)
            continue;
        prospect.second_choice = std::binary_search(second.begin(), second.end(), number);
        prospect.slow = row.slow && priority == 0;
        classify(found, prospect, permission, m_pass_begun);
    }
    std::sort(found.allowed.begin(), found.allowed.end(), is_better_candidate);
    sort_top(found.unasked);
    sort_top(found.refused);
    return found;
}

int Scheduler::min_workers_to_ask(const JobRecord& job, const Step& step)
{
    const Queue& queue = job.accepted().queue;
    if (step.spec->gang)
        return least_asked_for_gang;
    if (queue.priority == 0 || queue.advice->per_worker_ms <= 0)
        return least_asked;
    const double named
        = named_per_decision * queue.advice->decision_ms / queue.advice->per_worker_ms;
    return std::clamp(static_cast<int>(named), least_asked, most_asked);
}

// Asks about workers whose verdict isn't known, or may have changed, so many that those
// allowed should suffice. Room that comes when less urgent tasks end counts half.
void Scheduler::ask_about(const JobRecord& job, Step& step, int needed,
                          const WorkerCandidates& found,
                          const std::vector<WorkerCandidate>& unknown)
{
    const double share
        = m_allowed_share.try_emplace(job.accepted().queue.name, first_allowed_share)
              .first->second;
    double expected = 0.5 * (found.fit + found.potential_fit);
    const int least = min_workers_to_ask(job, step);
    std::vector<WorkerCandidate> chosen;
    for (const WorkerCandidate& prospect : unknown) {
        const bool enough = expected >= asked_reserve * needed;
        if (enough && chosen.size() >= size_t(least))
            break;
        expected += share * 0.5 * (prospect.fit + prospect.potential_fit);
        chosen.push_back(prospect);
    }
    ask(job, step, worker_numbers(chosen));
}

// Tasks that need not start together: asks again about workers that are known to be allowed
// if they have room for some, else about further ones, and at last about refused ones.
void Scheduler::ask_for_independent(const JobRecord& job, Step& step, int needed)
{
    if (step.advice.asking || m_pass_begun < step.advice.retry_at || advice_queue_full(job))
        return;
    WorkerCandidates found = worker_candidates(job, step, needed);
    const bool first_question = step.advice.workers.empty();
    if (found.preferred_fit < needed && (first_question || any_fit(found.unasked))) {
        ask_about(job, step, needed, found, found.unasked);
        return;
    }
    if (found.preferred_fit == 0 && any_fit(found.refused)) {
        // A ticket for the second choices comes with the same answer.
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

// The most urgent queue's questions are quick and always asked.
bool Scheduler::advice_queue_full(const JobRecord& job) const
{
    const Queue& queue = job.accepted().queue;
    return queue.priority > 0
        && m_context.advice.waiting_of(queue.name) >= most_waiting_of_queue;
}

void Scheduler::note_query_cost(const AdviceQuery& question)
{
    const double cost = question.rule.decision_ms
        + question.rule.per_worker_ms * double(question.workers.size());
    double& smoothed = m_query_ms.try_emplace(question.queue, cost).first->second;
    smoothed += cost_learning * (cost - smoothed);
}

void Scheduler::ask(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers)
{
    const Millis now = m_pass_begun;
    if (workers.empty()) {
        step.advice.retry_at = now + nobody_pause;
        return;
    }
    if (now < step.advice.retry_at || advice_queue_full(job))
        return;
    AdviceQuery question;
    question.queue = job.accepted().queue.name;
    question.step = step.name(job.id());
    for (const WorkerNumber number : workers)
        question.workers.push_back(m_workers_by_number[number]->session->id());
    question.rule = *job.accepted().queue.advice;
    question.priority = job.accepted().queue.priority;
    question.waiting_since = step.idle_since;
    step.advice.asking = true;
    note_query_cost(question);
    auto came
        = m_lifetime.wrap([this, id = job.id(), repeat = step.repeat, index = step.index,
                           asked = std::move(workers), now](const AdviceReply& reply) {
              advice_received(id, repeat, index, asked, now, reply);
          });
    m_context.advice.ask(std::move(question), std::move(came));
}

// Takes over an answer; returns whether it brought a verdict that wasn't known. An allowed
// worker that it leaves out stays allowed, as a second choice: the advisor may not have
// known it for a moment.
bool Scheduler::apply_advice(StepAdvice& advice, const std::vector<WorkerNumber>& asked,
                             const std::vector<WorkerTicket>& tickets, Millis now,
                             Millis expires)
{
    bool fruitful = false;
    for (const WorkerNumber worker : asked) {
        const auto [entry, added] = advice.workers.try_emplace(worker);
        Permission& known = entry->second;
        known.no_ticket = true;
        known.ask_again_at = now + Millis(refusal_age.count() << known.refusals);
        known.refusals = std::min(known.refusals + 1, most_refusal_doublings);
        fruitful = fruitful || added;
    }
    for (const WorkerTicket& ticket : tickets) {
        const Worker* worker = find_worker(ticket.worker);
        if (worker == nullptr)
            continue;
        Permission& permission = advice.workers[worker->number];
        fruitful = fruitful || !permission.allowed;
        permission = Permission();
        permission.allowed = true;
        permission.ticket = ticket.ticket;
        permission.expires = expires;
    }
    if (!tickets.empty())
        advice.tickets_until = expires;
    if (fruitful)
        advice.verdicts_at = now;
    return fruitful;
}

void Scheduler::advice_received(const std::string& id, int repeat, int index,
                                const std::vector<WorkerNumber>& asked, Millis asked_at,
                                const AdviceReply& reply)
{
    JobRecord* job = find_job(id);
    Step* step = job == nullptr ? nullptr : job->step(repeat, index);
    if (step == nullptr)
        return;
    const Millis now = m_context.loop.now();
    step->advice.asking = false;
    step->reserved_until = std::min(step->reserved_until,
                                    now + m_context.bounds.kill_grace + kept_after_answer);
    if (!reply.tickets) {
        step->advice.retry_at = now + advice_retry;
        return;
    }
    const Millis valid(job->accepted().queue.advice->valid_ms);
    const bool fruitful = apply_advice(step->advice, asked, *reply.tickets, now,
                                       now + valid - ticket_margin);
    step->next_placement_at = Millis(0);
    // Tickets that helped to place nothing are not asked for again at once.
    step->advice.retry_at = fruitful
        ? Millis(0)
        : now + Millis(fruitless_pause.count() << step->advice.unhelpful_answers);
    step->advice.unhelpful_answers
        = fruitful ? 0 : std::min(step->advice.unhelpful_answers + 1, most_doublings);
    double& share = m_allowed_share[job->accepted().queue.name];
    const double seen = double(reply.tickets->size()) / double(asked.size());
    if (fruitful)
        share += share_learning * (seen - share);
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
