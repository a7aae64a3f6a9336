"""A small deployment on loopback for the cases of review 2: the nodes as the deploy file starts
them, and stand-ins of the platform's store, workers and clients, in one process and on the real
clock. Store rows and the HTTP server and client are those of testsuite/soak; the workers are new
and follow PROTOCOL.md ("Running tasks")."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "testsuite"))

from soak import processes, wire  # noqa: E402
from soak.http1 import Client, ConnectionLost, NoAnswer, ResetConnection, ServerConnection, reset  # noqa: E402
from soak.store import Store  # noqa: E402
from soak.store_service import Rates, StoreService  # noqa: E402

# Bounds of the site dmwra-pathport (SYSTEM.md).
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "max_hold_ms": 10000, "kill_grace_ms": 400, "gang_timeout_ms": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "checkpoint_s": 0.5,
          "restore_ms": 250}
HOST = "review.example"
SERVICE = "speedboard"
BEAT_S = 1.5
MOST_ENDS = 500
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Listener:
    """Serves one loopback address with the soak's HTTP server."""

    def __init__(self, handler, ip, port):
        self.handler, self.ip, self.port = handler, ip, port
        self.connections, self.server = set(), None

    async def open(self):
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(self.handler, self.connections), self.ip, self.port,
                backlog=1024)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            reset(connection.transport)


class Run:
    def __init__(self, task, number, step, checkpoint):
        self.task, self.number, self.step = task, number, step
        self.since = time.monotonic()
        self.checkpoint, self.before, self.stop_at = checkpoint, 0.0, 0.0
        if checkpoint:
            self.before = int(checkpoint[:8], 16) / 1000 - BOUNDS["restore_ms"] / 1000

    def worked(self, now):
        return self.before + now - self.since


class Worker:
    """One life of a worker at one address."""

    def __init__(self, cell, number, ip, port):
        self.cell, self.number, self.kind = cell, number, "a"
        self.id = f"s{number:02d}-{random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.offset = random.uniform(0, 1e6)
        self.ip, self.port = ip, port
        self.fence = self.hold_until = self.last_number = self.seen = 0
        self.running, self.last_run, self.ended, self.waiting = {}, {}, [], []
        self.up = True
        self.listener = Listener(self.handle, ip, port)

    def clock(self):
        return int(self.offset + time.monotonic() * 1000)

    def entry(self):
        return json.dumps({
            "born": self.born, "backend": SERVICE, "address": f"{self.ip}:{self.port}",
            "zone": "hall-mji", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "seq_no": 1, "capacity": {"cpu": self.cell.worker_cpu, "mem_mb": 65536, "gpu": 0},
            "labels": [self.kind, f"r1-{self.number // 8}"]}).encode()

    async def handle(self, request):
        if not self.up:
            raise ResetConnection
        if request.headers.get(wire.LIFE_HEADER, self.id) != self.id:
            return wire.error_answer(421)
        path, _ = wire.call_of(request)
        order = wire.order_from(request)
        if order.fence < self.fence:
            return wire.order_answer(self.clock(), "fence")
        self.fence = order.fence
        if path == wire.LOOK:
            return await self.hold(order)
        if path == wire.START:
            return wire.order_answer(self.clock(), self.start(order))
        if path == wire.STOP:
            self.stop(order)
            return wire.order_answer(self.clock())
        return wire.order_answer(self.clock()) if path == wire.PACE else wire.error_answer(404)

    def extend(self, until):
        self.hold_until = max(self.hold_until, min(until, self.clock() + BOUNDS["max_hold_ms"]))

    def start(self, order):
        present = self.running.get(order.task)
        if present is not None and present.number == order.run:
            return ""
        if order.until <= self.clock():
            return "late"
        self.extend(order.until)
        if present is not None or self.last_run.get(order.task, 0) >= order.run:
            return "old"
        step = self.cell.step_of(order.task)
        if step is None:
            return "room"
        self.running[order.task] = Run(order.task, order.run, step, order.checkpoint)
        self.cell.started(self, order)
        return ""

    def stop(self, order):
        run = self.running.get(order.task)
        if run is not None and run.number == order.run and not run.stop_at:
            run.stop_at = time.monotonic() + 0.2
        self.last_run[order.task] = max(self.last_run.get(order.task, 0), order.run)

    async def hold(self, order):
        if order.until:
            self.extend(order.until)
        if order.seen > self.seen:
            self.seen = order.seen
            self.ended = [end for end in self.ended if end[0] > self.seen]
        if order.wait_ms and not self.ended:
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            await asyncio.wait([waiter], timeout=min(order.wait_ms, 2000) / 1000)
            self.waiting.remove(waiter)
            if not self.up:
                raise ResetConnection
        now = time.monotonic()
        running = [[r.task, r.number, r.checkpoint,
                    min(99, int(100 * r.worked(now) / r.step["work_s"])), r.step["cpu"]]
                   for r in self.running.values()]
        return wire.look_answer(self.born, self.clock(), running, self.ended[:MOST_ENDS])

    def end(self, run, how):
        self.running.pop(run.task)
        self.last_run[run.task] = max(self.last_run.get(run.task, 0), run.number)
        self.last_number += 1
        self.ended.append([self.last_number, run.task, run.number, how,
                           "" if how == "done" else run.checkpoint])
        self.cell.ended(self, run, how)
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)

    def tick(self, now):
        lapsed = self.hold_until <= self.clock()
        for run in list(self.running.values()):
            if run.step.get("saves"):
                saved = int(run.worked(now) / BOUNDS["checkpoint_s"]) * BOUNDS["checkpoint_s"]
                if saved > 0:
                    run.checkpoint = f"{int(saved * 1000):08x}{zlib.crc32(run.task.encode()):08x}"
            if lapsed:
                self.end(run, "lapsed")
            elif run.stop_at and now >= run.stop_at:
                self.end(run, "stopped")
            elif run.worked(now) >= run.step["work_s"]:
                self.end(run, "done")

    def crash(self):
        self.up = False
        self.running.clear()
        self.listener.close()
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)


class Node:
    """One machine with the role of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.number = cell, number
        self.name = f"edge-{number}"
        self.ip = f"127.{cell.net}.200.{number}"
        self.clients, self.readiness, self.peers = (free_port(self.ip) for _ in range(3))
        self.settings = os.path.join(cell.folder, f"{self.name}.ini")
        self.log = os.path.join(cell.folder, f"{self.name}.log")
        self.process, self.starts, self.wanted = None, 0, False

    def fields(self):
        return {"node_name": self.name, "ip": self.ip,
                "limits": {"cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0},
                "listen_addrs": {"frontend": f"{self.ip}:{self.clients}",
                                 "readiness": f"{self.ip}:{self.readiness}"},
                "port_range": [self.peers, self.peers],
                "platform": {"address": f"{self.cell.service_ip}:{self.cell.store_port}"},
                "advice": f"{self.cell.service_ip}:{self.cell.advice_port}", "bounds": BOUNDS}

    def write_settings(self, template):
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = file.read()
        fields = self.fields()

        def value(path):
            found = fields
            for part in path.split("."):
                if isinstance(found, list):
                    found = found[int(part)]
                else:
                    found = found.get(part)
                if found is None:
                    return None
            return found

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m.group(2) if value(m.group(1)) else "", text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1)) or ""), text)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        role = self.cell.role
        self.write_settings(role["template"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={**kept, "PATHPORT_NODE_FILE": self.settings},
                preexec_fn=processes._end_with_parent)  # Also when this script is killed.
        self.starts += 1
        self.wanted = True

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0.0
        except OSError:
            return 0.0

    def kill(self):
        self.wanted = False
        if self.alive:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Cell:
    """The whole deployment of a case."""

    def __init__(self, case_folder, nodes=3, workers=12, worker_cpu=16000, queues=None):
        self.folder = tempfile.mkdtemp(prefix="pathport-review-")
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.net = random.randrange(60, 100)
        self.service_ip = f"127.{self.net}.201.1"
        self.store_port, self.advice_port = free_port(self.service_ip), free_port(self.service_ip)
        self.worker_cpu = worker_cpu
        self.jobs, self.counts, self.done = {}, {}, {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        self.program = os.path.join(ROOT, self.role["run"].split()[0])
        if not os.access(self.program, os.X_OK):
            self.record("case can't run: the program of the deploy file is not built")
            sys.exit(2)
        self.queues = queues or [{"name": "plain", "host": HOST, "path_prefix": "/plain/",
                                  "backend": SERVICE, "timeout_ms": 4000, "priority": 1,
                                  "attempts": 2, "stretch": 3, "slo_ms": 2000}]
        self.store = Store()
        # The platform's figures of the site: 800 writing and 2,000 reading calls a second.
        self.service = StoreService(self.store, Rates(800, 2000), 1, lambda ip: 0,
                                    lambda value, view: value)
        self.nodes = [Node(self, i + 1) for i in range(nodes)]
        self.workers = [self.new_worker(i + 1) for i in range(workers)]
        self.tasks = []

    def new_worker(self, number, port=0):
        ip = f"127.{self.net}.{1 + number // 200}.{1 + number % 200}"
        return Worker(self, number, ip, port or free_port(ip))

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.record_file.flush()

    # What the platform does.

    def put(self, table, key, value):
        name = wire.RowName(table, "", key)
        self.service.apply(wire.Write([], [(name, value)], []) if value
                           else wire.Write([], [], [name]))

    async def open(self):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        config = {"version": 3, "routes": self.queues,
                  "services": [{"name": SERVICE, "rejects_overload": False}],
                  "limits": {"max_header_bytes": 8192, "max_body_bytes": 262144}}
        self.put(wire.OPERATOR_TABLE, wire.CONFIG_KEY, json.dumps(config).encode())
        await Listener(self.service.handle, self.service_ip, self.store_port).open()
        for worker in self.workers:
            await worker.listener.open()
            self.put(wire.SERVERS_TABLE, worker.id, worker.entry())
        self.tasks = [asyncio.ensure_future(self.run_clock())]
        for node in self.nodes:
            node.start()
        await self.ready()

    async def ready(self, bound_s=20):
        end = time.monotonic() + bound_s
        for node in self.nodes:
            while time.monotonic() < end:
                try:
                    answer = await Client(node.ip, node.readiness).call("GET", "/v1/ready",
                                                                        timeout=2)
                    if answer.status == 200:
                        break
                except (OSError, ConnectionLost, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.05)
            else:
                self.record(f"{node.name} did not get ready")
                raise SystemExit(2)
        await asyncio.sleep(2)

    async def run_clock(self):
        while True:
            now = time.monotonic()
            for worker in self.workers:
                if worker.up:
                    worker.tick(now)
            await asyncio.sleep(0.02)

    async def crash_workers(self, workers, back_after_s):
        """Workers crash; their entries go after three heartbeats of silence, and others come."""
        for worker in workers:
            self.record(f"worker {worker.id} crashes with {len(worker.running)} runs")
            worker.crash()
        await asyncio.sleep(3 * BEAT_S)
        for worker in workers:
            self.put(wire.SERVERS_TABLE, worker.id, b"")
        await asyncio.sleep(max(0, back_after_s - 3 * BEAT_S))
        for worker in workers:
            fresh = self.new_worker(worker.number, worker.port)
            self.workers[self.workers.index(worker)] = fresh
            await fresh.listener.open()
            self.put(wire.SERVERS_TABLE, fresh.id, fresh.entry())
            self.record(f"worker {fresh.id} comes")

    # What workers tell.

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)] if job in self.jobs else None

    def started(self, worker, order):
        self.counts["starts"] = self.counts.get("starts", 0) + 1
        self.record(f"start {order.task} run {order.run} at {worker.id}")

    def ended(self, worker, run, how):
        self.counts[how] = self.counts.get(how, 0) + 1
        if how == "done":
            job = run.task.split(".")[0]
            self.done[job] = self.done.get(job, 0) + 1
        self.record(f"end {run.task} run {run.number} at {worker.id}: {how}")

    def running_of(self, job):
        return sum(1 for worker in self.workers if worker.up for task in worker.running
                   if task.startswith(job + "."))

    def done_of(self, job):
        return self.done.get(job, 0)

    def cpu_in_use(self):
        return sum(run.step["cpu"] for worker in self.workers if worker.up
                   for run in worker.running.values())

    # What clients do.

    async def call(self, node, method, path, body=b"", timeout=3.0, quiet=False):
        """Returns (status, body); status 0 is no answer."""
        client = Client(node.ip, node.clients)
        headers = {"Host": HOST, "Content-Type": "application/json",
                   wire.DEADLINE_HEADER: str(int(timeout * 1000))}
        try:
            answer = await client.call(method, path, headers, body, timeout)
            status, text = answer.status, answer.body
        except (OSError, ConnectionLost, asyncio.TimeoutError):
            status, text = 0, b""
        finally:
            client.close()
        if not quiet:
            self.record(f"{method} {path} at {node.name} ({len(body)} bytes): "
                        f"{status or 'no answer'} {text[:120].decode()}")
        return status, text

    async def submit(self, job, steps, extra=None, tries=5, quiet=False):
        """Hands a job in as a client does: again after no answer, 502, 503 or 504."""
        self.jobs[job] = steps
        phases = [{key: value for key, value in {
            "count": step["count"], "cpu": step["cpu"], "mem_mb": step.get("mem_mb", 16),
            "est_runtime_ms": int(step["work_s"] * 1000), "after": step.get("after", []),
            "saves_progress": step.get("saves", False),
            "depends_on": step.get("label", "")}.items() if value} for step in steps]
        body = json.dumps({"task_spec": "review", "phases": phases, **(extra or {})}).encode()
        for attempt in range(tries):
            node = self.nodes[attempt % len(self.nodes)]
            status, _ = await self.call(node, "POST", "/plain/" + job, body, quiet=quiet)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, quiet=False):
        """Asks nodes in turn for up to 3 s; returns the state, or an empty text."""
        for node in self.nodes:
            status, body = await self.call(node, "GET", "/plain/" + job, timeout=3.0, quiet=quiet)
            if status == 200:
                return json.loads(body).get("state", "")
            if status == 410:
                return "unknown"
        return ""

    def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        self.record("ended; counts: " + json.dumps(self.counts))
        self.record_file.close()


def play(make):
    """Runs a case: `make` is a coroutine that returns (cell, whether the rule was broken)."""
    cells = []

    async def bounded():
        return await asyncio.wait_for(make(cells), 112)

    code = 2
    try:
        code = 1 if asyncio.run(bounded()) else 0
    except SystemExit as error:
        code = int(error.code or 0)
    except Exception as error:  # The case couldn't run.
        if cells:
            cells[0].record(f"case can't run: {error!r}")
        print(f"case can't run: {error!r}", file=sys.stderr)
    finally:
        for cell in cells:
            if os.environ.get("KEEP_LOGS"):
                print(cell.folder)
            cell.close()
            if not os.environ.get("KEEP_LOGS"):
                subprocess.run(["rm", "-rf", cell.folder], check=False)
    return code
