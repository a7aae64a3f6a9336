"""Stand-ins for the cases of the third review: the platform's store, workers and clients, and the
start of real nodes (target/bin/pathport_jobd, with deploy/node.ini.template). They follow the users'
pages (PROTOCOL.md, terms.md); each listens on 127.0.0.1 on free ports."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import socket
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000
KILL_GRACE_S = 0.2  # The pages: a stop takes kill_grace_ms (400) at most.
SAVE_S = 0.5  # checkpoint_s
STARTED = time.monotonic()


def now_ms():
    return int((time.monotonic() - STARTED) * 1000)


GIVEN_PORTS = set()


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(15000, 32000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        found.append(port)
    return found


class Record:
    """record.txt: what was sent, answered and run, with the time in ms since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def note(self, text):
        self.file.write("%7d %s\n" % (now_ms(), text))
        self.file.flush()


class Server:
    """A small HTTP/1.1 server. `handle(method, target, headers, body)` is a coroutine that
    returns (status, object), or None to close the connection without an answer."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    field = (await reader.readline()).decode().strip()
                    if not field:
                        break
                    name, value = field.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    break
                status, value = answer
                text = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # The peer left, or the case is over.
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, port):
        self.server = Server(port, self.handle)
        self.rows = {}  # (table, part) -> {key: (value, ver)}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        self.version += 1
        self.rows.setdefault((table, part), {})[key] = (value, self.version)
        self.log(table, part, key, value)

    def remove(self, table, part, key):
        self.version += 1
        self.rows.get((table, part), {}).pop(key, None)
        self.log(table, part, key, None)

    def log(self, table, part, key, value):
        self.history.append((self.version, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        self.put(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def row(self, table, part, key):
        value, ver = self.rows.get((table, part), {}).get(key, ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def transact(self, order):
        checked = [(c["table"], c["part"], c["key"], c["ver"]) for c in order.get("expected_rev", [])]
        puts = [(p["table"], p["part"], p["key"], p["value"]) for p in order.get("put", [])]
        drops = [(r["table"], r["part"], r["key"]) for r in order.get("remove", [])]
        parts = {entry[1] for entry in checked + puts + drops}
        entries = len(checked) + len(puts) + len(drops)
        if len(parts) > 1 or entries > 100 or any(len(p[3]) > 65536 for p in puts):
            return 400, {"ver": self.version, "now_ms": now_ms()}
        if any(entry[0] in ("servers", "op") for entry in puts + drops):
            return 403, {}
        rows = [self.row(*entry[:3]) for entry in checked]
        if any(row["ver"] != entry[3] for row, entry in zip(rows, checked)):
            return 412, {"ver": self.version, "now_ms": now_ms(), "rows": rows}
        self.version += 1
        for table, part, key, value in puts:
            self.rows.setdefault((table, part), {})[key] = (value, self.version)
            self.log(table, part, key, value)
        for table, part, key in drops:
            self.rows.get((table, part), {}).pop(key, None)
            self.log(table, part, key, None)
        return 200, {"ver": self.version, "now_ms": now_ms()}

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/v1/rows-get":
            return self.get(query)
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}

    def get(self, query):
        found = self.rows.get((query["table"], query.get("part", "")), {})
        limit = min(int(query.get("limit", "500")), 500)
        first, end = query.get("from", ""), query.get("target_version", "")
        keys = sorted(k for k in found if k >= first and (not end or k < end))
        rows = [self.row(query["table"], query.get("part", ""), key) for key in keys[:limit]]
        return 200, {"ver": self.version, "now_ms": now_ms(), "rows": rows,
                     "more": len(keys) > limit}

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = []
            for ver, of, part, key, value in self.history:
                if of != table or ver <= after:
                    continue
                row = {"table": of, "part": part, "key": key, "ver": ver}
                if value is None:
                    row["gone"] = True
                else:
                    row["value"] = value
                rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"ver": self.version, "now_ms": now_ms(), "rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, run, spec):
        self.task = task
        self.run = run
        self.spec = spec
        self.begun = time.monotonic()
        self.timers = []


class Worker:
    """A worker with `capacity`. Its lives follow each other under the same id; a life is told by
    `born`. What a task does, its `task_spec` says, a JSON object: `work_s` (0: it lasts)."""

    def __init__(self, cell, name, service, capacity, rack):
        self.cell = cell
        self.base = name
        self.kind = "a"
        self.name = name
        self.lives = 0
        self.service = service
        self.capacity = capacity
        self.rack = rack
        self.port = free_ports(1)[0]
        self.server = None
        self.up = False
        self.beating = None

    # A new life holds and knows nothing of before. It has the id of the one before, or a new one.
    async def start(self):
        self.lives += 1
        if self.cell.new_ids and self.lives > 1:
            self.name = "%s-%d" % (self.base, self.lives)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.ends = []
        self.number = 0
        self.highest = {}  # task -> highest run stopped or ended there
        self.ended = asyncio.Event()
        self.up = True
        self.seq = 0
        self.server = Server(self.port, self.handle)
        await self.server.start()
        self.beating = asyncio.ensure_future(self.beat())
        self.cell.record.note("worker %s up, born %d" % (self.name, self.born))

    def crash(self, why):
        if not self.up:
            return
        self.cell.record.note("worker %s is gone (%s), running %s"
                              % (self.name, why, sorted(self.runs)))
        self.up = False
        self.beating.cancel()
        self.server.stop()
        for run in self.runs.values():
            for timer in run.timers:
                timer.cancel()
            self.cell.run_over(self, run, "lost")
        self.runs = {}
        asyncio.ensure_future(self.entry_goes(self.name, self.born))

    async def entry_goes(self, name, born):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.name != name or (not self.up and self.born == born):
            self.cell.store.remove("servers", "", name)

    async def leave_unannounced(self, serves_s):
        """A planned end without `draining`: the entry goes, and it serves on for a while."""
        self.cell.record.note("the entry of %s goes; it serves on" % self.name)
        self.beating.cancel()
        self.cell.store.remove("servers", "", self.name)
        await asyncio.sleep(serves_s)
        self.crash("it ends as planned")

    async def back_after(self, seconds):
        await asyncio.sleep(seconds)
        await self.start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def beat(self):
        while True:
            self.seq += 1
            self.cell.store.put_json("servers", self.name, {
                "backend": self.service, "address": "%s:%d" % (HOST, self.port), "zone": "a",
                "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "seq_no": self.seq, "born": self.born, "capacity": self.capacity,
                "labels": [self.kind, self.rack], "clock_ms": self.clock()})
            await asyncio.sleep(HEARTBEAT_S)

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + MAX_HOLD_MS))
        asyncio.get_running_loop().call_later(
            max(0, self.lease - self.clock()) / 1000 + 0.005, self.check_lease, self.born)

    def check_lease(self, born):
        if self.up and born == self.born and self.clock() >= self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        for timer in run.timers:
            timer.cancel()
        self.number += 1
        self.highest[task] = max(self.highest.get(task, 0), run.run)
        self.ends.append([self.number, task, run.run, how, self.saved(run)])
        self.cell.run_over(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def saved(self, run):
        steps = int((time.monotonic() - run.begun) / SAVE_S)
        return "%016x" % steps if steps and run.spec.get("saves") else ""

    async def handle(self, method, target, headers, body):
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence", "born": self.born}
        self.fence = order.get("fencing_token", 0)
        if target == "/v1/run-start":
            return await self.run_start(order)
        if target == "/v1/run-stop":
            return self.run_stop(order)
        if target == "/v1/hold":
            return await self.hold(order)
        return 404, {}

    def answer(self):
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def run_start(self, order):
        task, number = order["task"], order["run_id"]
        if order["until_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        if number <= self.highest.get(task, 0):
            self.extend(order["until_ms"])
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        self.extend(order["until_ms"])
        if task in self.runs:
            return self.answer()
        run = Run(task, number, json.loads(order["task_spec"]))
        self.runs[task] = run
        answered = self.cell.begun(self, run)
        if run.spec.get("work_s") and self.up:
            run.timers.append(asyncio.get_running_loop().call_later(
                run.spec["work_s"], self.end, task, "done"))
        return self.answer() if answered and self.up else None

    def run_stop(self, order):
        task, number = order["task"], order["run_id"]
        run = self.runs.get(task)
        if run is None or run.run > number:
            self.highest[task] = max(self.highest.get(task, 0), number)
        else:
            run.timers.append(asyncio.get_running_loop().call_later(
                KILL_GRACE_S, self.end, task, "stopped"))
        return self.answer()

    async def hold(self, order):
        self.ends = [end for end in self.ends if end[0] > order.get("last_seen", 0)]
        if order.get("until_ms"):
            self.extend(order["until_ms"])
        wait = min(order.get("wait_ms", 0), 2000) / 1000
        until = time.monotonic() + wait
        while not self.ends and self.up and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        running = [[r.task, r.run, self.saved(r), self.percent(r), 0] for r in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "finished": self.ends[:500]}

    def percent(self, run):
        if not run.spec.get("work_s"):
            return 100
        return min(99, int(100 * (time.monotonic() - run.begun) / run.spec["work_s"]))


async def call(port, method, target, host, value=None, timeout=4.0):
    """A client's call; returns (status, object), status None without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            text = json.dumps(value).encode() if value is not None else b""
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\n"
                          "Content-Type: application/json\r\nContent-Length: %d\r\n"
                          "Connection: close\r\n\r\n" % (method, target, host, len(text))).encode()
                         + text)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(body)
        except ValueError:
            return status, {}
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None, {}


class Cell:
    """Store, workers and nodes, and what the workers saw of each task."""

    def __init__(self, record, nodes=3, workers=12, service="svc", cpu=32000, per_rack=4, new_ids=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store(free_ports(1)[0])
        self.host = "queue.example"
        self.prefix = "/queue/"
        self.service = service
        self.new_ids = new_ids  # Whether a worker has a new id after a crash.
        self.workers = [Worker(self, "w%02d-%04x" % (i, random.randrange(1 << 16)), service,
                               {"cpu": cpu, "mem_mb": 131072, "gpu": 0},
                               "r1-%d" % (i // per_rack)) for i in range(workers)]
        self.node_count = nodes
        self.nodes = []
        self.starts = {}  # task -> [(ms, worker, run)]
        self.overs = {}  # task -> [(ms, worker, run, how)]
        self.on_begun = None  # called with (worker, run); returns whether the order is answered

    def begun(self, worker, run):
        self.record.note("start of %s run %d on %s" % (run.task, run.run, worker.name))
        self.starts.setdefault(run.task, []).append((now_ms(), worker.name, run.run))
        return True if self.on_begun is None else self.on_begun(worker, run)

    def run_over(self, worker, run, how):
        self.record.note("end of %s run %d on %s: %s" % (run.task, run.run, worker.name, how))
        self.overs.setdefault(run.task, []).append((now_ms(), worker.name, run.run, how))

    def running(self):
        return {task for worker in self.workers if worker.up for task in worker.runs}

    async def start(self):
        await self.store.server.start()
        self.store.put_json("op", "config", {
            "version": 3,
            "routes": [{"name": "queue", "host": self.host, "path_prefix": self.prefix,
                        "backend": self.service, "priority": 1, "attempts": 4, "stretch": 2.2,
                        "slo_ms": 2500, "timeout_ms": 3000}],
            "services": [{"name": self.service, "rejects_overload": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}})
        for worker in self.workers:
            await worker.start()
        with open(os.path.join(ROOT, "deploy", "node.ini.template"), encoding="utf-8") as file:
            template = file.read()
        for i in range(self.node_count):
            await self.start_node(i, template)
        await self.ready()

    async def start_node(self, index, template):
        ports = free_ports(4)
        values = {
            "node_name": "edge-a-%d" % (index + 1), "limits.cpu_share": "0.25", "limits.cores": "1",
            "limits.link_mbps": "1000.0", "ip": HOST, "listen_addrs.frontend": "%s:%d" % (HOST, ports[0]),
            "listen_addrs.readiness": "%s:%d" % (HOST, ports[1]), "port_range.0": str(ports[2]),
            "platform.address": "%s:%d" % (HOST, self.store.server.port),
            "advice": "%s:%d" % (HOST, free_ports(1)[0]), "bounds.max_hold_ms": str(MAX_HOLD_MS),
            "bounds.kill_grace_ms": "400", "bounds.gang_timeout_ms": "3000", "bounds.drain_ms": "2000"}
        text = re.sub(r"\{\{#([^}]*)\}\}.*?\{\{/\1\}\}", "", template)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda gap: values[gap.group(1)], text)
        # The nodes share one loopback address here, so their ports for metrics differ.
        text = text.replace("%s:9464" % HOST, "%s:%d" % (HOST, ports[3]))
        path = os.path.join(self.folder, "node-%d.ini" % index)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, "node-%d.log" % index), "w", encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "bin", "pathport_jobd"), stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "PATHPORT_NODE_FILE": path})
        self.nodes.append((process, ports))

    async def ready(self):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            answers = [await call(ports[1], "GET", "/v1/ready", HOST, timeout=1.0)
                       for _, ports in self.nodes]
            counts = [await call(ports[0], "GET", self.prefix, self.host, timeout=1.0)
                      for _, ports in self.nodes]
            if all(status == 200 for status, _ in answers + counts):
                self.record.note("all nodes are ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes did not become ready")

    def frontend(self, index=None):
        index = random.randrange(len(self.nodes)) if index is None else index
        return self.nodes[index][1][0]

    async def submit(self, job, spec, phases, tries=5):
        for _ in range(tries):
            status, answer = await call(self.frontend(), "POST", self.prefix + job, self.host,
                                        {"task_spec": json.dumps(spec), "phases": phases})
            self.record.note("POST %s -> %s %s" % (job, status, answer))
            if status is not None and status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job):
        status, answer = await call(self.frontend(), "GET", self.prefix + job, self.host)
        self.record.note("GET %s -> %s %s" % (job, status, answer))
        return answer.get("state") if status == 200 else None

    async def stop(self):
        for process, _ in self.nodes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for worker in self.workers:
            if worker.up and worker.beating:
                worker.beating.cancel()
                worker.server.stop()
        if self.store.server.server:
            self.store.server.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    """16 hex digits that end in a letter: names of tasks (ID.K.STEP.INDEX) then read like no address."""
    return "%015x" % random.getrandbits(60) + random.choice("abcdef")


def main(folder, course):
    """Runs `course(cell_factory, record, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    cells = []

    def make(**settings):
        cells.append(Cell(record, **settings))
        return cells[-1]

    async def run():
        try:
            return await asyncio.wait_for(course(make, record, trouble), 110)
        finally:
            for cell in cells:
                await cell.stop()
    try:
        held = asyncio.run(run())
    except Exception as error:  # The case could not run.
        record.note("could not run: %r" % error)
        print("could not run: %r" % error)
        return 2
    record.note("the rule %s" % ("held" if held else "was broken"))
    print("trouble %s: the rule %s" % ("on" if trouble else "off", "held" if held else "was broken"))
    return 0 if held else 1
