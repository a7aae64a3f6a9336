"""Stand-ins for the review's cases: store, workers and clients after the users' PROTOCOL.md, in one
process on loopback addresses, beside real `pathport_jobd` processes started by the deploy file."""

import asyncio
import base64
import bisect
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}
# Figures of a small deployment: the bounds that the users' site cdp-kioscos states.
MAX_HOLD_MS, KILL_GRACE_MS, CHECKPOINT_S, RESTORE_S = 6000, 400, 2.0, 0.25
HEARTBEAT_S, TX_S, ANSWER_S = 1.5, 0.005, 0.004
ROW_BYTES, MOST_ENTRIES, MOST_BYTES, MOST_ROWS, MOST_ENDS = 65536, 100, 1000000, 500, 500
FINISH_S, STANDSTILL_S, CALM_S, VISIBLE_S = 14.0, 3.0, 4.0, 3.0
HOST = "review.example"


def dump(value):
    return json.dumps(value, separators=(",", ":")).encode()


class NoAnswer(Exception):
    """The call is never answered."""


class Reset(Exception):
    """The connection is reset instead of an answer."""


class Connection(asyncio.Protocol):
    """Serves the requests of one connection, one after the other."""

    def __init__(self, server):
        self.server, self.buffer, self.busy, self.transport = server, b"", False, None

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, _):
        self.server.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        self.next()

    def next(self):
        if self.busy:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return
        body = self.buffer[end + 4:end + 4 + size]
        self.buffer = self.buffer[end + 4 + size:]
        method, target, _ = lines[0].split(" ", 2)
        self.busy = True
        asyncio.ensure_future(self.serve(method, target, headers, body))

    async def serve(self, method, target, headers, body):
        try:
            status, answer = await self.server.handler(method, target, headers, body)
        except NoAnswer:
            return
        except Reset:
            self.transport.abort()
            return
        if self.transport.is_closing():
            return
        self.transport.write(
            f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        self.busy = False
        self.next()


class Server:
    """One listening address."""

    def __init__(self, handler, ip, port):
        self.handler, self.ip, self.port = handler, ip, port
        self.connections, self.server = set(), None

    async def open(self):
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: Connection(self), self.ip, self.port, backlog=1024)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()


class Store:
    """The platform's store: rows, transactions, feeds."""

    def __init__(self, record):
        self.record = record
        self.rows, self.version, self.history = {}, 0, {}
        self.changed, self.free_at = {}, {}
        self.rejected = 0

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, part, key, value):
        self.apply([], [((table, part, key), value)], [])

    def drop(self, table, part, key):
        self.apply([], [], [(table, part, key)])

    def get(self, table, part, key):
        return self.rows.get((table, part, key), (b"", 0))[0]

    def apply(self, checks, puts, removes):
        for name, version in checks:
            if self.rows.get(name, (b"", 0))[1] != version:
                return False
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.history.setdefault(name[0], []).append((self.version, name, value))
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.history.setdefault(name[0], []).append((self.version, name, None))
        for table in {n[0] for n, _ in puts} | {n[0] for n in removes}:
            event = self.changed.pop(table, None)
            if event is not None:
                event.set()
        return True

    @staticmethod
    def entry(name, value, version):
        entry = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            entry["gone"] = True
        elif version:
            entry["value"] = base64.b64encode(value).decode()
        return entry

    def answer(self, status, rows, version=None, more=False):
        return status, dump({"ver": self.version if version is None else version,
                             "now_ms": self.now_ms(), "more": more, "rows": rows})

    async def handle(self, method, target, _headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = unquote(parts.path)
        if path == "/v1/rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(ANSWER_S)
        if path == "/v1/rows-get":
            return self.read(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        if path == "/v1/rows-parts":
            table = query.get("table", "")
            return 200, dump({"ver": self.version, "now_ms": self.now_ms(), "more": False,
                              "parts": sorted({n[1] for n in self.rows if n[0] == table})})
        return 404, b"{}"

    async def transact(self, call):
        name = lambda e: (e["table"], e.get("part", ""), e["key"])
        checks = [(name(e), e.get("ver", 0)) for e in call.get("expected_rev", [])]
        puts = [(name(e), base64.b64decode(e["value"])) for e in call.get("put", [])]
        removes = [name(e) for e in call.get("remove", [])]
        names = [n for n, _ in checks + puts] + removes
        sizes = [len(value) for _, value in puts]
        if any(n[0] == "servers" for n, _ in puts) or any(n[0] == "servers" for n in removes):
            return 403, b"{}"
        if (len({n[1] for n in names}) > 1 or len(names) > MOST_ENTRIES
                or max(sizes, default=0) > ROW_BYTES or sum(sizes) > MOST_BYTES):
            self.rejected += 1
            big = [(n, len(v)) for n, v in puts if len(v) > ROW_BYTES]
            self.record(f"store: 400, a transaction over the store's limits: rows too large {big}, "
                        f"entries {len(names)}")
            return 400, dump({"error": "limit"})
        part = names[0][1] if names else ""
        begin = max(time.monotonic(), self.free_at.get(part, 0))
        self.free_at[part] = begin + TX_S
        await asyncio.sleep(begin + TX_S - time.monotonic())
        if self.apply(checks, puts, removes):
            return self.answer(200, [])
        found = []
        for n, _ in checks:
            value, version = self.rows.get(n, (b"", 0))
            found.append(self.entry(n, value, version))
        return self.answer(412, found)

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("target_version", "")
        limit = min(int(query.get("limit", "500")), MOST_ROWS)
        keys = sorted(n[2] for n in self.rows if n[0] == table and n[1] == part
                      and n[2] >= first and (not end or n[2] < end))
        rows, size, more = [], 0, False
        for key in keys:
            value, version = self.rows[(table, part, key)]
            if len(rows) >= limit or size + len(value) > MOST_BYTES:
                more = True
                break
            size += len(value)
            rows.append(self.entry((table, part, key), value, version))
        return self.answer(200, rows, more=more)

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            events = self.history.get(table, [])
            begin = bisect.bisect_right(events, after, key=lambda e: e[0])
            if begin < len(events):
                newest = {}
                for version, name, value in events[begin:]:
                    newest.pop(name, None)
                    newest[name] = (value, version)
                return self.answer(200, [self.entry(n, v, ver) for n, (v, ver) in newest.items()])
            left = until - time.monotonic()
            if left <= 0:
                return self.answer(200, [])
            event = self.changed.setdefault(table, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    """One run of a task at a worker."""

    def __init__(self, task, number, work_s, saves, checkpoint):
        self.task, self.number, self.work_s, self.saves = task, number, work_s, saves
        self.before = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.begins = time.monotonic() + (RESTORE_S if checkpoint else 0)
        self.started = time.monotonic()
        self.checkpoint, self.stopping, self.timer = checkpoint, False, None

    def worked(self):
        return self.before + max(0.0, time.monotonic() - self.begins)

    def save(self, exact=False):
        if not self.saves:
            return
        worked = min(self.worked(), self.work_s)
        saved = worked if exact else int(worked / CHECKPOINT_S) * CHECKPOINT_S
        if saved > 0 and (not self.checkpoint or saved * 1000 > int(self.checkpoint[:8], 16)):
            owner = sum(self.task.encode()) * 2654435761 % (1 << 32)
            self.checkpoint = f"{int(saved * 1000):08x}{owner:08x}"


class Life:
    """One life of a worker."""

    def __init__(self, pool, slot):
        self.pool, self.slot = pool, slot
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.offset = random.uniform(1e5, 1e6)
        self.fence, self.until, self.number, self.seen = 0, 0, 0, 0
        self.running, self.last_run, self.ended, self.waiters = {}, {}, [], set()
        self.up, self.heard_at, self.seq, self.since = True, time.monotonic(), 0, time.monotonic()
        self.dark = False  # It has lost power: connections to it hang.

    def clock_ms(self):
        return int(self.offset + time.monotonic() * 1000)

    def entry(self):
        pool = self.pool
        return dump({"backend": pool.service, "address": f"{pool.ip(self.slot)}:{pool.port}",
                     "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
                     "cold_left_ms": 0, "seq_no": self.seq,
                     "capacity": {"cpu": pool.cpu, "mem_mb": pool.mem},
                     "labels": pool.labels(self.slot)})

    def handle(self, path, order):
        if order.get("fencing_token", 0) < self.fence:
            return 409, "fence"
        self.fence = order.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self.start(order)
        if path == "/v1/run-stop":
            return self.stop(order)
        return 200, ""

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock_ms() + MAX_HOLD_MS))

    def start(self, order):
        task, number = order["task"], order["run_id"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, ""
        if order.get("until_ms", 0) <= self.clock_ms():
            return 409, "late"
        self.extend(order["until_ms"])
        if self.last_run.get(task, 0) >= number or (present and present.number >= number):
            return 409, "old"
        work_s, saves = self.pool.ledger.started(self, task, number, order.get("task_spec", ""))
        run = Run(task, number, work_s, saves, order.get("checkpoint", ""))
        self.running[task] = run
        self.pool.ledger.by_task.setdefault(task, []).append((self, run))
        left = max(0.0, run.work_s - run.before) + (run.begins - run.started)
        # A task that lasts has no end of its own: its work is without bound.
        left = min(left, 86400.0)
        run.timer = asyncio.get_running_loop().call_later(left, self.end, run, "done")
        return 200, ""

    def stop(self, order):
        task, number = order["task"], order["run_id"]
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(KILL_GRACE_MS / 2000, self.end, run, "stopped")
        self.last_run[task] = max(self.last_run.get(task, 0), number)
        return 200, ""

    def end(self, run, how):
        if not self.up or self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.timer.cancel()
        run.save(exact=how == "stopped")
        self.last_run[run.task] = max(self.last_run.get(run.task, 0), run.number)
        self.number += 1
        self.ended.append([self.number, run.task, run.number, how,
                           "" if how == "done" else run.checkpoint])
        self.pool.ledger.ended(self, run.task, run.number, how, self.number)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def hold(self, order):
        if order.get("fencing_token", 0) < self.fence:
            return 409, dump({"clock_ms": self.clock_ms(), "reason": "fence"})
        self.fence = order.get("fencing_token", 0)
        if order.get("until_ms"):
            self.extend(order["until_ms"])
        if order.get("last_seen", 0) > self.seen:
            self.seen = order["last_seen"]
            self.pool.ledger.noted(self, [end for end in self.ended if end[0] <= self.seen])
            self.ended = [end for end in self.ended if end[0] > self.seen]
        if order.get("wait_ms") and not self.ended:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            await asyncio.wait([waiter], timeout=min(order["wait_ms"], 2000) / 1000)
            self.waiters.discard(waiter)
            if not self.up:
                raise NoAnswer if self.dark else Reset
        running = []
        for run in self.running.values():
            run.save()
            lasting = run.work_s == float("inf")
            percent = 100 if lasting else int(min(99, run.worked() * 100 / max(run.work_s, 0.001)))
            running.append([run.task, run.number, run.checkpoint, percent, 10])
        return 200, dump({"clock_ms": self.clock_ms(), "running": running,
                          "finished": self.ended[:MOST_ENDS]})

    def check_lease(self):
        if self.up and self.running and self.clock_ms() >= self.until:
            for run in list(self.running.values()):
                self.end(run, "lapsed")


class Pool:
    """The workers of a service, by slot: an address that one life after another holds."""

    def __init__(self, store, ledger, record, prefix, count, service="pool", cpu=16000, mem=65536,
                 labels=lambda slot: ["a", f"r1-{slot // 4}"]):
        self.store, self.ledger, self.record, self.prefix = store, ledger, record, prefix
        self.count, self.service, self.cpu, self.mem, self.labels = count, service, cpu, mem, labels
        self.port, self.lives, self.servers, self.dead = 8170, {}, {}, []
        self.on_start = None  # A case's hook: the power of a worker fails as a start is on its way.
        ledger.pool = self

    def ip(self, slot):
        return f"{self.prefix}.{100 + slot}"

    async def open(self):
        for slot in range(self.count):
            await self.begin(slot)
        asyncio.ensure_future(self.beat())

    async def begin(self, slot):
        life = Life(self, slot)
        self.lives[slot] = life
        if slot not in self.servers:
            async def handle(_method, target, headers, body):
                return await self.handle(slot, target, headers, body)
            self.servers[slot] = Server(handle, self.ip(slot), self.port)
        await self.servers[slot].open()
        self.store.put("servers", "", life.id, life.entry())
        self.record(f"worker {slot}: started as {life.id}")

    def crash(self, slot, dark=False):
        """The worker's process dies: all that ran there is gone, and it says nothing. With `dark` its
        machine loses power: connections hang instead of being reset."""
        life = self.lives[slot]
        life.up, life.dark = False, dark
        if not dark:
            self.servers[slot].close()
        self.record(f"worker {slot}: {life.id} crashed with {len(life.running)} runs")
        for run in life.running.values():
            run.timer.cancel()
            self.ledger.lost(life, run.task, run.number)
        for waiter in life.waiters:
            if not waiter.done():
                waiter.set_result(None)
        life.running = {}
        self.dead.append(life)

    async def handle(self, slot, target, headers, body):
        life = self.lives[slot]
        if not life.up:
            raise NoAnswer if life.dark else Reset
        if headers.get("x-target-instance", life.id) != life.id:
            return 421, b"{}"
        order = json.loads(body)
        if target == "/v1/run-start" and self.on_start is not None and self.on_start(slot, order):
            raise NoAnswer  # It never reached the worker.
        if target == "/v1/hold":
            return await life.hold(order)
        status, reason = life.handle(target, order)
        answer = {"clock_ms": life.clock_ms()}
        if reason:
            answer["reason"] = reason
        return status, dump(answer)

    async def beat(self):
        """Heartbeats of the workers; an entry goes after three of silence."""
        while True:
            now = time.monotonic()
            for life in self.lives.values():
                life.check_lease()
                if life.up and now - life.heard_at >= HEARTBEAT_S:
                    life.heard_at, life.seq = now, life.seq + 1
                    self.store.put("servers", "", life.id, life.entry())
            for life in list(self.dead):
                if now - life.heard_at >= 3 * HEARTBEAT_S:
                    self.store.drop("servers", "", life.id)
                    self.dead.remove(life)
            await asyncio.sleep(0.02)

    def running(self):
        return [(life, run) for life in self.lives.values() if life.up
                for run in life.running.values()]


class Ledger:
    """What was handed in and what the workers did: the truth that the rules are checked against."""

    def __init__(self, record):
        self.record, self.pool = record, None
        self.jobs, self.runs, self.failed_ends = {}, {}, 0
        self.standstill_since, self.standstill = {}, {}
        self.disturbed_at = time.monotonic()
        self.by_task, self.done_noted, self.breaches = {}, {}, []

    def breach(self, rule, text):
        self.breaches.append((rule, text))
        self.record(f"{rule}: {text}")

    def noted(self, life, ends):
        """Ends of a life were taken note of: `last_seen` reached them."""
        for _, task, _, how, _ in ends:
            if how == "done":
                self.done_noted[task] = True

    def describe(self, job, body, work_s):
        self.jobs[job] = {"body": body, "work_s": work_s, "done": set(), "accepted": 0.0,
                          "total": sum(p["count"] for p in body["phases"]), "canceled": False,
                          "failed_ends": 0, "starts": 0}

    def started(self, life, task, number, _payload):
        job, _, step, _ = task.split(".")
        facts = self.jobs[job]
        facts["starts"] += 1
        for other, run in self.by_task.get(task, []):
            if run.number != number and other.up and other.running.get(task) is run:
                self.breach("TWICE", f"{task} run {number} starts at {life.id} while run {run.number} "
                                     f"is at {other.id}")
        if task in facts["done"] and self.done_noted.get(task):
            self.breach("TWICE", f"{task} run {number} starts at {life.id} after a run ended `done`")
        self.runs[(task, number)] = [life.id, "running", time.monotonic()]
        if facts["total"] <= 10:  # Those of wide jobs are too many for the record.
            self.record(f"worker {life.slot}: {life.id} starts {task} run {number}")
        return facts["work_s"], bool(facts["body"]["phases"][int(step)].get("saves_progress"))

    def ended(self, life, task, number, how, _n):
        facts = self.jobs[task.split(".")[0]]
        self.runs[(task, number)][1] = how
        if facts["total"] <= 10:
            self.record(f"worker {life.slot}: {task} run {number} ends {how}")
        if how == "done":
            facts["done"].add(task)
        if how == "failed":
            facts["failed_ends"] += 1

    def lost(self, life, task, number):
        self.runs[(task, number)][1] = "lost with its worker"

    def finished(self, job):
        facts = self.jobs[job]
        return len(facts["done"]) >= facts["total"]

    def watch_standstill(self):
        """LOST: for 3 s a job has nothing running while a task's turn has come, there is capacity for
        it twice over, and under half of the service's capacity is in use. Only calm time counts."""
        now = time.monotonic()
        pool = self.pool
        running = pool.running()
        active = {run.task.split(".")[0] for _, run in running}
        need = {job: f["body"]["phases"][0] for job, f in self.jobs.items()}
        used = sum(need[run.task.split(".")[0]].get("cpu", 0) for _, run in running)
        total = sum(pool.cpu for life in pool.lives.values() if life.up)
        free = {}
        for life in pool.lives.values():
            if life.up:
                free[life.slot] = pool.cpu - sum(need[run.task.split(".")[0]].get("cpu", 0)
                                                 for run in life.running.values())
        for job, facts in self.jobs.items():
            phase = need[job]
            label = phase.get("depends_on", "")
            room = sum(max(0, left) // max(1, phase.get("cpu", 1)) for slot, left in free.items()
                       if not label or label in pool.labels(slot))
            stands = (facts["accepted"] and not facts["canceled"] and not self.finished(job)
                      and job not in active and room >= 2 and used < total / 2
                      and now - self.disturbed_at > CALM_S)
            if not stands:
                self.standstill_since.pop(job, None)
                continue
            since = self.standstill_since.setdefault(job, now)
            self.standstill[job] = max(self.standstill.get(job, 0), now - since)


_LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def _end_with_parent():
    """A node ends with the case, also when that is killed."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Node:
    """One pathport_jobd, started with the command of the deploy file."""

    def __init__(self, number, ip, store, folder):
        self.number, self.ip, self.store, self.folder = number, ip, store, folder
        self.process = None

    def settings(self):
        return {"node_name": f"edge-{self.number}", "ip": self.ip, "port_range": [7720, 7735],
                "listen_addrs": {"frontend": f"{self.ip}:8161", "readiness": f"{self.ip}:8167",
                                 "control": f"{self.ip}:8166"},
                "limits": {"cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0},
                "platform": {"address": self.store}, "advice": self.store,
                "bounds": {"max_hold_ms": MAX_HOLD_MS, "kill_grace_ms": KILL_GRACE_MS,
                           "gang_timeout_ms": 3000, "drain_ms": 2000}}

    def render(self, text):
        values = self.settings()

        def value(match):
            found = values
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            return str(found)

        def section(match):
            found = values
            for part in match.group(1).split("."):
                found = found.get(part, "") if isinstance(found, dict) else ""
            return match.group(2) if found else ""
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", value, text)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = self.render(file.read())
        path = os.path.join(self.folder, f"node-{self.number}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PATHPORT_NODE_FILE"] = path
        log = open(os.path.join(self.folder, f"node-{self.number}.log"), "ab")
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, preexec_fn=_end_with_parent)
        log.close()

    def log_lines(self, event):
        path = os.path.join(self.folder, f"node-{self.number}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if f'"event":"{event}"' in line]

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


async def call(ip, port, method, target, body=b"", timeout=4.0):
    """One request of a client on a connection of its own; returns (status, body), or (0, reason)."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 3000\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                         f"Connection: close\r\n\r\n".encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            size = re.search(r"content-length: (\d+)", head, re.I)
            answer = await reader.readexactly(int(size.group(1)) if size else 0)
            return int(head.split(" ", 2)[1]), answer.decode("utf-8", "replace")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class World:
    """A small deployment: nodes, store, workers, clients."""

    def __init__(self, case_folder, nodes=3, workers=7, **pool):
        self.file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="pathport-review-")
        self.prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store(self.record)
        self.ledger = Ledger(self.record)
        self.pool = Pool(self.store, self.ledger, self.record, self.prefix, workers, **pool)
        address = f"{self.prefix}.1:8169"
        self.nodes = [Node(n, f"{self.prefix}.{10 + n}", address, self.folder)
                      for n in range(1, nodes + 1)]
        self.queues = [("jobs", 1, 4)]
        self.turn = 0

    def record(self, text):
        if self.file.closed:  # The case is over; what still runs is being ended.
            return
        self.file.write(f"{time.monotonic() - self.begun:8.3f} s  {text}\n")
        self.file.flush()

    async def open(self):
        routes = [{"name": name, "host": HOST, "path_prefix": f"/{name}/", "backend": "pool",
                   "route_type": "jobs", "timeout_ms": 4000, "priority": priority,
                   "attempts": attempts, "stretch": 3, "slo_ms": 2000}
                  for name, priority, attempts in self.queues]
        self.store.put("op", "", "config", dump(
            {"version": 3, "routes": routes, "services": [{"name": "pool", "rejects_overload": False}],
             "limits": {"max_header_bytes": 8192, "max_body_bytes": 262144}}))
        await Server(self.store.handle, f"{self.prefix}.1", 8169).open()
        await self.pool.open()
        for node in self.nodes:
            node.start()
        asyncio.ensure_future(self.watch())
        end = time.monotonic() + 15
        while time.monotonic() < end:
            ready = [(await call(node.ip, 8167, "GET", "/v1/ready", timeout=1))[0] for node in self.nodes]
            if all(status == 200 for status in ready):
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not get ready")

    async def watch(self):
        while True:
            self.ledger.watch_standstill()
            for node in self.nodes:
                if node.process.poll() is not None and not getattr(node, "down", False):
                    self.record(f"node {node.number} ended by itself with {node.process.returncode}")
                    node.down = True
            await asyncio.sleep(0.1)

    def leader(self):
        """Returns the node that the leader row names, or nothing."""
        row = self.store.get("lead", "s", "leader")
        name = json.loads(row)[1] if row else ""
        return next((node for node in self.nodes if f"edge-{node.number}" == name), None)

    def disturb(self):
        self.ledger.disturbed_at = time.monotonic()

    async def submit(self, body, work_s, queue="jobs", job=""):
        """A client hands in a job, again at another node after no or an unclear answer."""
        job = job or f"{random.randrange(1 << 64):016x}"
        self.ledger.describe(job, body, work_s)
        for _ in range(5):
            self.turn += 1
            node = self.nodes[self.turn % len(self.nodes)]
            status, answer = await call(node.ip, 8161, "POST", f"/{queue}/{job}", dump(body))
            self.record(f"client: POST {job} to node {node.number}: {status}")
            if 200 <= status < 300:
                self.ledger.jobs[job]["accepted"] = time.monotonic()
                return job
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(1)
        raise RuntimeError(f"job {job} was not accepted: {status} {answer}")

    async def state(self, job, queue="jobs", log=True):
        self.turn += 1
        node = self.nodes[self.turn % len(self.nodes)]
        status, answer = await call(node.ip, 8161, "GET", f"/{queue}/{job}")
        if log:
            self.record(f"client: GET {job} at node {node.number}: {status} {answer}")
        try:
            return status, json.loads(answer).get("state", "")
        except ValueError:
            return status, ""

    def close(self):
        for node in self.nodes:
            node.end()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.file.close()


def run_case(main):
    """Runs a case: 1 the rule was broken, 0 it held, 2 the case couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(115):
            return await main(folder, trouble)
    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # The case could not run; the record tells why.
        with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as file:
            file.write(f"could not run: {type(error).__name__} {error}\n")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
