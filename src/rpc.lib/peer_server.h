// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The calls that a node takes from its peers.

#pragma once

#include "mailbox.h"
#include "peer_wire.h"

#include <pathport/peer.h>

#include <kj/async.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathport {

/// The forwarded requests that a hub has taken from its peers. It belongs to the hub's
/// thread.
struct TakenForwards {
    int64_t all = 0;
    int64_t open = 0; ///< Those that have no answer yet.
};

/// Serves the calls of peers. An answer may come from any thread; it goes back through the
/// mailbox, since promises belong to the hub's thread.
class PeerServer final : public wire::Peer::Server {
public:
    PeerServer(PeerHandler& handler, Mailbox& mailbox, TakenForwards& taken)
        : m_handler(handler)
        , m_mailbox(mailbox)
        , m_taken(taken)
    {
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        ForwardRequest request = read(context.getParams().getRequest());
        auto pair = kj::newPromiseAndFulfiller<ForwardAnswer>();
        // std::function needs a copyable holder.
        const auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<ForwardAnswer>>>(
                kj::mv(pair.fulfiller));
        Mailbox& mailbox = m_mailbox;
        ++m_taken.all;
        ++m_taken.open;
        m_handler.on_forward(std::move(request), [fulfiller, &mailbox](ForwardAnswer a) {
            mailbox.post([fulfiller, a = std::move(a)]() mutable {
                (*fulfiller)->fulfill(std::move(a));
            });
        });
        return pair.promise.then([this, context](ForwardAnswer answer) mutable {
            --m_taken.open;
            write(answer, context.getResults().initAnswer());
        });
    }

    kj::Promise<void> beat(BeatContext context) override
    {
        const Beat answer = m_handler.on_beat(read(context.getParams().getBeat()));
        write(answer, context.getResults().initBeat());
        return kj::READY_NOW;
    }

    kj::Promise<void> configSince(ConfigSinceContext context) override
    {
        const auto rows = m_handler.on_config_since(context.getParams().getRevision());
        auto out = context.getResults().initRows(static_cast<unsigned>(rows.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            write(rows[i], out[i]);
        return kj::READY_NOW;
    }

    kj::Promise<void> wake(WakeContext context) override
    {
        std::vector<std::string> shards;
        for (const auto shard : context.getParams().getShards())
            shards.emplace_back(shard.begin(), shard.size());
        m_handler.on_wake(shards);
        return kj::READY_NOW;
    }

    kj::Promise<void> handOver(HandOverContext context) override
    {
        const auto params = context.getParams();
        RangeMemory memory;
        memory.barrier = Millis(params.getBarrierMs());
        for (const auto one : params.getIds())
            memory.ids.push_back(
                { std::string(one.getId().cStr()), Millis(one.getTimeMs()) });
        m_handler.on_hand_over(std::string(params.getShard().cStr()), params.getEpoch(),
                               memory);
        return kj::READY_NOW;
    }

    kj::Promise<void> ask(AskContext context) override
    {
        const auto params = context.getParams();
        const auto answer = m_handler.on_ask(std::string(params.getKind().cStr()),
                                             std::string(params.getName().cStr()));
        context.getResults().setFound(answer.has_value());
        context.getResults().setAnswer(answer.value_or(""));
        return kj::READY_NOW;
    }

private:
    PeerHandler& m_handler;
    Mailbox& m_mailbox;
    TakenForwards& m_taken;
};

} // namespace pathport
