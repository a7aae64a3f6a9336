# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Loopback addresses of one soak. Each daemon sees everything else under addresses of its own, so
that proxy and stand-in tell daemons apart by the address that was connected to.

The listeners are bound to all addresses and turn away peers outside 127.0.0.0/8."""

import re
import socket

FIRST_BASE, LAST_BASE, BASE_STEP = 10000, 32000, 1000  # Below those of outgoing connections.
CLAIM = 999  # The port that marks a range as taken.
DAEMON_NET = 200
FIRST_DAEMON = 100
WORKERS_PER_NET = 250


# The address of a daemon, as itself or as another one knows it.
DAEMON_ADDRESS = re.compile(rb"127\.\d{3}\.200\.(\d{3}):(\d{5})")


def claim(port):
    """Returns a socket that holds a port, or nothing when another program has it."""
    holder = socket.socket()
    try:
        holder.bind(("0.0.0.0", port))
    except OSError:
        holder.close()
        return None
    return holder


def is_free(port):
    """Whether a listener may be opened; connections that have ended don't count."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
        return True


def is_loopback(address):
    return address.startswith("127.")


class Plan:
    """Which address and port stands for what. Daemons and workers count from 1."""

    def __init__(self, base):
        self.clients, self.readiness, self.peers, self.metrics = range(base, base + 4)
        self.control, self.store, self.advice = range(base + 4, base + 7)
        self.proxied_store, self.proxied_advice = base + 7, base + 8
        self.base = base
        self.holder = None

    @staticmethod
    def find():
        """Returns a plan whose ports are free; while it lives, no other soak gets them."""
        for base in range(FIRST_BASE, LAST_BASE, BASE_STEP):
            holder = claim(base + CLAIM)
            if holder is None:
                continue
            if all(is_free(base + i) for i in (*range(9), 101, 211, 611)):
                plan = Plan(base)
                plan.holder = holder
                return plan
            holder.close()
        raise RuntimeError("no free range of ports")

    def daemon_ip(self, daemon, view=0):
        """Where a daemon listens; with a view, where the daemon of that number finds it."""
        return f"127.{FIRST_DAEMON + view}.{DAEMON_NET}.{FIRST_DAEMON + daemon}"

    @staticmethod
    def view_prefix(view):
        """How all addresses begin under which a daemon finds others."""
        return b"127.%d." % (FIRST_DAEMON + view)

    def service_ip(self, view):
        """Where a daemon finds store and advice."""
        return f"127.{FIRST_DAEMON + view}.201.1"

    def worker_ip(self, worker, view):
        return (f"127.{FIRST_DAEMON + view}.{1 + worker // WORKERS_PER_NET}."
                f"{1 + worker % WORKERS_PER_NET}")

    def proxied_peer(self, daemon):
        return self.base + 100 + daemon

    def worker_port(self, worker):
        """Where a worker really listens."""
        return self.base + 210 + worker

    def proxied_worker(self, worker):
        return self.base + 610 + worker

    @staticmethod
    def view_of(ip):
        """Returns the number of the daemon that connected to this address; 0 if none."""
        return int(ip.split(".")[1]) - FIRST_DAEMON

    def translate(self, data, view):
        """Turns addresses of daemons in a message into those that this daemon knows them by."""
        real = b"%d" % self.peers

        def translated(found):
            daemon = int(found.group(1)) - FIRST_DAEMON
            port = found.group(2)
            if port != real and int(port) != self.proxied_peer(daemon):
                return found.group(0)
            if daemon == view:
                return f"{self.daemon_ip(daemon)}:{self.peers}".encode()
            return f"{self.daemon_ip(daemon, view)}:{self.proxied_peer(daemon)}".encode()

        return DAEMON_ADDRESS.sub(translated, data)
