# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""TCP proxies between daemons and the stand-in and among daemons, with troubles on their links.

A link runs from a daemon (its view) to a service of one kind and number. A cut direction holds
its bytes back until the cut ends; they are lost if an end closes meanwhile, unless the trouble
delivers late. A connection that went silent holds back everything for good, in both directions:
bytes, its end and a reset by either side. A refused connection meets no listener, so its caller sees
what it sees of a closed port."""

import asyncio
import re
from dataclasses import dataclass

from .addresses import is_loopback
from .http1 import reset

READ_BYTES = 65536
POLL_S = 0.01
SPLIT_ADDRESS = re.compile(rb"127[.\d:]{0,20}$")
SPLIT_WAIT_S = 0.005
REFUSING = ("refuse", "refuse_new")


@dataclass
class LinkTrouble:
    """A trouble on all links that match; 0 and the empty text match all.

    how: 'delay' (by delay_s), 'reset', 'cut_to' (towards the service), 'cut_from', 'silence',
    'refuse' (resets open connections too), 'refuse_new' (open ones go on)."""
    how: str
    view: int = 0
    kind: str = ""
    number: int = 0
    delay_s: float = 0
    late: bool = False
    peer_side: int = 0  # Cuts this daemon from its peers: as caller and as called.

    def matches(self, link):
        if self.peer_side:
            return link.kind == "peer" and self.peer_side in (link.view, link.number)
        return (self.view in (0, link.view) and self.kind in ("", link.kind)
                and self.number in (0, link.number))


@dataclass(frozen=True)
class Link:
    """From a daemon to a service: store, advice, peer or worker, the last two with a number."""
    view: int
    kind: str
    number: int


class Connection:
    """One proxied connection."""

    def __init__(self, link, reader, writer, proxies):
        self.link, self.proxies = link, proxies
        self.reader, self.writer = reader, writer
        self.far_writer = None
        self.silent = False

    def held(self, outward):
        cut = "cut_to" if outward else "cut_from"
        return any(t.how in (cut, "silence") for t in self.troubles())

    def troubles(self):
        return [t for t in self.proxies.troubles if t.matches(self.link)]

    def delay(self):
        return max((t.delay_s for t in self.troubles() if t.how == "delay"), default=0)

    def late(self):
        return any(t.late for t in self.troubles())

    async def run(self, host, port):
        try:
            far_reader, self.far_writer = await asyncio.open_connection(host, port)
        except OSError:
            self.reset()
            return
        outward = asyncio.ensure_future(
            self.pump(self.reader, self.far_writer, True, self.link.number))
        inward = asyncio.ensure_future(
            self.pump(far_reader, self.writer, False, self.link.view))
        for task in (outward, inward):  # A reset ends the connection like its end.
            task.add_done_callback(lambda task: task.cancelled() or task.exception())
        _, pending = await asyncio.wait([outward, inward], return_when=asyncio.FIRST_COMPLETED)
        await self.unless_silent()
        for task in pending:
            task.cancel()
        await asyncio.gather(outward, inward, return_exceptions=True)
        self.close()

    async def unless_silent(self):
        """Goes on at once, or never."""
        if self.silent:
            await asyncio.Event().wait()

    async def pump(self, reader, writer, outward, view):
        held = b""
        while True:
            data = held + await reader.read(READ_BYTES)
            await self.unless_silent()
            ended = len(data) == len(held)
            held = b""
            if ended and self.held(outward) and not self.late():
                return
            if self.link.kind == "peer" and not ended:
                data = await self.whole_addresses(reader, data)
                data = self.proxies.plan.translate(data, view)
            delay = self.delay()
            if delay:
                await asyncio.sleep(delay)
            while self.held(outward):
                await asyncio.sleep(POLL_S)
                if reader.at_eof() and not self.late():
                    return
            await self.unless_silent()
            if data:
                writer.write(data)
                await writer.drain()
                self.proxies.bytes += len(data)
            if ended:
                return

    @staticmethod
    async def whole_addresses(reader, data):
        """Waits a little for the rest of an address that a reading may have split."""
        while SPLIT_ADDRESS.search(data):
            try:
                more = await asyncio.wait_for(reader.read(READ_BYTES), SPLIT_WAIT_S)
            except asyncio.TimeoutError:
                break
            if not more:
                break
            data += more
        return data

    def reset(self):
        for writer in (self.writer, self.far_writer):
            if writer is not None:
                reset(writer.transport)

    def close(self):
        for writer in (self.writer, self.far_writer):
            if writer is not None:
                writer.close()


class Proxies:
    """All proxies of a soak, and the troubles on their links."""

    def __init__(self, plan, views):
        self.plan, self.views = plan, views
        self.troubles = []
        self.connections = set()
        self.wanted = set()  # (kind, number) that is open, refusals aside
        self.servers = {}  # (kind, number) -> the listener
        self.hosts = {}  # (kind, number) -> the addresses that it is bound to
        self.listening = asyncio.Lock()
        self.bytes = 0
        self.resets = 0
        self.silenced = 0

    def place(self, kind, number):
        """Returns the port to listen on, and a function from a view to the real address."""
        plan = self.plan
        if kind == "store":
            return plan.proxied_store, lambda view: (plan.service_ip(view), plan.store)
        if kind == "advice":
            return plan.proxied_advice, lambda view: (plan.service_ip(view), plan.advice)
        if kind == "peer":
            return plan.proxied_peer(number), lambda _: (plan.daemon_ip(number), plan.peers)
        return plan.proxied_worker(number), lambda view: (
            plan.worker_ip(number, view), plan.worker_port(number))

    def host(self, kind, number, view):
        """Where a view finds a service."""
        if kind == "peer":
            return self.plan.daemon_ip(number, view)
        return self.plan.worker_ip(number, view) if kind == "worker" else self.plan.service_ip(view)

    def wanted_hosts(self, kind, number):
        """The addresses to listen at: none, all or those of the views that are not refused."""
        if (kind, number) not in self.wanted:
            return ()
        refusals = [t for t in self.troubles if t.how in REFUSING]
        taken = [view for view in range(1, self.views + 1)
                 if not any(t.matches(Link(view, kind, number)) for t in refusals)]
        if len(taken) == self.views:
            return ("0.0.0.0",)
        return tuple(self.host(kind, number, view) for view in taken)

    async def open(self, kind, number=0):
        self.wanted.add((kind, number))
        await self.listen(kind, number)

    async def listen(self, kind, number):
        """Lets the listener of a service follow what is wanted, which may change meanwhile."""
        place = (kind, number)
        async with self.listening:
            while (hosts := self.wanted_hosts(*place)) != self.hosts.get(place, ()):
                self.stop_listening(place)
                if hosts:
                    server = await self.listener(kind, number, hosts)
                    self.servers[place], self.hosts[place] = server, hosts

    def stop_listening(self, place):
        self.hosts.pop(place, None)
        server = self.servers.pop(place, None)
        if server is not None:
            server.close()

    async def listener(self, kind, number, hosts):
        port, target = self.place(kind, number)

        async def accept(reader, writer):
            if not is_loopback(writer.get_extra_info("peername")[0]):
                writer.transport.abort()
                return
            view = self.plan.view_of(writer.get_extra_info("sockname")[0])
            link = Link(view, kind, number)
            connection = Connection(link, reader, writer, self)
            if any(t.how == "reset" or t.how in REFUSING for t in connection.troubles()):
                self.resets += 1
                connection.reset()
                return
            self.connections.add(connection)
            try:
                await connection.run(*target(view))
            except (OSError, asyncio.CancelledError):
                connection.reset()
            finally:
                self.connections.discard(connection)

        return await asyncio.start_server(accept, hosts, port, backlog=1024)

    def close(self, kind, number=0):
        """Refuses connections to this service from now on."""
        self.wanted.discard((kind, number))
        self.stop_listening((kind, number))

    def close_all(self):
        """Ends all listeners and connections, so that the next soak finds the ports free."""
        for kind, number in list(self.wanted):
            self.close(kind, number)
        for connection in list(self.connections):
            connection.reset()

    async def add(self, trouble):
        self.troubles.append(trouble)
        await self.follow(trouble)
        if trouble.how in ("reset", "refuse"):
            for connection in list(self.connections):
                if trouble.matches(connection.link) and not connection.silent:
                    self.resets += 1
                    connection.reset()

    def silence_open_connections(self, trouble):
        """Lets all connections that are open on the links of a trouble go silent for good; returns
        how many."""
        struck = [connection for connection in self.connections
                  if trouble.matches(connection.link) and not connection.silent]
        for connection in struck:
            connection.silent = True
        self.silenced += len(struck)
        return len(struck)

    async def remove(self, trouble):
        self.troubles.remove(trouble)
        await self.follow(trouble)

    async def follow(self, trouble):
        """Lets all listeners follow a refusal that begins or ends."""
        if trouble.how in REFUSING:
            for place in list(self.wanted):
                await self.listen(*place)
