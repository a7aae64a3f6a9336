// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test fixture: a leader whose calls to workers go through one relay.

#pragma once

#include "relayed_workers.h"
#include "worker_relay.h"

#include <pathport/emulator/virtual_loop.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Accepts and records each start; polls are answered by the test.
class CountingWorkerClient : public WorkerClient {
public:
    std::vector<StartOrder> starts;
    int stops = 0;
    std::vector<std::function<void(OrderStatus, std::optional<PollReport>)>> polls;
    bool silent = false;

    void start(const WorkerInfo&, const StartOrder& order, Millis,
               std::function<void(OrderAnswer)> done) override
    {
        starts.push_back(order);
        if (!silent)
            done({ OrderStatus::accepted, 7 });
    }
    void stop(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)> done) override
    {
        ++stops;
        done({ OrderStatus::accepted, 7 });
    }
    void set_speed(const WorkerInfo&, const RunOrder&, Millis,
                   std::function<void(OrderAnswer)>) override
    {
    }
    void poll(const WorkerInfo&, const PollRequest&, Millis,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        polls.push_back(std::move(done));
    }
};

/// Delivers messages to the relays in `relays`.
class FakePeerClient : public PeerClient {
public:
    explicit FakePeerClient(EventLoop& loop)
        : m_loop(loop)
    {
    }
    std::map<std::string, WorkerRelay*> relays;
    std::map<std::string, std::string> payloads; ///< Payloads at the acceptor "a", by job.
    std::vector<PeerRequest> sent;
    bool refuses = false;
    bool drops = false;
    bool drops_next = false; ///< Drops the next message, as a dead connection does.

    void send(const std::string& address, const PeerRequest& request, Millis timeout,
              PeerReply done) override
    {
        sent.push_back(request);
        if (refuses) {
            m_loop.after(Millis(1), [done] { done(PeerEnd::refused, {}); });
            return;
        }
        if (drops || drops_next) {
            drops_next = false;
            m_loop.after(timeout, [done] { done(PeerEnd::silent, {}); });
            return;
        }
        if (request.topic == PeerTopic::job_payload) {
            PeerAnswer answer;
            const auto found = payloads.find(request.job);
            answer.served = found != payloads.end();
            if (answer.served)
                answer.row = found->second;
            m_loop.after(Millis(1), [done, answer] { done(PeerEnd::answered, answer); });
            return;
        }
        const auto message = decode_peer_request(encode(request));
        relays.at(address)->handle(*message, [this, done](const PeerAnswer& answer) {
            const auto decoded = decode_peer_answer(encode(answer));
            m_loop.after(Millis(1), [done, decoded] { done(PeerEnd::answered, *decoded); });
        });
    }

private:
    EventLoop& m_loop;
};

/// A leader whose link is so slow that each call goes through the relay "r".
struct RelayFixture {
    emulator::World world { 1 };
    emulator::ProcessLoop loop { world };
    emulator::ProcessLoop relay_loop { world };
    CountingWorkerClient direct_client; ///< Used by the leader for direct calls.
    CountingWorkerClient relay_client; ///< Used by the relay.
    FakePeerClient peers { loop };
    PayloadCache payloads { 100000 };
    std::unique_ptr<WorkerRelay> relay;
    RelayedWorkers workers;
    int accepted = 0;
    int unknown = 0;

    RelayFixture()
        : workers(loop, direct_client, peers, NodeCapacity { 1000, 1 }, leader())
    {
        restart("one");
        workers.begin_epoch(5, {}, {});
        workers.set_nodes({ { "r", { 1000, 0 } } });
        // The load estimate needs some time.
        for (int i = 0; i < 10; ++i) {
            start("warm" + std::to_string(i), "p");
            world.run_for(Millis(200));
        }
        BOOST_TEST(workers.relay_count() == 1U);
        direct_client.starts.clear();
        relay_client.starts.clear();
        peers.sent.clear();
        accepted = 0;
        unknown = 0;
    }
    static PeerRequest leader()
    {
        PeerRequest request;
        request.node = "leader";
        request.address = "l";
        request.incarnation = "leader-1";
        return request;
    }
    void restart(const std::string& incarnation)
    {
        relay = std::make_unique<WorkerRelay>(relay_loop, relay_client, peers, payloads,
                                              "r", incarnation);
        peers.relays["r"] = relay.get();
    }
    void start(const std::string& job, const std::string& payload)
    {
        WorkerInfo worker;
        worker.id = "w1";
        worker.address = "1.2.3.4:5";
        StartOrder order;
        order.task = { job, 0, 0, 0 };
        order.run = 3;
        order.fence = 9;
        order.payload = payload;
        order.ticket = "t";
        order.checkpoint = "c";
        order.lease_until = 1234;
        workers.start(worker, order, Millis(200), [this](const OrderAnswer& answer) {
            accepted += answer.status == OrderStatus::accepted ? 1 : 0;
            unknown += answer.status == OrderStatus::unknown ? 1 : 0;
        });
    }
};

} // namespace pathport::jobs
