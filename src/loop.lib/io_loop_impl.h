// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Implementation of IoLoop, shared with the HTTP server and client of this library.

#pragma once

#include <pathport/io_loop.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>
#include <unordered_map>

namespace pathport {

class IoLoop::Impl {
public:
    Impl()
        : signals(context)
        , generator(std::random_device {}())
    {
    }

    boost::asio::io_context context { 1 };
    boost::asio::signal_set signals;
    std::mt19937_64 generator;
    std::unordered_map<TimerId, std::unique_ptr<boost::asio::steady_timer>> timers;
    TimerId last_timer = 0;
    SystemClock clock;

    void wait_for_signal(const std::function<void(int)>& handler);
};

} // namespace pathport
