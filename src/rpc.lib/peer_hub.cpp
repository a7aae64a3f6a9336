// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/peer.h>

#include <pathport/log.h>

#include "peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace pathport {

namespace {

// How long a connection that failed to open is not tried again. It keeps a dead peer from
// costing a connection attempt for each request.
constexpr auto reconnect_pause = 200 * kj::MILLISECONDS;
constexpr auto connect_timeout = 500 * kj::MILLISECONDS;
// The memory of an admission range is sent again after a failure, as long as its next owner
// waits for it.
constexpr auto hand_over_retry_pause = 50 * kj::MILLISECONDS;
constexpr auto hand_over_limit = 1500 * kj::MILLISECONDS;
// A stop goes on in rounds until some of them have brought no forward and left none open.
constexpr auto stop_round = 10 * kj::MILLISECONDS;
constexpr int quiet_stop_rounds = 3;
constexpr int longest_stop_rounds = 50;

// A client connection to one peer. It exists while the stream is open.
class PeerLink {
public:
    explicit PeerLink(kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream))
        , m_client(*m_stream)
        , m_peer(m_client.bootstrap().castAs<wire::Peer>())
    {
    }

    wire::Peer::Client& peer() { return m_peer; }
    kj::Promise<void> on_disconnect() { return m_client.onDisconnect(); }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyClient m_client;
    wire::Peer::Client m_peer;
};

/// What the last owner of an admission range tells the next one.
struct HandOver {
    std::string shard;
    int64_t epoch = 0;
    RangeMemory memory;
};

using LinkPromise = kj::Promise<std::shared_ptr<PeerLink>>;
using LinkFork = kj::ForkedPromise<std::shared_ptr<PeerLink>>;

} // namespace

class PeerHub::Impl : private kj::TaskSet::ErrorHandler {
public:
    Impl(Address listen, Millis timeout, PeerHandler& handler)
        : m_listen(std::move(listen))
        , m_timeout(timeout.count() * kj::MILLISECONDS)
        , m_handler(handler)
    {
    }

    bool start(Failure& reason)
    {
        std::promise<std::string> started;
        auto result = started.get_future();
        m_thread = std::thread([this, &started] { run(started); });
        const std::string error = result.get();
        if (error.empty())
            return true;
        m_thread.join();
        reason = Failure(FailureKind::unavailable,
                         "can't listen on " + m_listen.to_string() + ": " + error);
        return false;
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_stopping = true;
        m_mailbox.signal();
        m_thread.join();
    }

    void forward(const std::string& address, const ForwardRequest& request,
                 const std::function<void(ForwardAnswer)>& done)
    {
        m_mailbox.post(
            [this, address, request, done] { start_forward(address, request, done); });
    }

    void beat(const std::string& address, const Beat& beat,
              const std::function<void(std::optional<Beat>)>& done)
    {
        call<std::optional<Beat>>(address, done, [beat](wire::Peer::Client& peer) {
            auto call = peer.beatRequest();
            write(beat, call.initBeat());
            return call.send().then(
                [](auto&& r) { return std::optional<Beat>(read(r.getBeat())); });
        });
    }

    void
    config_since(const std::string& address, int64_t revision,
                 const std::function<void(std::optional<std::vector<ConfigRow>>)>& done)
    {
        using Rows = std::optional<std::vector<ConfigRow>>;
        call<Rows>(address, done, [revision](wire::Peer::Client& peer) {
            auto call = peer.configSinceRequest();
            call.setRevision(revision);
            return call.send().then([](auto&& r) {
                std::vector<ConfigRow> rows;
                for (const auto row : r.getRows())
                    rows.push_back(read(row));
                return Rows(std::move(rows));
            });
        });
    }

    void wake(const std::string& address, const std::vector<std::string>& shards)
    {
        call<bool>(
            address, [](bool) {},
            [shards](wire::Peer::Client& peer) {
                auto call = peer.wakeRequest();
                auto list = call.initShards(static_cast<unsigned>(shards.size()));
                for (unsigned i = 0; i < shards.size(); ++i)
                    list.set(i, shards[i]);
                return call.send().then([](auto&&) { return true; });
            });
    }

    void hand_over(const std::string& address, const std::string& shard, int64_t epoch,
                   const RangeMemory& memory, const std::function<void(bool)>& done)
    {
        const auto message
            = std::make_shared<const HandOver>(HandOver { shard, epoch, memory });
        m_mailbox.post([this, address, message, done] {
            const kj::TimePoint until = m_io->provider->getTimer().now() + hand_over_limit;
            m_tasks->add(hand_over_until(until, address, message)
                             .then([address, message, done](bool taken) {
                                 if (!taken)
                                     log_event(LogLevel::warn, "hand_over_lost",
                                               { { "shard", message->shard },
                                                 { "epoch", message->epoch },
                                                 { "to", address } });
                                 done(taken);
                             }));
        });
    }

    void ask(const std::string& address, const std::string& kind, const std::string& name,
             const std::function<void(std::optional<std::string>)>& done)
    {
        using Text = std::optional<std::string>;
        call<Text>(address, done, [kind, name](wire::Peer::Client& peer) {
            auto call = peer.askRequest();
            call.setKind(kind);
            call.setName(name);
            return call.send().then([](auto&& r) {
                return r.getFound() ? Text(std::string(r.getAnswer().cStr())) : Text();
            });
        });
    }

private:
    void run(std::promise<std::string>& started)
    {
        bool told = false;
        try {
            kj::AsyncIoContext io = kj::setupAsyncIo();
            m_io = &io;
            kj::TaskSet tasks(*this);
            m_tasks = &tasks;
            kj::Own<kj::NetworkAddress> address = io.provider->getNetwork()
                                                      .parseAddress(m_listen.to_string())
                                                      .wait(io.waitScope);
            kj::Own<kj::ConnectionReceiver> receiver = address->listen();
            capnp::TwoPartyServer server(
                kj::heap<PeerServer>(m_handler, m_mailbox, m_taken));
            tasks.add(server.listen(*receiver));
            started.set_value("");
            told = true;
            drain_mailbox(io);
            answer_forwards(io);
            m_links.clear();
            m_tasks = nullptr;
        } catch (const kj::Exception& error) {
            if (!told)
                started.set_value(error.getDescription().cStr());
        }
        m_io = nullptr;
    }

    // Runs the handed-over work until the hub stops.
    void drain_mailbox(kj::AsyncIoContext& io)
    {
        kj::UnixEventPort::FdObserver observer(io.unixEventPort, m_mailbox.descriptor(),
                                               kj::UnixEventPort::FdObserver::OBSERVE_READ);
        while (!m_stopping) {
            uint64_t count = 0;
            if (read_counter(count)) {
                for (const auto& work : m_mailbox.take())
                    work();
                continue;
            }
            observer.whenBecomesReadable().wait(io.waitScope);
        }
    }

    // Before the connections close: takes what peers have sent by now and sends the answers
    // that are known, until no more come.
    void answer_forwards(kj::AsyncIoContext& io)
    {
        int quiet = 0;
        for (int i = 0; i < longest_stop_rounds && quiet < quiet_stop_rounds; ++i) {
            const int64_t taken = m_taken.all;
            for (const auto& work : m_mailbox.take())
                work();
            io.provider->getTimer().afterDelay(stop_round).wait(io.waitScope);
            quiet = m_taken.open == 0 && m_taken.all == taken ? quiet + 1 : 0;
        }
        if (m_taken.open > 0)
            log_event(LogLevel::warn, "forwards_cut_off", { { "requests", m_taken.open } });
    }

    bool read_counter(uint64_t& count) const
    {
        return ::read(m_mailbox.descriptor(), &count, sizeof count) == sizeof count;
    }

    // Returns a promise for the link to `address`, opening it when there is none. It breaks
    // when the peer can't be reached; nothing has been sent then.
    LinkPromise link_to(const std::string& address)
    {
        const auto found = m_links.find(address);
        if (found != m_links.end())
            return found->second.addBranch();
        LinkPromise opened = m_io->provider->getTimer().timeoutAfter(
            connect_timeout,
            m_io->provider->getNetwork()
                .parseAddress(address)
                .then([](kj::Own<kj::NetworkAddress>&& peer) {
                    auto connected = peer->connect();
                    return connected.attach(kj::mv(peer));
                })
                .then([](kj::Own<kj::AsyncIoStream>&& stream) {
                    return std::make_shared<PeerLink>(kj::mv(stream));
                }));
        LinkFork fork = opened.fork();
        m_tasks->add(watch(address, fork.addBranch()));
        return m_links.emplace(address, kj::mv(fork)).first->second.addBranch();
    }

    // Forgets a link once it has closed, or some time after it failed to open.
    kj::Promise<void> watch(const std::string& address, LinkPromise opened)
    {
        return opened
            .then([](const std::shared_ptr<PeerLink>& link) {
                return link->on_disconnect().attach(std::shared_ptr<PeerLink>(link));
            })
            .catch_([this](const kj::Exception&) {
                return m_io->provider->getTimer().afterDelay(reconnect_pause);
            })
            .then([this, address] { m_links.erase(address); });
    }

    void start_forward(const std::string& address, const ForwardRequest& request,
                       const std::function<void(ForwardAnswer)>& done)
    {
        // Set when the call has been handed to an open connection.
        const auto sent = std::make_shared<bool>(false);
        const auto wait = (request.time_left.count() + forward_grace_ms) * kj::MILLISECONDS;
        auto answered
            = link_to(address).then([request, sent](const std::shared_ptr<PeerLink>& link) {
                  auto call = link->peer().forwardRequest();
                  write(request, call.initRequest());
                  *sent = true;
                  return call.send()
                      .then([](auto&& r) { return read(r.getAnswer()); })
                      .attach(std::shared_ptr<PeerLink>(link));
              });
        m_tasks->add(m_io->provider->getTimer()
                         .timeoutAfter(wait, kj::mv(answered))
                         .then([done](ForwardAnswer&& answer) { done(std::move(answer)); },
                               [done, sent](kj::Exception&& error) {
                                   done(lost_forward(*sent, error));
                               }));
    }

    static ForwardAnswer lost_forward(bool sent, const kj::Exception& error)
    {
        ForwardAnswer answer;
        answer.outcome = sent ? RequestOutcome::may_have_run : RequestOutcome::not_run;
        answer.failure
            = Failure(sent ? FailureKind::outcome_unknown : FailureKind::unavailable,
                      std::string("peer: ") + error.getDescription().cStr());
        return answer;
    }

    // Sends the message once. Returns whether the peer has taken it.
    kj::Promise<bool> hand_over_once(const std::string& address,
                                     const std::shared_ptr<const HandOver>& message)
    {
        auto taken
            = link_to(address).then([message](const std::shared_ptr<PeerLink>& link) {
                  auto call = link->peer().handOverRequest();
                  call.setShard(message->shard);
                  call.setEpoch(message->epoch);
                  call.setBarrierMs(message->memory.barrier.count());
                  const auto& ids = message->memory.ids;
                  auto list = call.initIds(static_cast<unsigned>(ids.size()));
                  for (unsigned i = 0; i < ids.size(); ++i) {
                      list[i].setId(ids[i].id);
                      list[i].setTimeMs(ids[i].time.count());
                  }
                  return call.send()
                      .then([](auto&&) { return true; })
                      .attach(std::shared_ptr<PeerLink>(link));
              });
        return m_io->provider->getTimer()
            .timeoutAfter(m_timeout, kj::mv(taken))
            .catch_([](const kj::Exception&) { return false; });
    }

    // Sends the message until the peer has taken it. A peer that has just started may not
    // be reachable yet: a failed attempt to connect to it holds back others for a while.
    kj::Promise<bool> hand_over_until(kj::TimePoint until, const std::string& address,
                                      const std::shared_ptr<const HandOver>& message)
    {
        return hand_over_once(address, message)
            .then([this, until, address, message](bool taken) -> kj::Promise<bool> {
                kj::Timer& timer = m_io->provider->getTimer();
                if (taken || timer.now() >= until)
                    return taken;
                return timer.afterDelay(hand_over_retry_pause)
                    .then([this, until, address, message] {
                        return hand_over_until(until, address, message);
                    });
            });
    }

    // Makes one call on the hub's thread; `done` gets a default value when it fails.
    template <typename Result, typename Send>
    void call(const std::string& address, std::function<void(Result)> done, Send send)
    {
        m_mailbox.post([this, address, done = std::move(done), send = std::move(send)] {
            auto answered
                = link_to(address).then([send](const std::shared_ptr<PeerLink>& link) {
                      return send(link->peer()).attach(std::shared_ptr<PeerLink>(link));
                  });
            m_tasks->add(m_io->provider->getTimer()
                             .timeoutAfter(m_timeout, kj::mv(answered))
                             .then([done](Result&& result) { done(std::move(result)); },
                                   [done](kj::Exception&&) { done(Result()); }));
        });
    }

    void taskFailed(kj::Exception&& exception) override
    {
        log_event(LogLevel::warn, "peer_task_failed",
                  { { "error", exception.getDescription().cStr() } });
    }

    // The receiver gives up at the caller's deadline by itself; its answer travels
    // meanwhile.
    static constexpr int64_t forward_grace_ms = 100;

    Address m_listen;
    kj::Duration m_timeout;
    PeerHandler& m_handler;
    Mailbox m_mailbox;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
    // The rest belongs to the hub's thread.
    kj::AsyncIoContext* m_io = nullptr;
    kj::TaskSet* m_tasks = nullptr;
    std::map<std::string, LinkFork> m_links;
    TakenForwards m_taken;
};

PeerHub::PeerHub(Address listen, Millis timeout, PeerHandler& handler)
    : m_impl(std::make_unique<Impl>(std::move(listen), timeout, handler))
{
}

PeerHub::~PeerHub()
{
    m_impl->stop();
}

bool PeerHub::start(Failure& reason)
{
    return m_impl->start(reason);
}

void PeerHub::stop()
{
    m_impl->stop();
}

void PeerHub::forward(const std::string& address, const ForwardRequest& request,
                      std::function<void(ForwardAnswer)> done)
{
    m_impl->forward(address, request, done);
}

void PeerHub::beat(const std::string& address, const Beat& beat,
                   std::function<void(std::optional<Beat>)> done)
{
    m_impl->beat(address, beat, done);
}

void PeerHub::config_since(const std::string& address, int64_t revision,
                           std::function<void(std::optional<std::vector<ConfigRow>>)> done)
{
    m_impl->config_since(address, revision, done);
}

void PeerHub::wake(const std::string& address, const std::vector<std::string>& shards)
{
    m_impl->wake(address, shards);
}

void PeerHub::hand_over(const std::string& address, const std::string& shard, int64_t epoch,
                        const RangeMemory& memory, std::function<void(bool)> done)
{
    m_impl->hand_over(address, shard, epoch, memory, done);
}

void PeerHub::ask(const std::string& address, const std::string& kind,
                  const std::string& name,
                  std::function<void(std::optional<std::string>)> done)
{
    m_impl->ask(address, kind, name, done);
}

} // namespace pathport
