// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Writes to the store whose answers may be lost or late.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>

#include <memory>

namespace pathport::jobs {

/// Sends one transaction at a time. When no answer comes for several times the usual
/// latency, it reads the first row that the transaction puts. If that is there, the caller
/// is told; if the read was quick and it isn't, the answer counts as lost; if the read is
/// slow too, the store is slow, and the row is read again until the answer comes.
///
/// A row that is there proves nothing of the transaction's other rows: an earlier write of
/// the same row, done late, or another node may have put it. So such a result is `unknown`
/// with that row, and only a caller whose first row is of this transaction alone may
/// conclude that the whole of it took effect.
class StoreWriter {
public:
    StoreWriter(EventLoop& loop, JobStore& store, Mechanisms mechanisms = {});

    /// Runs `write`. `done` is called exactly once, later. `unknown` means that the write
    /// may have been done or may still be done; its `rows` hold the first put as it was
    /// read from the store, or nothing. The caller sends again what it doesn't know to be
    /// there; the checks let it take effect once at most.
    void send(const StoreWrite& write, StoreReply done);

    /// Returns whether the store answers much slower than it should.
    bool slow() const { return m_latency_ms > slow_latency_ms; }

private:
    struct Call {
        StoreReply done;
        RowPut first_put;
        Millis asked;
        int probes_open = 0; ///< Reads of the row without an answer.
        bool ended = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    /// Answers slower than this, on average, make a store slow.
    static constexpr int64_t slow_latency_ms = 60;

    void probe(const CallPtr& call);
    void probe_later(const CallPtr& call, Millis delay);
    void probed(const CallPtr& call, const StoreResult& result, Millis asked);
    void answered(const CallPtr& call, const StoreResult& result);
    void finish(const CallPtr& call, const StoreResult& result);

    EventLoop& m_loop;
    JobStore& m_store;
    Mechanisms m_mechanisms;
    int64_t m_latency_ms = 10; ///< Smoothed.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
