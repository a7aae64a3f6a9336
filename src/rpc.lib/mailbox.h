// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How other threads reach the thread of a PeerHub.

#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace pathport {

/// Work that other threads hand to the hub's thread. The event descriptor wakes its loop.
class Mailbox {
public:
    Mailbox()
        : m_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
    }
    ~Mailbox() { close(m_descriptor); }
    Mailbox(const Mailbox&) = delete;
    Mailbox& operator=(const Mailbox&) = delete;

    int descriptor() const { return m_descriptor; }

    void post(std::function<void()> work)
    {
        bool was_empty = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            was_empty = m_work.empty();
            m_work.push_back(std::move(work));
        }
        if (was_empty)
            signal();
    }

    void signal()
    {
        const uint64_t one = 1;
        // A full counter still wakes the reader, so the result says nothing of use.
        (void)!::write(m_descriptor, &one, sizeof one);
    }

    std::deque<std::function<void()>> take()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::deque<std::function<void()>> work;
        work.swap(m_work);
        return work;
    }

private:
    int m_descriptor;
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_work;
};

} // namespace pathport
