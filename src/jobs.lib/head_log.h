// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leader's writes: one transaction after another, chained by the version of the head
/// row. Each renews the leader's lease; none can take effect after a later one or after a
/// successor's claim.

#pragma once

#include "lifetime.h"
#include "silent_workers.h"
#include "store_writer.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// How long a leader may give orders after the start of its last successful write.
constexpr Millis leader_lease { 2500 };

/// What the head row holds.
struct HeadValue {
    int64_t epoch = 0;
    /// Of the write within the epoch: 0 for a claim, above it for the leader's writes,
    /// below it for the write by which the leader before made this one its successor.
    int64_t number = 0;
    std::string incarnation; ///< Of the writer.
    /// Workers that may run tasks of which no record tells: this leader's orders may
    /// precede their records there, or an earlier leader's did and its tasks are not known
    /// yet.
    std::vector<std::string> unrecorded_task_workers;
    /// Workers at which the leader renews no lease.
    SilentWorkers silent {};

    bool operator==(const HeadValue& other) const
    {
        return epoch == other.epoch && number == other.number
            && incarnation == other.incarnation
            && unrecorded_task_workers == other.unrecorded_task_workers
            && silent == other.silent;
    }
    /// Returns whether it was written by the leader before, on behalf of its successor.
    bool handed_over() const { return number < 0; }
    /// Returns whether `worker` is among those of `unrecorded_on`.
    bool may_run_unrecorded(const std::string& worker) const;
};

/// In place of workers in HeadValue::unrecorded_on: any worker may run such tasks.
inline const char* const any_worker = "*";

std::string encode(const HeadValue& head);
/// Returns what is to be assumed when the head row can't be read.
HeadValue unreadable_head();
std::optional<HeadValue> decode_head(const std::string& text);

/// Gives the present value of rows and hears of the log's fate.
class HeadLogOwner {
public:
    virtual ~HeadLogOwner() = default;

    /// Returns the progress row of `job` as it is to be written; nothing when the row is to
    /// be removed.
    virtual std::optional<std::string> progress_of(const std::string& job) = 0;
    /// Returns the workers that may run tasks without a record until the next write: those
    /// that earlier leaders left, and, when `orders_precede`, all that may be given orders.
    virtual std::vector<std::string> unrecorded_workers(bool orders_precede) = 0;
    /// Returns the workers at which no lease is renewed until a later write leaves them
    /// out.
    virtual SilentWorkers silent_workers() = 0;
    /// A write is in the store; workers that it does not name may be leased to.
    virtual void head_written() = 0;
    /// Orders may precede their records at the workers that the head row names now.
    virtual void early_orders_enabled() = 0;
    /// The head row has been changed by another leader; nothing more can be written.
    virtual void log_fenced() = 0;
};

/// The log.
class HeadLog {
public:
    /// Starts the log after the claim that wrote `head` with `version`, begun at `claimed`.
    HeadLog(EventLoop& loop, JobStore& store, HeadLogOwner& owner, HeadValue head,
            int64_t version, Millis claimed, Mechanisms mechanisms = {});

    /// Has the progress row of `job` written with its value as of the write, which begins
    /// after this call; `done` is called when it is in the store.
    void record(const std::string& job, std::function<void()> done = {});

    /// Calls `done` when all that was handed in for `job` so far is in the store; at once
    /// if it is already.
    void when_recorded(const std::string& job, std::function<void()> done);

    /// Sets what the node's link moves in a second, in bytes; 0 for no bound.
    void set_link_rate(int64_t bytes) { m_link_bytes_per_s = bytes; }

    /// Makes another node the leader by the next write that holds all that waits: it puts
    /// `leader_row` and a head of the next epoch for `incarnation`. Nothing can be written
    /// after it. `done` is called when it has taken effect.
    void hand_over(std::string leader_row, std::string incarnation,
                   std::function<void()> done);
    /// Returns whether the store answers much slower than it should.
    bool slow() const { return m_writer.slow(); }

    /// Returns until when the leader may give orders on the strength of its last write.
    Millis lease_until() const { return m_lease_until; }
    /// Returns whether the store serves this log: the last call was answered, and a write
    /// has taken effect not long ago.
    bool served() const;
    /// Returns whether the store is so slow that orders may precede their records, at the
    /// workers that the head row names.
    bool allows_early_orders() const { return m_committed.early_orders_allowed; }
    /// Returns whether an order to `worker` may be sent before it is recorded: the head row
    /// says so, and no write is under way that denies it.
    bool may_order_early(const std::string& worker) const;
    /// Returns whether a lease may be given to `worker`. A successor goes by the head row
    /// that it finds, so neither that row nor a write under way may name it as silent.
    bool may_lease(const std::string& worker) const;
    /// Has the head row written as soon as the spacing of writes allows.
    void write_soon();
    /// Returns whether everything handed in is in the store.
    bool idle() const { return m_queue.empty() && m_in_flight.empty(); }
    /// Returns the number of rows that wait to be written.
    size_t backlog() const { return m_queue.size() + m_in_flight.size(); }

private:
    struct Entry {
        std::string job;
        std::vector<std::function<void()>> done;
    };

    void schedule(Millis delay);
    void flush();
    void prepare_write();
    void prepare_head();
    void adapt_spacing(Millis filling, size_t bytes);
    void send();
    void answered(const StoreResult& result, Millis asked);
    void committed(int64_t version, Millis asked);
    const StoredRow* own_head(const StoreResult& result) const;
    void handle_fenced();

    EventLoop& m_loop;
    HeadLogOwner& m_owner;
    Mechanisms m_mechanisms;
    HeadValue m_head;
    int64_t m_version;
    Millis m_lease_until;
    Millis m_last_write_start;
    Millis m_spacing; ///< Between the starts of two writes.
    int64_t m_link_bytes_per_s = 0;
    StoreWriter m_writer;
    /// What a write says of orders without a record.
    struct HeadState {
        bool early_orders_allowed = false;
        HeadValue head;
    };
    HeadState m_committed; ///< By the last write that is in the store.
    HeadState m_prepared; ///< By the last write that was filled.
    bool m_served = true;
    bool m_closed = false;
    bool m_sending = false;
    EventLoop::TimerId m_timer = 0;
    Millis m_timer_at;
    std::deque<std::string> m_queue; ///< Jobs to write, each once.
    std::map<std::string, Entry> m_waiting; ///< By job; those in m_queue.
    std::vector<Entry> m_in_flight; ///< In the transaction that is being written.
    /// What the last write of all is to say.
    struct Successor {
        std::string leader_row;
        std::string incarnation;
        std::function<void()> done;
        bool written = false; ///< The write that is being written says it.
    };
    std::optional<Successor> m_successor;
    StoreWrite m_write; ///< The transaction that is being written.
    bool m_pending_write = false; ///< m_write has not been resolved.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
