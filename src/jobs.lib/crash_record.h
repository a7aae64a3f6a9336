// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Worker losses recorded against a task. A crashed worker takes all its runs with it and
/// reports nothing, so the cause can only be inferred: from how often and how soon after a
/// start the losses occur, and by starting a suspect where nothing else starts.

#pragma once

#include <pathport/clock.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A run of a task that was lost with its worker, or may have been.
struct CrashedRun {
    int64_t run = 0;
    /// The run is known to have existed for this long; `unknown_runtime` if that is not
    /// known.
    int64_t runtime_ms = 0;
    /// Weaker evidence: a suspect ran on the same worker, or the worker may only have been
    /// partitioned.
    bool is_weak = false;
    /// Name of the worker that was lost. A member of a gang may be tried on several workers
    /// under one run id. Empty in rows of earlier versions.
    std::string worker {};
    /// The run existed for no longer than this: from its start order until the worker was
    /// found to be lost. 0 if that is not known.
    int64_t max_runtime_ms = 0;
    /// The run existed and its worker was lost. Otherwise nothing tells whether its order
    /// was carried out, or the worker may only have been partitioned.
    bool is_confirmed = true;

    bool operator==(const CrashedRun& other) const
    {
        return run == other.run && runtime_ms == other.runtime_ms
            && is_weak == other.is_weak && worker == other.worker
            && max_runtime_ms == other.max_runtime_ms && is_confirmed == other.is_confirmed;
    }
    /// Returns whether both are the same loss, whatever is known of it.
    bool is_same_loss(const CrashedRun& other) const
    {
        return run == other.run
            && (worker == other.worker || worker.empty() || other.worker.empty());
    }
};

/// A run lost sooner than this after its start may have crashed its worker by starting.
/// Reports come twice a second, so run times are known to within half a second.
constexpr Millis startup_window { 1500 };
/// Assumed run time of a run of which only its order is known, or that an earlier leader
/// started.
constexpr Millis unknown_runtime = startup_window;

/// How strong the evidence against a task is.
enum class Suspicion {
    none,
    suspected, ///< Starts only where no other suspect runs.
    likely, ///< Nothing else is started beside it until it is cleared.
};
const char* to_string(Suspicion suspicion);

/// The losses recorded against one task.
class CrashRecord {
public:
    CrashRecord() = default;
    explicit CrashRecord(std::vector<CrashedRun> runs, int tries = 0,
                         int unrecorded_losses = 0, Millis survived = Millis(0))
        : m_runs(std::move(runs))
        , m_tries(tries)
        , m_unrecorded_losses(unrecorded_losses)
        , m_survived(survived)
    {
    }

    bool empty() const { return m_runs.empty(); }
    size_t size() const { return m_runs.size(); }
    const std::vector<CrashedRun>& runs() const { return m_runs; }

    /// Adds a run, or confirms it if its loss on that worker is recorded already. Returns
    /// false if that changes nothing, or if the loss is refuted by note_survival().
    bool add(const CrashedRun& lost);
    /// Returns how many more workers may have been lost with the task under leaders that
    /// were replaced before they recorded its start.
    int unrecorded_losses() const { return m_unrecorded_losses; }
    /// Sets that number if nothing is recorded yet. From the first recorded loss on, no
    /// start precedes its record.
    void expect_unrecorded_losses(int count);
    /// Removes a run whose worker turned out not to be lost. Returns whether it was
    /// recorded.
    bool retract(int64_t run, const std::string& worker = {});
    /// Records that a run existed whose loss on that worker is recorded. Returns whether
    /// that was not known before.
    bool confirm(int64_t run, const std::string& worker);
    /// Returns how many of the runs are known to have been lost with their workers.
    size_t confirmed_losses() const;
    /// Returns whether the losses may fail the job. Orders that may never have reached
    /// their workers don't suffice for that, however many they are.
    bool may_give_up() const;
    void clear();
    /// Removes the losses that a run of this length refutes: a task that crashes its
    /// workers after some run time does not outlive it.
    void refute(Millis runtime);
    /// Removes the losses that a run refutes that ended after at least this run time while
    /// its worker lived on: the task would have crashed that worker as well, had it caused
    /// a loss sooner after a start. Returns whether any was removed.
    bool refute_by_end(Millis min_runtime);
    /// Records that a run has lasted for so long. Losses that it refutes are not added any
    /// more: a long-running task is on some worker all the time and sees many lost.
    void note_survival(Millis runtime);
    /// Returns the longest run recorded by note_survival().
    Millis survived() const { return m_survived; }

    /// Records a start, which counts once enough workers were lost.
    void note_start();
    /// Records that a start failed at its worker, so that it does not count.
    void note_failed_start() { withdraw_start(); }
    /// Records that a run failed on its own on a sound worker, which survived, so that its
    /// start does not count: a task that crashes its workers does not end this way, and
    /// failures have a limit of their own.
    void note_harmless_failure() { withdraw_start(); }
    /// Returns the number of starts that count.
    int tries() const { return m_tries; }
    /// Returns whether the task must not be started any more: enough workers were lost with
    /// it, some of them for certain, and it has used up the starts allowed since then
    /// without being cleared.
    bool tries_exhausted() const;

    Suspicion suspicion() const;
    /// Returns whether all confirmed runs were lost about equally long after their starts,
    /// as is typical of a task that crashes its workers.
    bool has_similar_runtimes() const;
    /// Returns the run time after which a further run shows that the task does not crash
    /// its workers: longer than that of any lost run.
    Millis clearing_runtime() const;
    /// Returns whether the loss of this run on the worker of this name is recorded.
    bool has_loss(int64_t run, const std::string& worker) const;
    /// Returns whether a worker of this name was lost with it.
    bool lost_worker(const std::string& name) const;
    /// Returns whether a run that its worker reported as ended on its own after this run
    /// time clears the task: it lasted longer than those that were lost. A shorter one may
    /// have failed before it could crash the worker, so its start counts.
    bool cleared_by_end_after(Millis runtime) const;

    bool operator==(const CrashRecord& other) const
    {
        return m_runs == other.m_runs && m_tries == other.m_tries
            && m_unrecorded_losses == other.m_unrecorded_losses
            && m_survived == other.m_survived;
    }

private:
    template <typename Predicate>
    bool remove_losses(Predicate is_refuted);
    bool has_lost_enough() const;
    void withdraw_start();
    Millis longest_runtime() const;
    Millis longest_known_runtime() const;

    std::vector<CrashedRun> m_runs;
    int m_tries = 0;
    int m_unrecorded_losses = 0;
    Millis m_survived;
};

} // namespace pathport::jobs
