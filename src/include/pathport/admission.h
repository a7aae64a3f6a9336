// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Admission of requests that may not be repeated: each request id is admitted at most once
/// in the whole cell. docs/design/admission.md gives the reasons.

#pragma once

#include <pathport/clock.h>
#include <pathport/failure.h>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pathport {

/// Number of admission ranges. An id belongs to one range by its hash, for ever.
constexpr int admission_ranges = 32;

/// Prefix of the shard names of admission ranges.
constexpr char admission_prefix[] = "admit.";

/// Returns the shard name of admission range `index`.
std::string admission_shard(int index);
/// Returns the index of the admission range that `shard` names, or nothing when it names
/// none.
std::optional<int> admission_range_of(const std::string& shard);
/// Returns the index of the admission range of a request id.
int admission_range(const std::string& request_id);

/// What is decided about an id.
enum class AdmissionVerdict {
    admitted, ///< It was never admitted before, and will never be again.
    duplicate, ///< It was admitted before: it may have run.
    unknown, ///< It may have been admitted by an earlier owner, or is too old to be
             ///< remembered.
    too_new, ///< Its time lies in the future; it was not admitted.
    not_owner, ///< This node does not own the range, or can't decide before the memory of a
               ///< given range has come; it was not admitted.
};

/// Returns the lower-case name of `verdict`.
const char* to_string(AdmissionVerdict verdict);

/// The spans of admission.
struct AdmissionSpans {
    /// How far an id's time may lie ahead of the table's.
    Millis margin { 500 };
    /// How long ids are remembered, by their time. An older id is never admitted.
    Millis memory { 120000 };
    /// How long the memory of a range that was given here is waited for, at least as long
    /// as its last owner repeats it.
    Millis memory_wait { 1500 };
};

/// An id that was admitted, with its time.
struct AdmittedId {
    std::string id;
    Millis time;

    bool operator==(const AdmittedId& other) const
    {
        return id == other.id && time == other.time;
    }
};

/// What an owner knows of a range when it gives it up.
struct RangeMemory {
    /// Ids up to this time may have been admitted by owners before it; 0 when it knows all.
    Millis barrier;
    std::vector<AdmittedId> ids;
};

/// The ids that this node has admitted, by range. Safe from any thread: each range has its
/// own lock.
class AdmissionLedger {
public:
    explicit AdmissionLedger(AdmissionSpans spans)
        : m_spans(spans)
    {
    }

    /// Takes over a range. Ids whose time is not after `barrier` (table time) may have been
    /// admitted by an earlier owner, and are not admitted here.
    void acquire(int range, int64_t epoch, Millis barrier);
    /// Takes over a range that its owner has given, which sends its memory too. `barrier`
    /// counts until the memory comes.
    void acquire_given(int range, int64_t epoch, Millis barrier);
    /// Returns whether the memory of a range that was given here has yet to come, at a time
    /// of the table at which it is still waited for.
    bool awaits_memory(int range, Millis table_earliest) const;
    /// Gives up a range. Returns what is remembered of it; nothing is admitted afterwards,
    /// so that it can be handed to the next owner.
    RangeMemory lose(int range);
    /// Takes in what the owner before `epoch` knew when it gave up the range. The barrier
    /// by which that owner went replaces the one of acquire(), before or after which this
    /// may come.
    void take_memory(int range, int64_t epoch, const RangeMemory& memory);

    /// Decides about `request_id` with time `id_time`. `table_earliest` is the earliest
    /// that the table's clock can show at a moment at which this node held its lease.
    AdmissionVerdict admit(const std::string& request_id, Millis id_time,
                           Millis table_earliest);
    /// Forgets an id that was admitted and that surely did not run, so that it can be sent
    /// again.
    void release(const std::string& request_id);
    /// Drops ids that are too old to be admitted anyway.
    void expire(Millis table_earliest);
    /// Returns how many ids are remembered.
    size_t size() const;

private:
    struct Range {
        bool waits(const AdmissionSpans& spans, Millis table_earliest) const
        {
            return owned && awaits_memory && table_earliest < given + spans.memory_wait;
        }

        mutable std::mutex mutex;
        bool owned = false;
        int64_t epoch = 0;
        /// Of `memory`, which came before the range was acquired, or is this node's own of
        /// a range that it has lost.
        int64_t memory_epoch = 0;
        RangeMemory memory;
        Millis barrier;
        bool awaits_memory = false; ///< Given, and its memory has not come.
        Millis given; ///< By the table's clock, when `awaits_memory`.
        /// The latest table time seen. A thread that was held up can't bring back an age at
        /// which an id, forgotten meanwhile, would have been young enough.
        Millis latest;
        std::unordered_map<std::string, Millis> ids; ///< Id to its time.
    };

    static void take_over(Range& range, int64_t epoch, Millis barrier);

    AdmissionSpans m_spans;
    std::array<Range, admission_ranges> m_ranges;
};

} // namespace pathport
