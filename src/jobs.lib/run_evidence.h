// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a leader knows of a run: whether it exists, and for how long. An order that was
/// sent has to be taken for a run where two runs of a task at once must be ruled out. As
/// evidence against the task when its worker is lost, only a run that is known to have
/// existed counts.

#pragma once

#include <pathport/clock.h>

#include <optional>

namespace pathport::jobs {

/// Whether a run exists or has existed.
enum class RunExistence {
    none, ///< No order was sent.
    possible, ///< The order was sent, and nothing tells whether it was carried out.
    confirmed, ///< Its worker has accepted the order or has listed the run.
};
const char* to_string(RunExistence existence);

/// What is known of the last run of a task. All times are those of this leader's clock.
class RunEvidence {
public:
    /// No order has been sent.
    RunEvidence() = default;
    /// This leader sent the order at that time.
    static RunEvidence ordered(Millis at);
    /// An earlier leader sent the order. `confirmed` tells whether the run is recorded as
    /// confirmed.
    static RunEvidence unobserved(bool confirmed);
    /// A worker has listed a run at that time that this leader did not order there.
    static RunEvidence adopted(Millis at);

    /// Returns what is known once the worker has accepted the order.
    RunEvidence accepted(Millis at) const;
    /// Returns what is known once the worker has listed the run in its answer to a poll
    /// that was sent at `polled_at`.
    RunEvidence listed(Millis at, Millis polled_at) const;
    /// Returns what is known once the worker has restarted: a run there was lost, but the
    /// order may have reached the worker's next incarnation.
    RunEvidence after_restart() const;

    RunExistence existence() const { return m_existence; }
    /// Returns whether the run may exist, so that its task must not be started elsewhere.
    bool may_exist() const { return m_existence != RunExistence::none; }
    bool is_confirmed() const { return m_existence == RunExistence::confirmed; }
    /// Returns whether an earlier leader started the run, at an unknown time.
    bool is_adopted() const { return may_exist() && !m_ordered_here; }
    /// Returns when this leader sent the order, or first learned of an adopted run. The
    /// former run is no older.
    Millis since() const { return m_since; }
    /// Returns when its worker last listed or accepted it.
    Millis last_listed() const { return m_last_listed; }

    /// Returns how long the run is known to have existed until it was last listed; nothing
    /// if that is not known: nothing confirms the run, or an earlier leader started it. An
    /// order may be carried out seconds after it was sent, so the time before the run was
    /// confirmed does not count.
    std::optional<Millis> known_runtime() const;
    /// Returns how long the run has existed at least if it exists now.
    Millis age(Millis now) const;
    /// Returns how long the run existed at least, as far as this leader knows from its
    /// worker: from the first answer that told of it until the last poll that found it
    /// running.
    Millis observed_runtime() const;
    /// Returns the longest time for which the run can have existed if it had ended by
    /// `ended_by`; nothing if an earlier leader started it.
    std::optional<Millis> max_runtime(Millis ended_by) const;

    bool operator==(const RunEvidence& other) const
    {
        return m_existence == other.m_existence && m_ordered_here == other.m_ordered_here
            && m_since == other.m_since && m_confirmed_at == other.m_confirmed_at
            && m_last_listed == other.m_last_listed && m_alive_at == other.m_alive_at;
    }
    bool operator!=(const RunEvidence& other) const { return !(*this == other); }

private:
    RunExistence m_existence = RunExistence::none;
    bool m_ordered_here = false;
    Millis m_since;
    Millis m_confirmed_at; ///< When this leader first knew that it existed; zero before.
    Millis m_last_listed;
    Millis m_alive_at; ///< When the poll was sent that last listed it as running.
};

} // namespace pathport::jobs
