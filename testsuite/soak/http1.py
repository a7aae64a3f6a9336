# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""A small HTTP/1.1 server and client on asyncio, quick enough for thousands of calls a second."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

from .addresses import is_loopback

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class NoAnswer(Exception):
    """The call is never answered, and its connection says nothing more."""


class ResetConnection(Exception):
    """The connection is reset instead of an answer."""


class ConnectionLost(Exception):
    """The connection closed before a complete answer."""


@dataclass
class Request:
    """One request as a server received it."""
    method: str
    target: str
    headers: dict
    body: bytes
    local_ip: str
    local_port: int


@dataclass
class Answer:
    """One answer."""
    status: int
    body: bytes = b""
    headers: dict = field(default_factory=dict)


def reset(transport):
    """Closes a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    transport.abort()


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class ServerConnection(asyncio.Protocol):
    """Serves the requests of one connection one after the other."""

    def __init__(self, handler, connections):
        self.handler, self.connections = handler, connections
        self.transport, self.buffer, self.busy, self.silent = None, b"", False, False
        self.local = ("", 0)

    def connection_made(self, transport):
        self.transport = transport
        self.local = transport.get_extra_info("sockname")
        if not is_loopback(transport.get_extra_info("peername")[0]):
            transport.abort()
            return
        self.connections.add(self)

    def connection_lost(self, _):
        self.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        if not self.busy:
            self.next_request()

    def next_request(self):
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.silent:
            return
        line, headers = parse_head(self.buffer[:end])
        size = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return
        body = self.buffer[end + 4:end + 4 + size]
        self.buffer = self.buffer[end + 4 + size:]
        method, target, _ = line.split(" ", 2)
        self.busy = True
        request = Request(method, target, headers, body, *self.local)
        asyncio.get_running_loop().create_task(self.serve(request))

    async def serve(self, request):
        try:
            answer = await self.handler(request)
        except NoAnswer:
            self.silent = True
            return
        except ResetConnection:
            reset(self.transport)
            return
        if self.transport.is_closing():
            return
        self.transport.write(
            f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Status')}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(answer.body)}\r\n\r\n"
            .encode() + answer.body)
        self.busy = False
        self.next_request()


class Server:
    """One listening port."""

    def __init__(self, handler, port):
        self.handler, self.port = handler, port
        self.connections = set()
        self.server = None

    async def open(self):
        if self.server is None:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: ServerConnection(self.handler, self.connections), "0.0.0.0", self.port,
                backlog=1024)

    def close(self):
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            reset(connection.transport)


class Client:
    """One connection that is kept until its server closes it."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.life = 0  # Which life of its server it was opened to, for those that care.
        self.reader = self.writer = None

    async def call(self, method, target, headers=None, body=b"", timeout=30.0):
        """Sends one request and returns its answer. Raises ConnectionRefusedError when there is
        no connection, ConnectionLost, or TimeoutError."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port), timeout)
        head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            return await asyncio.wait_for(self.read_answer(), timeout)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            if isinstance(error, asyncio.TimeoutError):
                raise
            raise ConnectionLost(str(error)) from error

    async def read_answer(self):
        line, headers = parse_head((await self.reader.readuntil(b"\r\n\r\n"))[:-4])
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), body, headers)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
