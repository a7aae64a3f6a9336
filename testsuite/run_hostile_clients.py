# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Clients and servers that do not behave: requests, heads and responses without end, bodies that
stop short, silent connections. The process lives on, its resident memory and open descriptors
stay under a bound, and an ordinary request is answered afterwards. Nothing checked here depends
on speed. Names of runs as arguments select them."""

import os
import resource
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time

from cell import BIN, Cell, wait_until

# The smallest machine of a site has 160 MB of memory and 4,100 descriptors.
MAX_RESIDENT_MB = 96
MAX_DESCRIPTORS = 2600

BASE = 29000 + int(os.environ.get("PATHPORT_PORT_SHIFT", "0"))
CELL_BASE = 29200  # Cell adds the shift.
LISTENERS = ("clients", "readiness", "peers", "metrics")
PORTS = {name: BASE + i for i, name in enumerate(LISTENERS)}
STORE_PORT = BASE + 10
# Nothing listens there.
NO_STORE_PORT = BASE + 11

MB = 1000 * 1000
ENDLESS_BYTES = 200 * MB
SHORT_BODY = 1000 * 1000
LARGE_CHUNK = 65500
LARGE_CHUNK_CLIENTS = 300
SMALL_CHUNK_CLIENTS = 100
SILENT_CLIENTS = 2100
SHORT_FIELDS = 3900
SHORT_FIELD_CLIENTS = 1000
IDLE_BODY = 6000
IDLE_CLIENTS = 1900
ENDLESS_HEADS = 10
SLOW_READERS = 50
SLOW_READER_BYTES = 4 * MB
MAX_BODY = 1048576
MAX_PEER_BODY = 4 * 1048576
PIECES = 20

# A sender gives up when no byte is taken for so long; a server may stop to read.
QUIET_S = 2.0
SETTLE_S = 30.0
ANSWER_S = 30.0
ENDLESS_ANSWERS_S = 8.0

SETTINGS = """[node]
name = node-1
log_level = warn
[listen]
clients = 127.0.0.1:{clients}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[services]
store = 127.0.0.1:{store}
advice = 127.0.0.1:{store}
"""

CHUNKED_HEAD = (b"POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: queue.example\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n")
FIELD_LINES = (b"X-Filler: " + b"a" * 988 + b"\r\n") * 64


class Node:
    """One pathport_jobd without a store, or with one that the test plays."""

    def __init__(self, store=NO_STORE_PORT):
        self.folder = tempfile.TemporaryDirectory(prefix="pathport-hostile-")
        self.store = store
        self.process = None
        self.usual = {}

    def __enter__(self):
        path = os.path.join(self.folder.name, "node.ini")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(SETTINGS.format(store=self.store, **PORTS))
        with open(os.path.join(self.folder.name, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BIN, "pathport_jobd"), "--settings", path], stdout=log, stderr=log)
        try:
            wait_until(lambda: exchange(PORTS["metrics"], get("/metrics"))[0] == 200, 15, "started")
            self.usual = {name: ordinary_status(PORTS[name]) for name in LISTENERS}
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def unanswered(self):
        """Sends one ordinary request to each listener, which gets the status that it got at the
        start; returns what was wrong."""
        now = {name: ordinary_status(PORTS[name]) for name in LISTENERS}
        return [f"an ordinary request to {name} gets {now[name] or 'no answer'}, "
                f"{self.usual[name]} at the start"
                for name in LISTENERS if now[name] == 0 or now[name] != self.usual[name]]


class Watch:
    """The resident memory and the descriptors of a process."""

    def __init__(self, process):
        self.process = process
        self.descriptors = 0

    def sample(self):
        try:
            folder = f"/proc/{self.process.pid}/fd"
            self.descriptors = max(self.descriptors, len(os.listdir(folder)))
        except OSError:
            pass  # It has ended, which finish() reports.

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024 / MB
        raise AssertionError("no VmHWM")

    def finish(self, name, unanswered):
        """Prints the result of a run; returns whether it passed."""
        self.sample()
        violations = list(unanswered)
        if self.process.poll() is None:
            resident = self.resident_mb()
            if resident > MAX_RESIDENT_MB:
                violations.append(f"{resident:.0f} MB of resident memory, {MAX_RESIDENT_MB} allowed")
            if self.descriptors > MAX_DESCRIPTORS:
                violations.append(f"{self.descriptors} descriptors, {MAX_DESCRIPTORS} allowed")
            print(f"{name}: {resident:.0f} MB of resident memory, {self.descriptors} descriptors, "
                  f"{'not ' if unanswered else ''}answered", flush=True)
        else:
            violations.append(f"the process ended with {self.process.returncode}")
        for text in violations:
            print(f"{name}: VIOLATION {text}", flush=True)
        return not violations


class Sender:
    """One connection that sends `head`, then `block` over and over up to `limit` bytes in all."""

    def __init__(self, port, head, block=b"", limit=None, receive_buffer=None):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(ANSWER_S)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.block = memoryview(block)
        self.left = memoryview(head)
        self.repeats = (max(0, limit - len(head)) // len(block)) if block else 0

    def send(self):
        """Sends what the connection takes; returns (bytes sent, whether more is to be sent)."""
        if not self.left and self.repeats:
            self.left, self.repeats = self.block, self.repeats - 1
        try:
            sent = self.socket.send(self.left)
        except BlockingIOError:
            return 0, True
        except OSError:
            return 0, False  # The server has closed the connection, as it may.
        self.left = self.left[sent:]
        return sent, bool(self.left or self.repeats)


def send_all(senders):
    """Sends on all connections until all has been sent, or the server closes or reads no more;
    returns the bytes sent."""
    total = 0
    with selectors.DefaultSelector() as selector:
        for sender in senders:
            selector.register(sender.socket, selectors.EVENT_WRITE, sender)
        last = time.monotonic()
        while selector.get_map() and time.monotonic() - last < QUIET_S:
            for key, _ in selector.select(0.1):
                sent, more = key.data.send()
                total += sent
                if sent:
                    last = time.monotonic()
                if not more:
                    selector.unregister(key.fileobj)
    return total


def unread_bytes(port):
    """Returns (client, bytes that wait in the kernel) of each connection to `port`."""
    end = f"0100007F:{port:04X}"
    with open("/proc/net/tcp", encoding="utf-8") as lines:
        rows = [line.split() for line in lines]
    return [(row[2], row[4].split(":")[1]) for row in rows if row[1] == end]


def settle(port, watch):
    """Waits until the process has read what was sent to it, or reads no more."""
    end = time.monotonic() + SETTLE_S
    before, since = None, time.monotonic()
    while time.monotonic() < end and time.monotonic() - since < QUIET_S:
        now = unread_bytes(port)
        if now != before:
            before, since = now, time.monotonic()
        watch.sample()
        time.sleep(0.1)


def close_all(senders):
    for sender in senders:
        sender.socket.close()


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: queue.example\r\nConnection: close\r\n\r\n".encode()


def exchange(port, *pieces, pause_s=0.0):
    """Sends the pieces of one request on a new connection; returns (status, body), (0, b"") when
    there is no answer."""
    received = b""
    try:
        with socket.create_connection(("127.0.0.1", port), ANSWER_S) as connection:
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(pause_s)
            while True:
                data = connection.recv(65536)
                if not data:
                    break
                received += data
    except OSError:
        pass
    head, _, body = received.partition(b"\r\n\r\n")
    words = head.split()
    return (int(words[1]), body) if len(words) > 1 else (0, b"")


def ordinary_status(port):
    path = {PORTS["readiness"]: "/v1/ready", PORTS["metrics"]: "/metrics"}.get(
        port, "/jobs/0123456789abcdef")
    return exchange(port, get(path))[0]


def chunk(size):
    return b"%x\r\n" % size + b"a" * size + b"\r\n"


def on_node(name, listener, make_senders):
    """Plays a crowd on one listener of pathport_jobd; asks while its connections are open."""
    with Node() as node:
        watch = Watch(node.process)
        senders = make_senders(PORTS[listener])
        try:
            sent = send_all(senders)
            print(f"{name}: {len(senders)} connections, {sent / MB:.1f} MB sent", flush=True)
            settle(PORTS[listener], watch)
            return watch.finish(name, node.unanswered())
        finally:
            close_all(senders)


def on_callers_listener(name, make_senders):
    """Plays a crowd on the callers' listener of pathportd; asks while its connections are open."""
    with Cell(nodes=1, boxes=0, base=CELL_BASE) as cell:
        port = cell.ports("node-1")["callers"]
        watch = Watch(cell.processes["node-1"])
        senders = make_senders(port)
        try:
            sent = send_all(senders)
            print(f"{name}: {len(senders)} connections, {sent / MB:.1f} MB sent", flush=True)
            settle(port, watch)
            status = exchange(port, get("/v1/health"))[0]
            return watch.finish(name, [] if status == 200 else [
                f"an ordinary request to callers gets {status or 'no answer'}"])
        finally:
            close_all(senders)


def endless_trailers(port):
    return [Sender(port, CHUNKED_HEAD + chunk(10) + b"0\r\n", FIELD_LINES, ENDLESS_BYTES)]


def endless_heads(port):
    return [Sender(port, b"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: queue.example\r\n",
                   FIELD_LINES, ENDLESS_BYTES // ENDLESS_HEADS) for _ in range(ENDLESS_HEADS)]


def trailers_without_end_clients():
    """Guards against trailers being buffered without a limit at the clients' listener."""
    return on_node("trailers_without_end_clients", "clients", endless_trailers)


def trailers_without_end_readiness():
    """Guards against trailers being buffered without a limit at the readiness listener."""
    return on_node("trailers_without_end_readiness", "readiness", endless_trailers)


def trailers_without_end_peers():
    """Guards against trailers being buffered without a limit at the peers' listener."""
    return on_node("trailers_without_end_peers", "peers", endless_trailers)


def trailers_without_end_metrics():
    """Guards against trailers being buffered without a limit at the metrics listener."""
    return on_node("trailers_without_end_metrics", "metrics", endless_trailers)


def many_large_chunks():
    """Guards against unfinished bodies that are each inside the limits and exhaust the memory
    together."""
    whole, rest = divmod(SHORT_BODY, LARGE_CHUNK)
    request = CHUNKED_HEAD + chunk(LARGE_CHUNK) * whole + chunk(rest)
    return on_node("many_large_chunks", "clients", lambda port: [
        Sender(port, request) for _ in range(LARGE_CHUNK_CLIENTS)])


def many_small_chunks():
    """Guards against the framing of unfinished bodies, five times their size, exhausting the
    memory."""
    request = CHUNKED_HEAD + chunk(1) * SHORT_BODY
    return on_node("many_small_chunks", "clients", lambda port: [
        Sender(port, request) for _ in range(SMALL_CHUNK_CLIENTS)])


def many_short_fields():
    """Guards against unfinished heads of very short fields, each of which takes much more memory
    than it has bytes."""
    request = b"GET /jobs/0123456789abcdef HTTP/1.1\r\n" + b"a:\r\n" * SHORT_FIELDS
    return on_node("many_short_fields", "clients", lambda port: [
        Sender(port, request) for _ in range(SHORT_FIELD_CLIENTS)])


def idle_after_requests():
    """Guards against connections that are idle after a request and count as if it were still
    there, so that no memory is left for others."""
    body = b"a" * IDLE_BODY
    request = (b"POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: queue.example\r\n"
               b"Content-Length: %d\r\n\r\n" % len(body)) + body
    return on_node("idle_after_requests", "clients", lambda port: [
        Sender(port, request) for _ in range(IDLE_CLIENTS)])


def silent_connections():
    """Guards against connections that send no request taking all places from ordinary callers."""
    begun = b"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: queue"
    return on_node("silent_connections", "clients", lambda port: [
        Sender(port, begun if i % 2 else b"") for i in range(SILENT_CLIENTS)])


def endless_head():
    """Guards against a head that never ends being buffered without a limit."""
    return on_node("endless_head", "clients", endless_heads)


def slow_reader():
    """Guards against responses that nobody reads piling up in the process."""
    request = b"GET /metrics HTTP/1.1\r\nHost: queue.example\r\n\r\n"
    return on_node("slow_reader", "metrics", lambda port: [
        Sender(port, request, request * 1000, SLOW_READER_BYTES, receive_buffer=4096)
        for _ in range(SLOW_READERS)])


def callers_trailers_without_end():
    """Guards against trailers being buffered without a limit at pathportd's callers' listener."""
    return on_callers_listener("callers_trailers_without_end", endless_trailers)


def callers_endless_head():
    """Guards against a head that never ends being buffered without a limit at pathportd's callers'
    listener."""
    return on_callers_listener("callers_endless_head", endless_heads)


class EndlessStore:
    """Answers each request with a response that never ends, up to ENDLESS_BYTES in all; then its
    connections stay open and silent."""

    def __init__(self, beginning, block):
        self.beginning, self.block = beginning, block
        self.listener = socket.create_server(("127.0.0.1", STORE_PORT), backlog=128)
        self.lock = threading.Lock()
        self.sent = 0
        self.answers = 0
        self.connections = []
        self.ended = threading.Event()

    def __enter__(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        # A pending accept() would keep the port in use after close().
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection in self.connections:
                connection.close()

    def accept(self):
        while not self.ended.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.append(connection)
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        try:
            if not connection.recv(65536):
                return
            with self.lock:
                self.answers += 1
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Transfer-Encoding: chunked\r\n\r\n" + self.beginning)
            while self.sent < ENDLESS_BYTES and not self.ended.is_set():
                connection.sendall(self.block)
                with self.lock:
                    self.sent += len(self.block)
            self.ended.wait()
        except OSError:
            pass  # The client has closed the connection, as it may.
        finally:
            connection.close()


def answers_without_end(name, beginning, block):
    with EndlessStore(beginning, block) as store, Node(store=STORE_PORT) as node:
        watch = Watch(node.process)
        end = time.monotonic() + ENDLESS_ANSWERS_S
        while time.monotonic() < end and store.sent < ENDLESS_BYTES:
            watch.sample()
            time.sleep(0.1)
        print(f"{name}: {store.sent // MB} MB sent in {store.answers} responses", flush=True)
        violations = node.unanswered()
        if store.answers == 0:
            violations.append("the store was not called")
        return watch.finish(name, violations)


def answers_without_end_trailers():
    """Guards against a response's trailers being buffered without a limit."""
    return answers_without_end("answers_without_end_trailers", chunk(2) + b"0\r\n", FIELD_LINES)


def answers_without_end_body():
    """Guards against a response's body being kept without a limit over all calls."""
    return answers_without_end("answers_without_end_body", b"", chunk(LARGE_CHUNK))


def pieces_of(request):
    size = -(-len(request) // PIECES)
    return [request[i:i + size] for i in range(0, len(request), size)]


def within_limits():
    """Guards against limits that reject a slow client whose request is inside them: it gets what a
    small request gets."""
    head = "POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: queue.example\r\nConnection: close\r\n"
    violations = []
    with Node() as node:
        watch = Watch(node.process)

        def plain(size):
            return f"{head}Content-Length: {size}\r\n\r\n".encode() + b"a" * size

        def chunked(size):
            return (f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk(100) * (size // 100)
                    + b"0\r\n\r\n")

        for listener, size, form in (("clients", MAX_BODY - 100, plain),
                                     ("clients", MAX_BODY - 100, chunked),
                                     ("peers", MAX_PEER_BODY - 100, plain),
                                     ("peers", MAX_PEER_BODY - 100, chunked)):
            expected = exchange(PORTS[listener], form(1000))
            got = exchange(PORTS[listener], *pieces_of(form(size)), pause_s=0.1)
            print(f"within_limits: {listener}, {size} bytes {form.__name__}: {got[0]} {got[1][:80]!r}")
            if got != expected or got[0] in (0, 408, 413, 431):
                violations.append(f"{size} bytes {form.__name__} to {listener} get {got}, "
                                  f"a small request gets {expected}")
        return watch.finish("within_limits", violations + node.unanswered())


RUNS = (trailers_without_end_clients, trailers_without_end_readiness, trailers_without_end_peers,
        trailers_without_end_metrics, many_large_chunks, many_small_chunks, many_short_fields,
        idle_after_requests, silent_connections,
        endless_head, slow_reader, callers_trailers_without_end, callers_endless_head,
        answers_without_end_trailers, answers_without_end_body, within_limits)


def main():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    wanted = sys.argv[1:]
    unknown = set(wanted) - {run.__name__ for run in RUNS}
    if unknown:
        sys.exit(f"no such run: {sorted(unknown)}")
    passed = [run() for run in RUNS if not wanted or run.__name__ in wanted]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
