// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leader's write log: a sequence of transactions, each conditional on the version of
/// the head row that the previous one wrote. Each write renews the leader's lease; none can
/// take effect after a later write or after a successor's claim.

#pragma once

#include "lifetime.h"
#include "silent_workers.h"
#include "store_writer.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// How long a leader may send orders, counted from the start of its last successful write.
constexpr Millis leader_lease { 2500 };

/// Content of the head row.
struct HeadValue {
    int64_t epoch = 0;
    /// Number of the write within the epoch: 0 for a claim, positive for the leader's
    /// writes, negative for the write by which the previous leader made this one its
    /// successor.
    int64_t number = 0;
    std::string incarnation; ///< Process that wrote the row.
    /// Workers that may run tasks without a record: this leader may send orders there
    /// before it records them, or an earlier leader did and its tasks are not known yet.
    std::vector<std::string> unrecorded_task_workers;
    /// Workers whose lease the leader does not renew.
    SilentWorkers silent {};
    /// How late the leader's timers ran lately; it writes the row that much less often.
    Millis lateness {};

    bool operator==(const HeadValue& other) const
    {
        return epoch == other.epoch && number == other.number
            && incarnation == other.incarnation
            && unrecorded_task_workers == other.unrecorded_task_workers
            && silent == other.silent && lateness == other.lateness;
    }
    /// Returns whether the previous leader wrote it on behalf of its successor.
    bool handed_over() const { return number < 0; }
    /// Returns whether `worker` may run tasks without a record.
    bool may_run_unrecorded(const std::string& worker) const;
};

/// In HeadValue::unrecorded_task_workers: any worker may run such tasks.
inline const char* const any_worker = "*";

/// Maximum size of the lists of workers in the head row, in bytes: a row less what else the
/// head row holds.
constexpr size_t max_head_list_bytes = max_row_bytes - 512;
/// Returns the bytes that the worker takes in HeadValue::unrecorded_task_workers.
inline size_t bytes_in_head(const std::string& worker)
{
    constexpr size_t quotes_and_comma = 3;
    return worker.size() + quotes_and_comma;
}

std::string encode(const HeadValue& head);
/// Returns the content to assume if the head row can't be decoded.
HeadValue unreadable_head();
std::optional<HeadValue> decode_head(const std::string& text);

/// Provides the current values of rows and receives the log's events.
class HeadLogOwner {
public:
    virtual ~HeadLogOwner() = default;

    /// Returns the value to write to the progress row of `job`, or nothing to remove the
    /// row.
    virtual std::optional<std::string> progress_of(const std::string& job) = 0;
    /// Returns the workers that may run tasks without a record until the next write: those
    /// inherited from earlier leaders and, if `early_orders`, those that may get orders. Of
    /// the latter it returns as many as fit into `max_bytes` together with the former
    /// (bytes_in_head()).
    virtual std::vector<std::string> unrecorded_workers(bool early_orders, size_t max_bytes)
        = 0;
    /// Returns the workers whose lease is not renewed until a later write omits them.
    virtual SilentWorkers silent_workers() = 0;
    /// Called after a write took effect; workers that it does not list may get leases.
    virtual void head_written() = 0;
    /// Called when orders may be sent before they are recorded, to the workers that the
    /// head row lists now.
    virtual void early_orders_enabled() = 0;
    /// Called when another leader has changed the head row, so nothing more can be written.
    virtual void log_fenced() = 0;
};

/// The leader's write log.
class HeadLog {
public:
    /// Starts the log after the claim that was sent at `claimed` and wrote `head` at
    /// `version`.
    HeadLog(EventLoop& loop, JobStore& store, HeadLogOwner& owner, HeadValue head,
            int64_t version, Millis claimed, Mechanisms mechanisms = {});

    /// Schedules a write of the progress row of `job`, with its value at the time of the
    /// write, which starts after this call; `done` is called once it is stored.
    void record(const std::string& job, std::function<void()> done = {});

    /// Calls `done` once all previous calls of record() for `job` are stored; at once if
    /// they are already.
    void when_recorded(const std::string& job, std::function<void()> done);

    /// Sets the bandwidth of the node's link in bytes per second; 0 for unlimited.
    void set_link_rate(int64_t bytes) { m_link_bytes_per_s = bytes; }

    /// Makes another node the leader with the next write that contains all pending rows, or
    /// that leaves out more than half as many as the one before: it also writes
    /// `leader_row` and a head of the next epoch for `incarnation`. Nothing can be written
    /// after it. `done` is called when it has taken effect.
    void hand_over(std::string leader_row, std::string incarnation,
                   std::function<void()> done);
    /// Withdraws hand_over(), whose `done` is not called then. Returns false if a write
    /// that names the successor has been sent.
    bool withdraw_successor();
    /// Returns whether the store is much slower than normal.
    bool slow() const { return m_writer.slow(); }
    /// Returns how late this log's timer ran lately.
    Millis lateness() const { return m_lateness; }
    /// Returns the smoothed time from a write to the reading of its reply.
    Millis write_latency() const { return m_writer.latency(); }

    /// Returns until when the leader may send orders because of its last write.
    Millis lease_until() const { return m_lease_until; }
    /// Returns whether the store serves this log: the last call was answered and a write
    /// took effect recently.
    bool served() const;
    /// Returns whether orders may be sent before they are recorded, because the store is
    /// slow, to the workers that the head row lists.
    bool allows_early_orders() const { return m_committed.early_orders_allowed; }
    /// Returns whether an order to `worker` may be sent before it is recorded: the head row
    /// allows it, and no write in flight revokes it.
    bool may_order_early(const std::string& worker) const;
    /// Returns whether `worker` may get a lease. A successor relies on the head row that it
    /// finds, so neither that row nor a write in flight may list the worker as silent.
    bool may_lease(const std::string& worker) const;
    /// Schedules a write of the head row as soon as the spacing of writes allows.
    void write_soon();
    /// Returns how long it takes at present until a row is stored, from record() on; 0
    /// while the store is slow.
    Millis record_time() const;
    /// Returns whether all rows are stored.
    bool idle() const { return m_queue.empty() && m_in_flight.empty(); }
    /// Returns the number of jobs whose rows the store has rejected for good.
    size_t rejected_rows() const { return m_rejected.size(); }
    /// Returns the number of rows that are not stored yet.
    size_t backlog() const { return m_queue.size() + m_in_flight.size(); }

private:
    struct Entry {
        std::string job;
        Millis requested_at;
        std::vector<std::function<void()>> done;
    };

    void schedule(Millis delay);
    void note_lateness(Millis late);
    void flush();
    void prepare_write();
    void prepare_head();
    bool falls_behind();
    void adapt_spacing(Millis preparation, size_t bytes);
    void send();
    void answered(const StoreResult& result, Millis sent_at);
    void rejected();
    void requeue_in_flight();
    bool is_rejected(const std::string& job, const std::optional<std::string>& value) const;
    void committed(int64_t version, Millis sent_at);
    void note_unserved();
    void note_served(Millis sent_at);
    const StoredRow* own_head(const StoreResult& result) const;
    void handle_fenced();
    Millis age_of_records() const;

    EventLoop& m_loop;
    HeadLogOwner& m_owner;
    Mechanisms m_mechanisms;
    HeadValue m_head;
    HeadValue m_head_before; ///< Before the write that is pending was prepared.
    int64_t m_version;
    size_t m_row_limit; ///< Maximum number of rows in the next write.
    size_t m_max_list_bytes = max_head_list_bytes;
    /// By job: size of a value that the store has rejected, in bytes.
    std::map<std::string, size_t> m_rejected;
    Millis m_lease_until;
    Millis m_last_write_start;
    Millis m_spacing; ///< Between the starts of two writes.
    int64_t m_link_bytes_per_s = 0;
    StoreWriter m_writer;
    /// What a write allows about orders without a record.
    struct HeadState {
        bool early_orders_allowed = false;
        HeadValue head;
    };
    HeadState m_committed; ///< Of the last write that took effect.
    HeadState m_prepared; ///< Of the last write that was prepared.
    bool m_served = true;
    Millis m_unserved_since; ///< When a write first failed, if none was stored since.
    bool m_closed = false;
    bool m_sending = false;
    EventLoop::TimerId m_timer = 0;
    Millis m_timer_at;
    std::deque<std::string> m_queue; ///< Jobs to write, without duplicates.
    std::map<std::string, Entry> m_waiting; ///< Entries of the jobs in m_queue.
    std::vector<Entry> m_in_flight; ///< Entries of the transaction that is being written.
    Millis m_record_time; ///< Smoothed.
    Millis m_lateness; ///< Of the timer; the last values count most.
    /// The successor to which the last write hands over.
    struct Successor {
        std::string leader_row;
        std::string incarnation;
        std::function<void()> done;
        bool written = false; ///< The present transaction contains it.
        /// Number of rows that the last write left out.
        size_t rows_waiting = std::numeric_limits<size_t>::max();
    };
    std::optional<Successor> m_successor;
    StoreWrite m_write; ///< The transaction that is being written.
    bool m_pending_write = false; ///< The outcome of m_write is not known yet.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
