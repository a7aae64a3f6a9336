// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The way of a caller's request: admission when it may not be repeated, the choice of a
/// node that owns replicas of its service, and what is tried again.

#pragma once

#include <pathport/admission.h>
#include <pathport/clock.h>
#include <pathport/peer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pathport {

/// A node that owns replicas of a service.
struct Route {
    std::string node;
    std::string address; ///< For peers; empty for this node itself.
    bool same_region = false;
    int64_t slots = 0;
    int64_t load = 0; ///< Requests in flight and in its queue.
    int64_t report = 0; ///< Raised with each report of that node's load.
};

/// Who decides about a request id.
struct AdmissionOwner {
    std::string node;
    std::string address; ///< Empty for this node itself.
};

/// What the router sees of the cell.
class RouteView {
public:
    virtual ~RouteView() = default;

    /// Returns the nodes that own replicas of `service` and that answer at present.
    virtual std::vector<Route> routes(const std::string& service) const = 0;
    /// Returns the owner of an admission range, or nothing.
    virtual std::optional<AdmissionOwner> admission_owner(int range) const = 0;
};

/// Where the router sends requests on.
class RequestSink {
public:
    virtual ~RequestSink() = default;

    /// Gives a request to this node's own replicas.
    virtual void dispatch_here(const ForwardRequest& request,
                               std::function<void(ForwardAnswer)> done)
        = 0;
    /// Decides about a request's id on this node.
    virtual AdmissionVerdict admit_here(const ForwardRequest& request) = 0;
    /// Forgets the id of a request that surely did not run.
    virtual void release_here(const ForwardRequest& request) = 0;
    /// Sends a request to a peer.
    virtual void forward(const std::string& address, const ForwardRequest& request,
                         std::function<void(ForwardAnswer)> done)
        = 0;
};

/// Routes requests. Safe from any thread.
class Router {
public:
    using Done = std::function<void(ForwardAnswer)>;

    /// `view` and `sink` outlive the router.
    Router(const Clock& clock, const RouteView& view, RequestSink& sink, uint64_t seed);

    /// Carries a request to a target; `done` is called exactly once.
    void route(const ForwardRequest& request, const Done& done);

    /// Handles a request that a peer sent for this node to admit.
    void admit_and_route(const ForwardRequest& request, const Done& done);

private:
    struct Attempt {
        ForwardRequest request;
        Done done;
        Millis deadline;
        int tries = 0;
        std::vector<std::string> tried;
        bool in_doubt = false; ///< Whether an earlier try may have run.
    };

    void start(const ForwardRequest& request, const Done& done);
    void attempt(Attempt attempt);
    void on_answer(Attempt attempt, const std::string& node, const ForwardAnswer& answer);
    static void finish(const Attempt& attempt, const ForwardAnswer& answer);
    std::optional<Route> choose(const Attempt& attempt);
    bool take_retry_token();
    double pressure(const Route& route) const;

    const Clock& m_clock;
    const RouteView& m_view;
    RequestSink& m_sink;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    int64_t m_retry_milli_tokens = 10000;
    struct Outstanding {
        int64_t report = 0;
        int64_t sent = 0; ///< Requests sent since that report.
    };
    std::map<std::string, Outstanding> m_outstanding; ///< By node.
};

} // namespace pathport
