// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Search for the workers that a step could use or ask about. It visits the workers in the
/// order of the pools' indexes and stops once those found suffice, so its cost follows what
/// the step needs and not the size of the cell.

#include "scheduler.h"

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

namespace {

constexpr double initial_allowed_share = 0.5;

} // namespace

/// A search, with what it needs to know of the step.
struct Scheduler::CandidateSearch {
    CandidateSearch(const JobRecord& its_job, const Step& its_step, int tasks)
        : job(its_job)
        , step(its_step)
        , spec(*its_step.spec)
        , needed(tasks)
        , rank(its_job.rank())
        , advised(its_job.accepted().queue.advice.has_value())
    {
        if (spec.max_per_worker > 0)
            key = step.name(job.id());
    }

    const JobRecord& job;
    const Step& step;
    const StepSpec& spec;
    int needed = 0;
    int rank = 0;
    bool advised = false;
    bool sees_claims = false;
    /// A verdict remains valid when the free capacity changes, so steps that are not urgent
    /// ask about full workers as well.
    bool wants_verdicts = false;
    std::string key; ///< Name of the step, if its tasks per worker are limited.
    std::vector<WorkerNumber> second; ///< As returned by second_choices().
};

// Every worker with free capacity, whatever its drawbacks, comes before those without any.
bool Scheduler::is_better_candidate(const WorkerCandidate& left,
                                    const WorkerCandidate& right)
{
    const auto key = [](const WorkerCandidate& candidate) {
        return std::make_tuple(candidate.fit == 0, candidate.second_choice, candidate.slow,
                               -candidate.fit, -candidate.potential_fit,
                               candidate.worker->number);
    };
    return key(left) < key(right);
}

std::vector<WorkerNumber>
Scheduler::worker_numbers(const std::vector<WorkerCandidate>& candidates)
{
    std::vector<WorkerNumber> workers;
    workers.reserve(candidates.size());
    for (const WorkerCandidate& candidate : candidates)
        workers.push_back(candidate.worker->number);
    return workers;
}

// Sorts only the best workers, as many as one query may name.
void Scheduler::sort_top(std::vector<WorkerCandidate>& candidates)
{
    const auto best = static_cast<std::ptrdiff_t>(std::min(candidates.size(), max_asked));
    std::partial_sort(candidates.begin(), candidates.begin() + best, candidates.end(),
                      is_better_candidate);
}

bool Scheduler::any_fit(const std::vector<WorkerCandidate>& candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [](const WorkerCandidate& candidate) { return candidate.fit > 0; });
}

// Adds a worker to the list for its verdict; `known` is null if there is no verdict.
void Scheduler::classify(WorkerCandidates& found, WorkerCandidate candidate,
                         const Permission* known, Millis now)
{
    if (known == nullptr) {
        found.unasked.push_back(candidate);
    } else if (known->allowed) {
        candidate.second_choice = candidate.second_choice || known->no_ticket;
        found.preferred_fit += candidate.second_choice ? 0 : candidate.fit;
        found.fit += candidate.fit;
        found.potential_fit += candidate.potential_fit;
        found.stoppable_fit += candidate.stoppable_fit;
        found.allowed.push_back(candidate);
    } else if (now >= known->ask_again_at) {
        found.refused_fit += candidate.fit;
        found.refused.push_back(candidate);
    }
}

QueryPlan Scheduler::query_plan(const JobRecord& job, const Step& step, int needed,
                                const WorkerCandidates& found)
{
    QueryDemand demand;
    demand.needed = needed;
    demand.gang = step.spec->gang;
    demand.least = static_cast<size_t>(min_workers_to_ask(job, step));
    demand.allowed_share
        = m_allowed_share.try_emplace(job.accepted().queue.name, initial_allowed_share)
              .first->second;
    demand.fit = found.fit;
    demand.potential_fit = found.potential_fit;
    return QueryPlan(demand);
}

// Returns the workers that can run tasks of the step, apart from their load.
const WorkerPool& Scheduler::pool_for(const JobRecord& job, const Step& step)
{
    const int service = service_number(job.accepted().queue.service);
    const std::string& label = step.spec->label;
    const WorkerPool* pool = m_pools.find(service, label);
    if (pool != nullptr)
        return *pool;
    m_pools.add_label(service, label);
    for (const Worker* worker : m_workers_by_number) {
        if (worker != nullptr)
            update_pools(*worker);
    }
    return *m_pools.find(service, label);
}

// Returns what the worker can hold of the step.
Scheduler::WorkerCandidate Scheduler::evaluate(const CandidateSearch& search,
                                               WorkerNumber number)
{
    const CapacityRow& row = m_capacity_table.row(number);
    WorkerCandidate candidate;
    candidate.worker = m_workers_by_number[number];
    candidate.second_choice
        = std::binary_search(search.second.begin(), search.second.end(), number);
    candidate.slow = row.slow && search.rank == 0;
    if (!row.available_to(search.step))
        return candidate;
    const WorkerLoad& load = candidate.worker->load;
    const StepSpec& spec = search.spec;
    int most = std::min(search.needed, row.max_new_tasks);
    if (spec.max_per_worker > 0)
        most = std::min(most, spec.max_per_worker - load.count_of_step(search.key));
    const auto fit_into = [&](const Resources& free) {
        return tasks_that_fit_into(spec, free, search.needed, most);
    };
    candidate.fit
        = fit_into(search.sees_claims ? capacity_to_ask_about(number, search.rank, row.free)
                                      : row.free);
    candidate.has_room
        = candidate.fit > 0 || tasks_that_fit_into(spec, row.free, 1, most) > 0;
    candidate.potential_fit = fit_into(row.free + load.used_below(search.rank));
    candidate.stoppable_fit = fit_into(row.free + load.stoppable_below(search.rank));
    return candidate;
}

// Returns whether this search visits the worker for the first time.
bool Scheduler::visit_first(WorkerNumber number)
{
    m_visited_in.resize(m_capacity_table.size());
    if (m_visited_in[number] == m_search)
        return false;
    m_visited_in[number] = m_search;
    note_examined(1);
    return true;
}

// Returns the workers that the step could use as far as is known, and how many of its tasks
// each could hold. Of the workers without a verdict, or of all if it needs no advice, there
// are only as many as it needs.
Scheduler::WorkerCandidates Scheduler::worker_candidates(const JobRecord& job,
                                                         const Step& step, int needed)
{
    CandidateSearch search(job, step, needed);
    search.second = second_choices(step);
    search.sees_claims = search.advised && !asks_regardless(step);
    search.wants_verdicts = search.advised && (step.spec->gang || search.rank > 0);
    ++m_search;
    WorkerCandidates found;
    if (search.advised) {
        add_known(search, found);
        add_unasked(search, found);
    } else {
        add_unadvised(search, found);
    }
    std::sort(found.allowed.begin(), found.allowed.end(), is_better_candidate);
    sort_top(found.unasked);
    sort_top(found.refused);
    return found;
}

// Returns the allowed workers of a step that may have room by the index, and possibly
// others of them. The index is searched if it has fewer workers.
std::vector<WorkerNumber> Scheduler::allowed_with_room(const Step& step,
                                                       const CapacityIndex& index)
{
    const StepAdvice& advice = step.advice;
    if (advice.allowed.size() <= index.count(*step.spec))
        return advice.allowed;
    return known_in(step, index, [](const Permission& known) { return known.allowed; });
}

// The same for the workers that were refused long enough ago to ask about them again.
std::vector<WorkerNumber> Scheduler::refused_with_room(const Step& step,
                                                       const CapacityIndex& index)
{
    const StepAdvice& advice = step.advice;
    if (m_pass_begun < advice.refused_until)
        return {};
    const auto may_ask_again = [this](const Permission& known) {
        return !known.allowed && m_pass_begun >= known.ask_again_at;
    };
    if (index.count(*step.spec) < advice.workers.size())
        return known_in(step, index, may_ask_again);
    std::vector<WorkerNumber> found;
    for (const auto& [number, permission] : advice.workers) {
        if (may_ask_again(permission))
            found.push_back(number);
        else
            note_examined(1);
    }
    return found;
}

// Returns the workers that may have room by the index and whose verdict meets a condition.
std::vector<WorkerNumber>
Scheduler::known_in(const Step& step, const CapacityIndex& index,
                    const std::function<bool(const Permission&)>& matches)
{
    const auto& verdicts = step.advice.workers;
    std::vector<WorkerNumber> found;
    index.visit_largest(*step.spec, [&](WorkerNumber number) {
        const auto known = verdicts.find(number);
        if (known != verdicts.end() && matches(known->second))
            found.push_back(number);
        else
            note_examined(1);
        return true;
    });
    return found;
}

// Adds workers with a verdict: those reserved for the step, those with free capacity, and
// if these do not suffice those where less urgent tasks run.
void Scheduler::add_known(const CandidateSearch& search, WorkerCandidates& found)
{
    const Step& step = search.step;
    const auto& verdicts = step.advice.workers;
    const WorkerPool& pool = pool_for(search.job, step);
    const int service = service_number(search.job.accepted().queue.service);
    const auto consider = [&](WorkerNumber number) {
        const auto known = verdicts.find(number);
        if (known == verdicts.end() || !visit_first(number))
            return;
        const CapacityRow& row = m_capacity_table.row(number);
        if (!row.open || row.service != service || !has_label_for(step, number))
            return;
        const WorkerCandidate candidate = evaluate(search, number);
        if (candidate.potential_fit > 0)
            classify(found, candidate, &known->second, m_pass_begun);
    };
    for (const WorkerNumber number : step.reserved_workers)
        consider(number);
    for (const WorkerNumber number : allowed_with_room(step, pool.free))
        consider(number);
    for (const WorkerNumber number : refused_with_room(step, pool.free))
        consider(number);
    const CapacityIndex& reclaimable = pool.reclaimable_for(search.rank);
    if (found.fit >= search.needed || &reclaimable == &pool.free)
        return;
    for (const WorkerNumber number : allowed_with_room(step, reclaimable)) {
        if (found.potential_fit >= search.needed && found.stoppable_fit >= search.needed)
            break;
        consider(number);
    }
}

bool Scheduler::has_label_for(const Step& step, WorkerNumber number) const
{
    const std::string& label = step.spec->label;
    return label.empty() || m_workers_by_number[number]->session->info().has_label(label);
}

// Adds workers without a verdict, those with unclaimed capacity first, until they suffice
// for a query.
void Scheduler::add_unasked(const CandidateSearch& search, WorkerCandidates& found)
{
    const WorkerPool& pool = pool_for(search.job, search.step);
    QueryPlan plan = query_plan(search.job, search.step, search.needed, found);
    std::vector<WorkerCandidate> with_drawbacks;
    std::vector<WorkerCandidate> full;
    const auto take = [&](const WorkerCandidate& candidate) {
        plan.add(candidate.fit, candidate.potential_fit);
        found.unasked.push_back(candidate);
        return !plan.complete();
    };
    const auto take_all = [&](const std::vector<WorkerCandidate>& candidates) {
        return std::all_of(candidates.begin(), candidates.end(), take);
    };
    const auto& free = search.sees_claims ? pool.unclaimed : pool.free;
    const auto& known = search.step.advice.workers;
    const auto is_new = [&](WorkerNumber number) {
        return visit_first(number) && known.count(number) == 0;
    };
    const auto with_capacity = [&](WorkerNumber number) {
        if (!is_new(number))
            return true;
        const WorkerCandidate candidate = evaluate(search, number);
        if (candidate.fit == 0) {
            full.push_back(candidate);
            return true;
        }
        if (!candidate.second_choice && !candidate.slow)
            return take(candidate);
        with_drawbacks.push_back(candidate);
        return true;
    };
    const auto is_worth_a_verdict = [&](const WorkerCandidate& candidate) {
        return candidate.potential_fit > 0
            || (search.wants_verdicts
                && search.spec.need.fits_in(
                    m_capacity_table.row(candidate.worker->number).capacity));
    };
    const auto take_if_useful = [&](const WorkerCandidate& candidate) {
        return !is_worth_a_verdict(candidate) || take(candidate);
    };
    const auto without_room = [&](WorkerNumber number) {
        return !is_new(number) || take_if_useful(evaluate(search, number));
    };
    if (!free.visit_largest(search.spec, with_capacity) || !take_all(with_drawbacks))
        return;
    // Tasks that start one by one wait for tasks to end on the workers already asked about.
    if (!search.spec.gang && !known.empty() && !any_fit(found.unasked))
        return;
    if (std::all_of(full.begin(), full.end(), take_if_useful)
        && pool.reclaimable_for(search.rank).visit_largest(search.spec, without_room)
        && search.wants_verdicts)
        pool.total.visit_largest(search.spec, without_room);
}

// Adds workers for a step that needs no advice: those reserved for it, those with free
// capacity, and if these do not suffice those where less urgent tasks run.
void Scheduler::add_unadvised(const CandidateSearch& search, WorkerCandidates& found)
{
    Permission without_advice;
    without_advice.allowed = true;
    const WorkerPool& pool = pool_for(search.job, search.step);
    const auto enough_fit = [&] { return found.preferred_fit >= search.needed; };
    const auto enough_potential = [&] {
        return found.potential_fit >= search.needed && found.stoppable_fit >= search.needed;
    };
    const auto consider = [&](WorkerNumber number) {
        const CapacityRow& row = m_capacity_table.row(number);
        if (!visit_first(number) || !row.open)
            return;
        const WorkerCandidate candidate = evaluate(search, number);
        if (candidate.potential_fit > 0)
            classify(found, candidate, &without_advice, m_pass_begun);
    };
    for (const WorkerNumber number : search.step.reserved_workers)
        consider(number);
    const bool lacks_room = pool.free.visit_largest(search.spec, [&](WorkerNumber number) {
        consider(number);
        return !enough_fit();
    });
    if (!lacks_room || found.fit >= search.needed)
        return;
    pool.reclaimable_for(search.rank).visit_largest(search.spec, [&](WorkerNumber number) {
        consider(number);
        return !enough_potential();
    });
}

} // namespace pathport::jobs
