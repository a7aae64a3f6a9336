// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The event loop of a real process, over Boost.Asio, which stays hidden.

#pragma once

#include <pathport/event_loop.h>

#include <functional>
#include <memory>

namespace pathport {

/// An event loop over the sockets and the clock of this machine.
class IoLoop : public EventLoop {
public:
    IoLoop();
    ~IoLoop() override;
    IoLoop(const IoLoop&) = delete;
    IoLoop& operator=(const IoLoop&) = delete;

    Millis now() const override;
    TimerId after(Millis delay, std::function<void()> work) override;
    void cancel(TimerId timer) override;
    uint64_t random() override;

    /// Calls `handler` with the number of each SIGTERM, SIGINT and SIGHUP; ignores SIGPIPE.
    void on_signals(std::function<void(int)> handler);

    /// Runs until stop() is called.
    void run();
    /// Ends run() soon.
    void stop();

    class Impl;
    /// Returns what the HTTP parts need of it.
    Impl& impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
