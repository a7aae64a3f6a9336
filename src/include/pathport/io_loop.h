// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The event loop of a real process. Boost.Asio is hidden in the implementation.

#pragma once

#include <pathport/event_loop.h>

#include <functional>
#include <memory>

namespace pathport {

/// An event loop on the sockets and the clock of this box.
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

    /// Calls `handler` with the signal number on SIGTERM, SIGINT and SIGHUP; ignores
    /// SIGPIPE.
    void on_signals(std::function<void(int)> handler);

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the callback that is running.
    void stop();

    class Impl;
    /// Returns the implementation, for the HTTP server and client.
    Impl& impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
