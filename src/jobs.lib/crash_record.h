// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What is held against a task because workers were lost while it ran there. A worker that
/// crashes takes all that ran there with it and says nothing, so what it was can only be
/// learned from how often and how soon after a start it happens, and by having a suspect
/// start where nothing else does.

#pragma once

#include <pathport/clock.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pathport::jobs {

/// A run of a task with which a worker was lost.
struct CrashedRun {
    int64_t run = 0;
    int64_t runtime_ms = 0; ///< The run is known to have been there for so long.
    bool beside_suspect = false; ///< A suspect was there, so it says less of others.

    bool operator==(const CrashedRun& other) const
    {
        return run == other.run && runtime_ms == other.runtime_ms
            && beside_suspect == other.beside_suspect;
    }
};

/// A run that was lost sooner than this after its start may have crashed its worker by
/// starting. Reports come twice a second, so a life is known to within half a second.
constexpr Millis startup_window { 1500 };
/// What is taken for the life of a run that an earlier leader started.
constexpr Millis unknown_runtime = startup_window;

/// How much speaks against a task.
enum class Suspicion {
    none,
    suspected, ///< It starts where no other suspect is.
    likely, ///< Nothing else is started beside it until it is cleared.
};
const char* to_string(Suspicion suspicion);

/// The record of one task.
class CrashRecord {
public:
    CrashRecord() = default;
    explicit CrashRecord(std::vector<CrashedRun> runs, int tries = 0)
        : m_runs(std::move(runs))
        , m_tries(tries)
    {
    }

    bool empty() const { return m_runs.empty(); }
    size_t size() const { return m_runs.size(); }
    const std::vector<CrashedRun>& runs() const { return m_runs; }

    /// Adds a run; returns false if it is there already.
    bool add(const CrashedRun& lost);
    /// Takes a run back: its worker was not lost. Returns whether it was there.
    bool retract(int64_t run);
    void clear();

    /// Notes a start, which counts once enough workers were lost.
    void note_start();
    /// Notes that a start came to nothing at its worker.
    void note_failed_start() { withdraw_start(); }
    /// Notes that the run of a start failed by itself and its worker lived on: a task that
    /// crashes its workers does not end so, and failures are bounded by themselves.
    void note_harmless_failure() { withdraw_start(); }
    /// Returns the starts that count.
    int tries() const { return m_tries; }
    /// Returns whether the task is not to be started any more: enough workers were lost
    /// with it, and it was tried since then as often as is right without being cleared.
    bool tries_exhausted() const;

    Suspicion suspicion() const;
    /// Returns whether all runs were lost about as long after their start, as those of a
    /// task that crashes its workers are.
    bool has_similar_runtimes() const;
    /// Returns after which life a further run shows that the task does not crash its
    /// workers: longer than any that went down with one.
    Millis clearing_runtime() const;
    /// Returns whether a run that its worker listed as ended by itself after this life
    /// shows it: it can't come to crash the worker any more.
    bool cleared_by_end_after(Millis life) const;

    bool operator==(const CrashRecord& other) const
    {
        return m_runs == other.m_runs && m_tries == other.m_tries;
    }

private:
    void withdraw_start();
    Millis longest_runtime() const;

    std::vector<CrashedRun> m_runs;
    int m_tries = 0;
};

} // namespace pathport::jobs
