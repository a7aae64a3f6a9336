// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers that a leader has other nodes make, in batches.

#pragma once

#include <pathport/jobs/worker_client.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// What a relayed call does at its worker.
enum class RelayedKind { start, stop, set_speed, poll };

/// One call.
struct RelayedCall {
    int64_t number = 0; ///< Names the call in its answer; the leader's own.
    RelayedKind kind = RelayedKind::poll;
    std::string worker; ///< The life that is meant.
    std::string address; ///< Where it takes orders.
    Millis timeout; ///< How long its answer is waited for.
    StartOrder start; ///< For a start.
    /// The node that has the payload of the start, which is left out then; empty when the
    /// payload is there, or the relay has had it already.
    std::string payload_source;
    bool payload_omitted = false;
    RunOrder run; ///< For a stop or a pace.
    PollRequest poll; ///< For a look.
};

/// What became of one call.
struct RelayedAnswer {
    int64_t number = 0;
    OrderStatus status = OrderStatus::unknown;
    int64_t clock_ms = 0; ///< The worker's clock; 0 when there is none.
    bool payload_missing = false; ///< No order was given, since its payload wasn't found.
    std::optional<PollReport> report;
};

/// Encodes calls for the wire (JSON).
std::string encode(const std::vector<RelayedCall>& calls);
/// Decodes calls; returns nothing when one of them is malformed.
std::optional<std::vector<RelayedCall>> decode_relayed_calls(const std::string& text);
/// Encodes answers for the wire (JSON).
std::string encode(const std::vector<RelayedAnswer>& answers);
/// Decodes answers; returns nothing when one of them is malformed.
std::optional<std::vector<RelayedAnswer>> decode_relayed_answers(const std::string& text);

} // namespace pathport::jobs
