// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers that other nodes make for a leader, in batches.

#pragma once

#include <pathport/jobs/worker_client.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Kinds of relayed calls.
enum class RelayedKind { start, stop, set_speed, poll };

/// A call to a worker.
struct RelayedCall {
    int64_t number = 0; ///< Identifies the call in its answer; chosen by the leader.
    RelayedKind kind = RelayedKind::poll;
    std::string worker; ///< Id of the addressed incarnation.
    std::string address; ///< Where the worker accepts orders.
    Millis timeout; ///< Time-out of the call to the worker.
    StartOrder start; ///< For a start.
    /// The node to fetch the omitted payload of a start from; empty when the payload is
    /// included, or the relay has had it already.
    std::string payload_source;
    bool payload_omitted = false;
    RunOrder run; ///< For a stop or a speed limit.
    PollRequest poll; ///< For a poll.
};

/// The outcome of a call.
struct RelayedAnswer {
    int64_t number = 0;
    OrderStatus status = OrderStatus::unknown;
    int64_t clock_ms = 0; ///< Worker clock in ms; 0 when there is none.
    bool payload_missing = false; ///< No order was sent, since its payload was not found.
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
