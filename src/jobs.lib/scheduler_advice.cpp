// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Advice: which workers a step may use is asked for when it helps to place tasks, since
/// calls are dear and tickets run out.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A ticket is not used in the last part of its life.
constexpr Millis ticket_margin { 250 };
/// Pause after a question that got no answer.
constexpr Millis advice_retry { 150 };
/// Pause after an answer that helped to place nothing.
constexpr Millis fruitless_pause { 120 };
/// Workers named in one question.
constexpr int least_asked = 10;
constexpr int most_asked = 30;
/// Asked for beyond what is needed on average, since the advisor's choice varies.
constexpr double asked_reserve = 1.5;
constexpr double first_allowed_share = 0.5;
constexpr double share_learning = 0.1;
/// Gangs for which advice is asked or workers are kept free at a time.
constexpr int most_gangs_prepared = 8;
/// At most one in so many workers is kept free for gangs whose room is not there yet.
constexpr size_t reserved_fraction = 4;

} // namespace

bool Scheduler::fit_first(const Prospect& left, const Prospect& right)
{
    return std::make_pair(left.slow, -left.fit) < std::make_pair(right.slow, -right.fit);
}

bool Scheduler::later_first(const Prospect& left, const Prospect& right)
{
    return left.later_fit > right.later_fit;
}

std::vector<std::string> Scheduler::names(const std::vector<Prospect>& prospects, int most)
{
    std::vector<std::string> workers;
    for (const Prospect& prospect : prospects) {
        if (workers.size() >= size_t(most))
            break;
        workers.push_back(prospect.worker);
    }
    return workers;
}

// Returns the workers that the step could use by what is known, and how many of its tasks
// each would hold.
std::vector<Scheduler::Prospect> Scheduler::prospects(const JobRecord& job,
                                                      const Step& step) const
{
    const std::string key = step.name(job.id());
    const int priority = job.accepted().queue.priority;
    std::vector<Prospect> found;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step) || m_reserved.count(id) > 0)
            continue;
        Prospect prospect;
        prospect.worker = id;
        prospect.slow = is_slow_for(worker, job);
        WorkerRoom room = room_on(worker, key);
        prospect.fit = tasks_that_fit(*step.spec, room);
        for (const auto& [task, occupant] : worker.occupants) {
            if (occupant.priority > priority)
                room.free = room.free + occupant.need;
        }
        prospect.later_fit = tasks_that_fit(*step.spec, room);
        if (prospect.later_fit == 0)
            continue;
        const auto known = step.advice.workers.find(id);
        prospect.asked = known != step.advice.workers.end();
        prospect.allowed
            = !job.accepted().queue.advice || (prospect.asked && known->second.allowed);
        found.push_back(std::move(prospect));
    }
    return found;
}

// A gang waits for room, tickets or verdicts. Workers that it may use are kept free of what
// comes after it once they suffice, and tickets are only asked for when the room is there.
void Scheduler::prepare_gang(const JobRecord& job, Step& step, int needed)
{
    if (m_gangs_prepared >= most_gangs_prepared)
        return;
    ++m_gangs_prepared;
    if (step.advice.asking) {
        m_reserved.insert(step.advice.asked_for.begin(), step.advice.asked_for.end());
        return;
    }
    std::vector<Prospect> allowed;
    std::vector<Prospect> unasked;
    int fit = 0;
    int later_fit = 0;
    for (Prospect& prospect : prospects(job, step)) {
        if (prospect.allowed) {
            fit += prospect.fit;
            later_fit += prospect.later_fit;
            allowed.push_back(std::move(prospect));
        } else if (!prospect.asked) {
            unasked.push_back(std::move(prospect));
        }
    }
    const bool advised = job.accepted().queue.advice.has_value();
    const bool room_now = fit >= needed;
    if (!room_now && later_fit < needed && advised && !unasked.empty()) {
        std::stable_sort(unasked.begin(), unasked.end(), later_first);
        ask(job, step, names(unasked, most_asked));
        return;
    }
    // If all that it may use is not enough, keeping workers free would help nobody.
    if (later_fit < needed)
        return;
    // Workers with the most room now are free soonest.
    std::stable_sort(allowed.begin(), allowed.end(), fit_first);
    const size_t most_reserved = std::max<size_t>(1, m_workers.size() / reserved_fraction);
    size_t used = 0;
    int reserved = 0;
    while (used < allowed.size() && reserved < needed
           && (room_now || m_reserved.size() < most_reserved)) {
        reserved += room_now ? allowed[used].fit : allowed[used].later_fit;
        m_reserved.insert(allowed[used++].worker);
    }
    allowed.resize(used);
    const bool comes = room_now || make_room(job, step, allowed, needed);
    if (comes && advised) {
        ask(job, step, names(allowed, most_asked));
        if (step.advice.asking)
            step.advice.asked_for = names(allowed, most_asked);
    }
}

// Tasks that need not start together: asks again about workers that are known to be allowed
// if they have room for some, else about further ones.
void Scheduler::ask_for_some(const JobRecord& job, Step& step, int needed)
{
    if (step.advice.asking)
        return;
    std::vector<Prospect> allowed;
    std::vector<Prospect> unasked;
    int fit = 0;
    for (Prospect& prospect : prospects(job, step)) {
        prospect.fit = std::min(prospect.fit, needed);
        if (prospect.fit == 0)
            continue;
        if (prospect.allowed) {
            fit += prospect.fit;
            allowed.push_back(std::move(prospect));
        } else if (!prospect.asked) {
            unasked.push_back(std::move(prospect));
        }
    }
    if (fit >= needed || unasked.empty()) {
        std::stable_sort(allowed.begin(), allowed.end(), fit_first);
        size_t used = 0;
        int found = 0;
        while (used < allowed.size() && found < needed + 2)
            found += allowed[used++].fit;
        allowed.resize(used);
        ask(job, step, names(allowed, most_asked));
        return;
    }
    std::stable_sort(unasked.begin(), unasked.end(), fit_first);
    const double share
        = m_allowed_share.try_emplace(job.accepted().queue.name, first_allowed_share)
              .first->second;
    double expected = fit;
    size_t used = 0;
    while (used < unasked.size()
           && (used < size_t(least_asked) || expected < asked_reserve * needed))
        expected += share * unasked[used++].fit;
    unasked.resize(used);
    ask(job, step, names(unasked, most_asked));
}

void Scheduler::ask(const JobRecord& job, Step& step, std::vector<std::string> workers)
{
    const Millis now = m_parts.loop.now();
    if (workers.empty() || now < step.advice.retry_at)
        return;
    AdviceQuestion question;
    question.step = step.name(job.id());
    question.workers = std::move(workers);
    question.rule = *job.accepted().queue.advice;
    question.priority = job.accepted().queue.priority;
    step.advice.asking = true;
    step.advice.asked_for.clear();
    auto came
        = m_lifetime.wrap([this, id = job.id(), repeat = step.repeat, index = step.index,
                           asked = question.workers, now](const AdviceReply& reply) {
              advice_came(id, repeat, index, asked, now, reply);
          });
    m_parts.advice.ask(std::move(question), std::move(came));
}

void Scheduler::advice_came(const std::string& id, int repeat, int index,
                            const std::vector<std::string>& asked, Millis asked_at,
                            const AdviceReply& reply)
{
    JobRecord* job = find_job(id);
    Step* step = job == nullptr ? nullptr : job->step(repeat, index);
    if (step == nullptr)
        return;
    const Millis now = m_parts.loop.now();
    step->advice.asking = false;
    step->advice.asked_for.clear();
    if (!reply.tickets) {
        step->advice.retry_at = now + advice_retry;
        return;
    }
    const Millis valid(job->accepted().queue.advice->valid_ms);
    for (const std::string& worker : asked)
        step->advice.workers[worker] = Permission {};
    for (const WorkerTicket& ticket : reply.tickets.value())
        step->advice.workers[ticket.worker]
            = Permission { true, ticket.ticket, now + valid - ticket_margin };
    // An answer that helps to place nothing is not asked for again at once.
    step->advice.retry_at = now + fruitless_pause;
    double& share = m_allowed_share[job->accepted().queue.name];
    const double seen = double(reply.tickets->size()) / double(asked.size());
    share += share_learning * (seen - share);
    m_parts.metrics.observe_seconds("pathport_advice_seconds",
                                    double((now - asked_at).count()) / 1000);
    log_event(LogLevel::debug, "advice",
              { { "job", id },
                { "asked", static_cast<int64_t>(asked.size()) },
                { "allowed", static_cast<int64_t>(reply.tickets->size()) },
                { "after_ms", (now - asked_at).count() } });
    schedule_pass();
}

} // namespace pathport::jobs
