// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Writes to a store whose replies may be lost or late.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>

#include <memory>

namespace pathport::jobs {

/// A store with a higher smoothed latency counts as slow.
constexpr Millis slow_store_latency { 60 };

/// Sends one transaction at a time. If no reply arrives within several times the usual
/// latency, it reads the first row that the transaction puts. If that row is there, the
/// result is returned to the caller; if it is missing and the read was fast, the reply is
/// considered lost; if the read is slow too, the store is slow, and the row is read
/// repeatedly until a reply arrives.
///
/// The presence of the first row proves nothing about the transaction's other rows: an
/// earlier write of the same row that was executed late, or another node, may have put it.
/// Such a result is therefore `unknown` with that row, and only a caller whose first row is
/// unique to this transaction may conclude that the whole transaction took effect.
class StoreWriter {
public:
    StoreWriter(EventLoop& loop, JobStore& store, Mechanisms mechanisms = {});

    /// Runs `write`. `done` is called exactly once, after this call returns. `unknown`
    /// means that the write may have been executed or may still be; `rows` then holds the
    /// first put as read from the store, or nothing. The caller resends what it does not
    /// know to be stored; the checks ensure that it takes effect at most once.
    void send(const StoreWrite& write, StoreReply done);

    /// Returns whether the store is much slower than normal.
    bool slow() const { return latency() > slow_store_latency; }
    /// Returns the smoothed time from a call to the reading of its reply.
    Millis latency() const { return Millis(m_latency_ms); }

private:
    struct Call {
        StoreReply done;
        RowPut first_put;
        Millis sent_at;
        int probes_open = 0; ///< Reads of the row without a reply.
        bool ended = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void probe(const CallPtr& call);
    void probe_later(const CallPtr& call, Millis delay);
    void probed(const CallPtr& call, const StoreResult& result, Millis sent_at);
    void answered(const CallPtr& call, const StoreResult& result);
    void finish(const CallPtr& call, const StoreResult& result);

    EventLoop& m_loop;
    JobStore& m_store;
    Mechanisms m_mechanisms;
    int64_t m_latency_ms = 10; ///< Smoothed.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
