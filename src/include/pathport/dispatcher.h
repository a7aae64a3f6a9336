// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The owner's side of a request: the slots of the boxes that this node owns, a queue for
/// each service, early refusal, and the ejection of slow targets.

#pragma once

#include <pathport/clock.h>
#include <pathport/platform.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pathport {

/// A box that this node owns, with the services whose replicas on it take requests.
struct Target {
    BoxInfo box;
    int64_t epoch = 0;
    std::map<std::string, int64_t> services; ///< Service to its replicas on the box.
};

/// What the dispatcher tells its owner.
class DispatchListener {
public:
    virtual ~DispatchListener() = default;

    /// A target refused for a stale epoch or could not be reached; its box needs an
    /// exchange.
    virtual void on_target_trouble(const std::string& box) = 0;
};

/// The limits of dispatching.
struct DispatchLimits {
    /// Longest queue of one service, as a multiple of its slots.
    int64_t queue_per_slot = 16;
    /// Most targets that are ejected at a time, in per cent of all.
    int64_t max_ejected_percent = 34;
    /// How long a target is ejected the first time; each further time twice as long.
    Millis ejection { 2000 };
    /// A target is slow when it takes so many times as long as the median target.
    double slow_factor = 4;
    /// Retries that each new request earns, in thousandths.
    int64_t retry_milli_tokens = 100;
};

/// Sends requests to targets within their limits. Safe from any thread.
class Dispatcher {
public:
    using Done = std::function<void(ForwardAnswer)>;

    /// `targets` and `listener` outlive the dispatcher.
    Dispatcher(const Clock& clock, TargetClient& targets, DispatchListener& listener,
               DispatchLimits limits);

    /// Replaces the set of targets. Requests under way go on.
    void set_targets(const std::vector<Target>& targets);

    /// Takes a request. `done` is called exactly once, from any thread, perhaps before this
    /// returns. A request that can't be answered in its time is refused at once.
    void submit(const ForwardRequest& request, const Done& done);

    /// Answers the requests whose time has passed in a queue. Call it often.
    void expire();

    /// Tells that an exchange with `box` is about to be sent.
    void begin_report(const std::string& box);
    /// Takes in what `box` reported as its running requests; `first` when this is the first
    /// report under a new epoch. What is not this node's own still occupies slots.
    void end_report(const std::string& box, int64_t busy, bool first);

    /// Returns the requests that may be under way for `service` on `box`: this node's own,
    /// and all those there that are not this node's.
    int64_t in_flight(const std::string& box, const std::string& service) const;
    /// Returns the slots on `box` held by requests that are not this node's.
    int64_t foreign(const std::string& box) const;
    /// Returns the load of each service on the boxes of `shard`.
    std::vector<ServiceLoad> loads(const std::string& shard) const;
    /// Returns the load of `service` on all boxes of this node.
    ServiceLoad load(const std::string& service) const;
    /// Returns the number of requests that wait in queues.
    int64_t queued() const;

private:
    struct Waiting {
        ForwardRequest request;
        Done done;
        Millis deadline;
        int tries = 0;
        bool in_doubt = false; ///< Whether an earlier try may have run.
    };
    struct BoxLoad {
        Target target;
        bool present = false; ///< Whether it is in the current set.
        int64_t in_flight = 0;
        std::map<std::string, int64_t> by_service; ///< Of `in_flight`.
        int64_t foreign = 0;
        int64_t doubts = 0; ///< Of `foreign`, what came up since the last begin_report().
        int64_t least_in_flight = 0; ///< Since the last begin_report().
        double mean_ms = 0;
        int64_t samples = 0;
        int failures_in_row = 0;
        Millis ejected_until;
        Millis next_ejection;
    };
    struct ServiceQueue {
        std::deque<Waiting> waiting;
        double mean_ms = 0;
        double deviation_ms = 0; ///< Mean absolute deviation.
        int64_t samples = 0;
    };
    struct Sending {
        std::string box;
        Target target;
        Waiting waiting;
    };
    using Finals = std::vector<std::pair<Done, ForwardAnswer>>;

    static ForwardAnswer final_answer(const Waiting& waiting, const ForwardAnswer& answer);

    BoxLoad* pick_box(const std::string& service);
    int64_t slots_of(const std::string& service) const;
    static Millis likely_service_time(const ServiceQueue& queue);
    Millis expected_wait(const std::string& service, const ServiceQueue& queue) const;
    Millis retry_after(const std::string& service, const ServiceQueue& queue) const;
    void take_sendings(std::vector<Sending>& sendings);
    void send(std::vector<Sending> sendings);
    void on_answer(const std::string& box, const Waiting& waiting, Millis sent,
                   const ForwardAnswer& answer);
    bool should_retry(const Waiting& waiting, const ForwardAnswer& answer);
    void learn(BoxLoad& box, ServiceQueue& queue, Millis took, const ForwardAnswer& answer);
    void eject(BoxLoad& box);
    double median_ms() const;

    const Clock& m_clock;
    TargetClient& m_targets;
    DispatchListener& m_listener;
    DispatchLimits m_limits;
    mutable std::mutex m_mutex;
    std::map<std::string, BoxLoad> m_boxes;
    std::map<std::string, ServiceQueue> m_queues;
    int64_t m_retry_milli_tokens = 10000;
    size_t m_turn = 0;
};

} // namespace pathport
