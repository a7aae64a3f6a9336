// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "crash_record.h"

#include <algorithm>
#include <optional>

namespace pathport::jobs {

namespace {

/// Weights of a lost run. A run that had existed for long, or ran beside a suspect, was
/// probably not the cause.
constexpr int startup_weight = 2;
constexpr int later_weight = 1;
constexpr int suspected_from = 2;
constexpr int likely_from = 3;
/// Once this many workers were lost with a task, its further starts are limited until it is
/// cleared, since it would take down one worker after another.
constexpr size_t max_workers_lost = 3;
constexpr int max_tries = 2;
/// A task is given up only if this many workers are known to have been lost with it.
constexpr size_t min_confirmed_losses = 2;
/// Limit on the losses that are assumed without a record.
constexpr int max_unrecorded_losses = 1;
/// Maximum delay of the report about a run, added to the longest run time before a loss.
constexpr Millis clearing_margin { 600 };
/// Known run times that were really equal differ by at most this much, since reports come
/// twice a second.
constexpr int64_t similar_within_ms = 600;

// Returns the run time that shows that this loss was not caused by the task.
Millis refuting_runtime(const CrashedRun& lost)
{
    return std::max(startup_window, Millis(lost.runtime_ms)) + clearing_margin;
}

// Returns the same for a run whose worker lived on. If the loss is known to have come
// sooner, a shorter run shows it as well.
Millis refuting_runtime_of_end(const CrashedRun& lost)
{
    if (lost.max_runtime_ms == 0)
        return refuting_runtime(lost);
    return std::min(refuting_runtime(lost), Millis(lost.max_runtime_ms));
}

} // namespace

const char* to_string(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::suspected:
        return "suspected";
    case Suspicion::likely:
        return "likely";
    case Suspicion::none:
        break;
    }
    return "none";
}

bool CrashRecord::add(const CrashedRun& lost)
{
    if (refuting_runtime(lost) < m_survived)
        return false;
    if (has_loss(lost.run, lost.worker))
        return lost.is_confirmed && confirm(lost.run, lost.worker);
    m_runs.push_back(lost);
    return true;
}

bool CrashRecord::retract(int64_t run, const std::string& worker)
{
    const CrashedRun survivor { run, 0, false, worker };
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& entry) {
        return entry.is_same_loss(survivor);
    });
    if (found == m_runs.end())
        return false;
    m_runs.erase(found);
    return true;
}

bool CrashRecord::confirm(int64_t run, const std::string& worker)
{
    const CrashedRun sought { run, 0, false, worker };
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& entry) {
        return entry.is_same_loss(sought);
    });
    if (found == m_runs.end() || found->is_confirmed)
        return false;
    found->is_confirmed = true;
    return true;
}

size_t CrashRecord::confirmed_losses() const
{
    return static_cast<size_t>(
        std::count_if(m_runs.begin(), m_runs.end(),
                      [](const CrashedRun& lost) { return lost.is_confirmed; }));
}

bool CrashRecord::may_give_up() const
{
    return confirmed_losses() >= min_confirmed_losses;
}

void CrashRecord::clear()
{
    m_runs.clear();
    m_tries = 0;
    m_unrecorded_losses = 0;
}

template <typename Predicate>
bool CrashRecord::remove_losses(Predicate is_refuted)
{
    const auto kept = std::remove_if(m_runs.begin(), m_runs.end(), is_refuted);
    const bool removed = kept != m_runs.end();
    m_runs.erase(kept, m_runs.end());
    if (m_runs.empty())
        clear();
    else if (!has_lost_enough())
        m_tries = 0;
    return removed;
}

void CrashRecord::refute(Millis runtime)
{
    remove_losses([&](const CrashedRun& lost) { return runtime > refuting_runtime(lost); });
}

bool CrashRecord::refute_by_end(Millis min_runtime)
{
    return remove_losses([&](const CrashedRun& lost) {
        return min_runtime > refuting_runtime_of_end(lost);
    });
}

void CrashRecord::note_survival(Millis runtime)
{
    m_survived = std::max(m_survived, runtime);
}

bool CrashRecord::has_loss(int64_t run, const std::string& worker) const
{
    const CrashedRun sought { run, 0, false, worker };
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const CrashedRun& lost) { return lost.is_same_loss(sought); });
}

bool CrashRecord::lost_worker(const std::string& name) const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const CrashedRun& lost) { return lost.worker == name; });
}

void CrashRecord::expect_unrecorded_losses(int count)
{
    if (m_runs.empty())
        m_unrecorded_losses = std::min(count, max_unrecorded_losses);
}

// At least one loss has to be known: most tasks have lost nothing unrecorded.
bool CrashRecord::has_lost_enough() const
{
    return !m_runs.empty()
        && m_runs.size() + static_cast<size_t>(m_unrecorded_losses) >= max_workers_lost;
}

void CrashRecord::note_start()
{
    m_tries += has_lost_enough() ? 1 : 0;
}

void CrashRecord::withdraw_start()
{
    m_tries = std::max(0, m_tries - 1);
}

bool CrashRecord::tries_exhausted() const
{
    return has_lost_enough() && m_tries >= max_tries && may_give_up();
}

Suspicion CrashRecord::suspicion() const
{
    int weight = 0;
    for (const CrashedRun& lost : m_runs) {
        const bool likely_cause = Millis(lost.runtime_ms) < startup_window && !lost.is_weak
            && lost.is_confirmed;
        weight += likely_cause ? startup_weight : later_weight;
    }
    if (weight >= likely_from)
        return Suspicion::likely;
    return weight >= suspected_from ? Suspicion::suspected : Suspicion::none;
}

bool CrashRecord::has_similar_runtimes() const
{
    std::vector<int64_t> runtimes_ms;
    for (const CrashedRun& lost : m_runs) {
        if (lost.is_confirmed)
            runtimes_ms.push_back(lost.runtime_ms);
    }
    const auto [least, most] = std::minmax_element(runtimes_ms.begin(), runtimes_ms.end());
    return runtimes_ms.empty() || *most - *least <= similar_within_ms;
}

Millis CrashRecord::longest_runtime() const
{
    Millis longest;
    for (const CrashedRun& lost : m_runs)
        longest = std::max(longest, Millis(lost.runtime_ms));
    return longest;
}

// Runs of unknown length tell nothing about when the task might crash its worker, unless
// there are no others.
Millis CrashRecord::longest_known_runtime() const
{
    std::optional<Millis> longest;
    for (const CrashedRun& lost : m_runs) {
        const Millis runtime(lost.runtime_ms);
        if (runtime != unknown_runtime)
            longest = std::max(longest.value_or(Millis(0)), runtime);
    }
    return longest.value_or(unknown_runtime);
}

Millis CrashRecord::clearing_runtime() const
{
    return std::max(startup_window, longest_runtime()) + clearing_margin;
}

bool CrashRecord::cleared_by_end_after(Millis runtime) const
{
    return runtime > longest_known_runtime() + clearing_margin;
}

} // namespace pathport::jobs
