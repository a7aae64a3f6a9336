// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The socket of a listener that cpprestsdk keeps to itself.

#pragma once

#include <pathport/settings.h>

namespace pathport {

/// A listening socket of this process. The library that owns it can only close it, and with
/// it the connections that wait to be accepted; their callers may have sent requests.
class ListeningSocket {
public:
    /// Finds the socket that listens on `address`. Without one the calls below do nothing.
    explicit ListeningSocket(const Address& address);

    /// Lets no new connection begin. Those that have begun can still be accepted; callers
    /// that try to connect meanwhile get no answer.
    void drop_new_connections() const;
    /// Returns whether connections wait to be accepted.
    bool has_waiting_connections() const;
    /// Refuses connections from now on, also those that wait to be accepted.
    void refuse_connections() const;

private:
    int m_descriptor = -1;
};

} // namespace pathport
