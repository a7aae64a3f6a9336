// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What may be concluded from how a single call ended, and from a list entry.
///
/// A failed call tells of its path only: a link, a proxy or a port that was closed early
/// may refuse connections to a process that runs on. So no failure shows that a process has
/// ended. An answer by another process in its place does, and of a worker's runs, the end
/// of their leases.

#pragma once

#include <pathport/jobs/peers.h>
#include <pathport/jobs/worker_client.h>

#include <optional>

namespace pathport::jobs {

/// Whether a call took effect.
enum class CallEffect {
    none, ///< It did not, and will not.
    uncertain, ///< It may have, or may yet.
    answered, ///< The answer tells.
};
CallEffect effect_of(OrderStatus status);
CallEffect effect_of(PeerEnd end);

/// What shows that an incarnation of a worker has ended.
enum class EndEvidence {
    other_worker_answered, ///< Another worker answered at its address.
    successor_answered, ///< The next incarnation of its name answered.
    successor_listed, ///< The list names the next incarnation.
};
/// Returns the lower-case name of `evidence`.
const char* to_string(EndEvidence evidence);

/// Returns how an order or a poll that ended like this shows that the addressed incarnation
/// has ended; nothing if it does not.
std::optional<EndEvidence> evidence_of_end(OrderStatus status);

/// Returns whether a list entry of `listed` shows that `known` has ended: a worker has one
/// incarnation at a time. An entry without a start time names none.
bool shows_end(const WorkerIncarnation& listed, const WorkerIncarnation& known);

} // namespace pathport::jobs
