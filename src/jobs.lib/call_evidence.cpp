// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "call_evidence.h"

namespace pathport::jobs {

CallEffect effect_of(OrderStatus status)
{
    switch (status) {
    case OrderStatus::refused:
    case OrderStatus::unreachable:
        return CallEffect::none;
    case OrderStatus::unknown:
        return CallEffect::uncertain;
    default:
        return CallEffect::answered;
    }
}

CallEffect effect_of(PeerEnd end)
{
    switch (end) {
    case PeerEnd::refused:
        return CallEffect::none;
    case PeerEnd::silent:
        return CallEffect::uncertain;
    case PeerEnd::answered:
        break;
    }
    return CallEffect::answered;
}

const char* to_string(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::other_worker_answered:
        return "other_worker_answered";
    case EndEvidence::successor_answered:
        return "successor_answered";
    case EndEvidence::successor_listed:
        break;
    }
    return "successor_listed";
}

std::optional<EndEvidence> evidence_of_end(OrderStatus status)
{
    switch (status) {
    case OrderStatus::wrong_incarnation:
        return EndEvidence::other_worker_answered;
    case OrderStatus::replaced:
        return EndEvidence::successor_answered;
    default:
        return std::nullopt;
    }
}

bool shows_end(const WorkerIncarnation& listed, const WorkerIncarnation& known)
{
    return listed.name == known.name && listed.started_ms != 0
        && listed.started_ms != known.started_ms;
}

} // namespace pathport::jobs
