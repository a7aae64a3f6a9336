"""Stand-ins of the fourth review: store, workers, advice service and clients in one process,
written after PROTOCOL.md. The nodes are the project's own program, one process each."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the two small sites of the pages.
KIOSK = {"max_hold_ms": 6000, "kill_grace_ms": 400, "gang_timeout_ms": 3000, "drain_ms": 2000,
         "cancel_ms": 3000, "visible_ms": 3000, "contact_ms": 3000, "config_apply_ms": 2000}
BOARDS = dict(KIOSK, max_hold_ms=10000)


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now() - self.began:8.3f} " + " ".join(str(w) for w in words) + "\n")


class Silent(Exception):
    """The call gets no answer; its connection says nothing more."""


class Reset(Exception):
    """The connection is reset."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server on one loopback address. The handler returns (status, value)."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True,
                                                 backlog=512)

    def close(self):
        """As when the process ends: open connections and new ones are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.reset(writer)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
        writer.transport.abort()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                try:
                    status, value = await self.handler(method, target, headers, body)
                except Silent:
                    await reader.read()
                    return
                except Reset:
                    self.reset(writer)
                    return
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows, transactions, feeds."""

    TX_S = 0.005

    def __init__(self):
        self.rows, self.version, self.log = {}, 0, []
        self.changed, self.free_at = asyncio.Event(), {}
        self.row_bytes, self.rejected = 65536, 0
        self.trouble = None  # Called with (path, headers) before a call; may raise, or return a status.

    def put(self, table, part, key, value):
        self.apply([((table, part, key), value)], [])

    def remove(self, table, part, key):
        self.apply([], [(table, part, key)])

    def apply(self, puts, removes):
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.log.append((self.version, name, value))
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.log.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, rows=(), **more):
        return {"ver": self.version, "now_ms": int(now() * 1000), "rows": list(rows), **more}

    @staticmethod
    def entry(name, value, version):
        entry = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            entry["gone"] = True
        else:
            entry["value"] = base64.b64encode(value).decode()
        return entry

    async def handle(self, _method, target, headers, body):
        parts = urlsplit(target)
        path = unquote(parts.path)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if self.trouble is not None:
            status = await self.trouble(path, headers)
            if status:
                return status, {}
        if path == "/v1/rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(0.003)
        if path == "/v1/rows-get":
            return self.get(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        if path == "/v1/rows-parts":
            names = sorted({n[1] for n in self.rows if n[0] == query.get("table")})
            return 200, {"ver": self.version, "now_ms": int(now() * 1000), "parts": names[:1000]}
        return 400, {}

    async def transact(self, call):
        def name(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])
        checks = [(name(e), e.get("ver", 0)) for e in call.get("expected_rev", [])]
        puts = [(name(e), e["value"]) for e in call.get("put", [])]
        removes = [name(e) for e in call.get("remove", [])]
        names = [n for n, _ in checks] + [n for n, _ in puts] + removes
        size = sum(len(v) for _, v in puts)
        if len(names) > 100 or size > 1 << 20 or len({n[1] for n in names}) > 1 \
                or any(len(v) > self.row_bytes for _, v in puts):
            self.rejected += 1
            return 400, {}
        part = names[0][1]
        begin = max(now(), self.free_at.get(part, 0))
        if begin - now() > 1:
            return 429, {}
        self.free_at[part] = begin + self.TX_S
        await asyncio.sleep(begin + self.TX_S - now())
        if any(self.rows.get(n, (None, 0))[1] != ver for n, ver in checks):
            return 412, self.answer([self.entry(n, *self.rows[n]) for n, _ in checks
                                     if n in self.rows])
        self.apply([(n, base64.b64decode(v)) for n, v in puts], removes)
        return 200, self.answer()

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("target_version", "")
        limit = min(500, int(query.get("limit", "500")))
        names = sorted(n for n in self.rows if n[0] == table and n[1] == part
                       and n[2] >= first and (not end or n[2] < end))
        return 200, self.answer([self.entry(n, *self.rows[n]) for n in names[:limit]],
                                more=len(names) > limit)

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        end = now() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            latest = {}
            for version, name, value in reversed(self.log):
                if version <= after:
                    break
                if name[0] == table:
                    latest.setdefault(name, (version, value))
            if latest or now() >= end:
                rows = sorted((v, n, value) for n, (v, value) in latest.items())
                return 200, self.answer([self.entry(n, value, v) for v, n, value in rows])
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass


class Worker:
    """One machine's worker: one life after the other at one address."""

    def __init__(self, cell, number, cpu=16000, mem=65536):
        self.cell, self.number, self.cpu, self.mem = cell, number, cpu, mem
        self.ip, self.rack = f"127.20.0.{number}", f"r1-{number % 6}"
        self.server = Server(self.ip, cell.worker_port, self.handle)
        self.lives, self.up, self.id = 0, False, ""
        self.draining_until = 0
        self.trouble = None

    async def start(self):
        self.lives += 1
        self.id = f"w{self.number}-{uuid.uuid4()}"
        self.born, self.zero = int(time.time() * 1000), now() - 100
        self.fence, self.lease, self.last_n, self.seen = 0, 0, 0, 0
        self.running, self.highest, self.ends, self.waiting = {}, {}, [], set()
        self.draining_until = 0
        self.up = True
        await self.server.open()
        self.publish()
        self.cell.record("worker", self.label(), "starts at", self.ip, "as", self.id)

    def label(self):
        """Its number and life, for the record."""
        return f"w{self.number}.{self.lives}"

    def publish(self):
        entry = {"backend": self.cell.service, "address": f"{self.ip}:{self.cell.worker_port}",
                 "zone": self.cell.zone, "version": "1", "slots": 8, "cold_left_ms": 0, "seq_no": 1,
                 "state": "draining" if self.draining_until else "ready", "born": self.born,
                 "clock_ms": self.clock(), "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
                 "labels": ["a", self.rack]}
        if self.draining_until:
            entry["remaining_ms"] = max(0, int((self.draining_until - now()) * 1000))
        self.cell.store.put("servers", "", self.id, json.dumps(entry).encode())

    def crash(self):
        """The worker ends at once, with all that runs there; its entry goes three beats later."""
        self.cell.record("worker", self.label(), "crashes, with", len(self.running), "tasks")
        self.up = False
        for task, run in list(self.running.items()):
            self.cell.ended(self, task, run, "lost")
        self.running.clear()
        self.server.close()
        self.cell.later(4.5, lambda gone=self.id: self.cell.store.remove("servers", "", gone))

    def clock(self):
        return int((now() - self.zero) * 1000)

    def tick(self):
        """Leases lapse, work ends."""
        for task, run in list(self.running.items()):
            if self.clock() >= self.lease:
                self.end(task, "lapsed")
            elif run["stop_at"] and now() >= run["stop_at"]:
                self.end(task, "stopped")
            elif not run["lasting"] and now() - run["at"] >= run["work_s"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_n += 1
        self.ends.append([self.last_n, task, run["run"], how, ""])
        self.cell.ended(self, task, run, how)
        for waiter in self.waiting:
            waiter.set()

    def percent(self, run):
        worked = now() - run["at"]
        if run["lasting"]:
            return 100 if worked > 0.3 else 0
        return min(99, int(100 * worked / run["work_s"]))

    async def handle(self, _method, target, headers, body):
        if not self.up:
            raise Reset
        if self.trouble is not None:
            await self.trouble(target)
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        call, life = json.loads(body or b"{}"), self.lives
        fence = call.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence", "born": self.born}
        self.fence = fence
        if target == "/v1/hold":
            return await self.hold(call, life)
        self.tick()
        reason = ""
        if target == "/v1/run-start":
            reason = self.start_run(call)
        elif target == "/v1/run-stop":
            self.highest[call["task"]] = max(self.highest.get(call["task"], 0), call["run_id"])
            run = self.running.get(call["task"])
            if run is not None and run["run"] == call["run_id"] and not run["stop_at"]:
                run["stop_at"] = now() + 0.2
        answer = {"clock_ms": self.clock(), "born": self.born}
        return (409, {**answer, "reason": reason}) if reason else (200, answer)

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + self.cell.bounds["max_hold_ms"]))

    def start_run(self, call):
        task, number = call["task"], call["run_id"]
        present = self.running.get(task)
        if present is not None and present["run"] == number:
            return ""
        if call.get("until_ms", 0) <= self.clock():
            return "late"
        self.extend(call["until_ms"])
        if self.highest.get(task, 0) >= number or present is not None:
            return "old"
        spec = self.cell.spec_of(task)
        self.highest[task] = number
        self.running[task] = {"run": number, "at": now(), "stop_at": 0, "cpu": spec.get("cpu", 0),
                              "lasting": spec.get("long_running", False),
                              "work_s": self.cell.work_s(task), "from": call.get("fencing_token")}
        self.cell.started(self, task, number, call)
        return ""

    async def hold(self, call, life):
        if call.get("until_ms"):
            self.extend(call["until_ms"])
        self.seen = max(self.seen, call.get("last_seen", 0))
        self.ends = [end for end in self.ends if end[0] > self.seen]
        self.tick()
        if call.get("wait_ms") and not self.ends:
            waiter = asyncio.Event()
            self.waiting.add(waiter)
            try:
                await asyncio.wait_for(waiter.wait(), min(2000, call["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
            self.waiting.discard(waiter)
            if not self.up or life != self.lives:
                raise Reset
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[task, run["run"], "", self.percent(run), run["cpu"]]
                                 for task, run in self.running.items()],
                     "finished": self.ends[:500]}


class Node:
    """One process of the system, started with the command and the template of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.number, self.ip = cell, number, f"127.10.0.{number}"
        self.name, self.process = f"edge-{number}", None

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "node.ini.template"), encoding="utf-8") as file:
            text = file.read()
        ports = self.cell.ports
        values = {"node_name": self.name, "ip": self.ip, "port_range.0": ports[0],
                  "limits.cpu_share": 0.25, "limits.cores": 1, "limits.link_mbps": 1000.0,
                  "listen_addrs.frontend": f"{self.ip}:{ports[1]}",
                  "listen_addrs.readiness": f"{self.ip}:{ports[2]}",
                  "platform.address": f"{self.cell.store_ip}:{ports[3]}",
                  "advice": f"{self.cell.store_ip}:{ports[4]}"}
        values.update({"bounds." + k: v for k, v in self.cell.bounds.items()})
        lines = []
        for line in text.split("\n"):
            if "{{#" in line:
                continue  # A bound that these deployments don't have.
            for key, value in values.items():
                line = line.replace("{{" + key + "}}", str(value))
            lines.append(line)
        return "\n".join(lines)

    def start(self):
        path = os.path.join(self.cell.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "a", encoding="utf-8")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["PATHPORT_NODE_FILE"] = path
        self.process = subprocess.Popen(["target/bin/pathport_jobd"], cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL, env=environment)
        log.close()
        self.cell.record("node", self.name, "starts")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.cell.record("node", self.name, "gets signal", number)
            os.kill(self.process.pid, number)

    def kill(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Cell:
    """A small deployment."""

    service, host, prefix, zone = "pool1", "kiosk.example", "/tasks/", "z1"

    def __init__(self, folder, bounds, nodes=4, workers=12, queue=None):
        self.record = Record(folder)
        self.bounds, self.queue = bounds, queue or {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = self.free_ports()
        self.worker_port, self.store_ip = self.ports[5], "127.30.0.1"
        self.store = Store()
        self.nodes = [Node(self, i + 1) for i in range(nodes)]
        self.workers = [Worker(self, i + 1) for i in range(workers)]
        self.jobs, self.history, self.works = {}, [], {}
        self.version, self.routes = 7, []
        self.tasks = []
        self.present = {}

    @staticmethod
    def free_ports():
        """Ports below those of outgoing connections that are free at all addresses of a run."""
        addresses = ["127.30.0.1"] + [f"127.{net}.0.{i}" for net in (10, 20) for i in range(1, 9)]
        ports = []
        while len(ports) < 6:
            port = random.randrange(11000, 32000)
            held = []
            try:
                for address in addresses:
                    holder = socket.socket()
                    held.append(holder)
                    holder.bind((address, port))
            except OSError:
                continue
            finally:
                for holder in held:
                    holder.close()
            if port not in ports:
                ports.append(port)
        return ports

    def later(self, delay, call):
        asyncio.get_running_loop().call_later(delay, call)

    # What runs, for the checks.
    def spec_of(self, task):
        job, _, step, _ = task.split(".")
        phases = self.jobs.get(job, {}).get("phases", [])
        return phases[int(step)] if int(step) < len(phases) else {}

    def work_s(self, task):
        spec = self.spec_of(task)
        return self.works.get(task.split(".")[0], spec.get("est_runtime_ms", 1000) / 1000)

    def started(self, worker, task, number, call):
        entry = {"task": task, "run": number, "worker": worker.id, "from": now(), "to": None, "how": ""}
        self.history.append(entry)
        self.present[(worker.id, task)] = entry
        self.record("start", task, "run", number, "on", worker.label(), "fence", call.get("fencing_token"))

    def ended(self, worker, task, run, how):
        entry = self.present.pop((worker.id, task))
        entry["to"], entry["how"] = now(), how
        self.record("end", task, "run", run["run"], "on", worker.label(), how)

    def add_queue(self, name, priority, **more):
        """Adds a queue under /NAME/."""
        self.routes.append({"name": name, "host": self.host, "path_prefix": f"/{name}/", "backend": self.service,
                            "timeout_ms": 4000, "priority": priority, "attempts": 3, "stretch": 3.0,
                            "slo_ms": 2000, "route_type": "jobs", **more})

    def configure(self):
        route = {"name": "q1", "host": self.host, "path_prefix": self.prefix, "backend": self.service,
                 "timeout_ms": 4000, "priority": 0, "attempts": 3, "stretch": 3.0, "slo_ms": 2000,
                 "route_type": "jobs"}
        route.update(self.queue)
        value = {"version": self.version, "routes": [route] + self.routes,
                 "services": [{"name": self.service, "rejects_overload": False}],
                 "limits": {"max_header_bytes": 8192, "max_body_bytes": 262144}}
        self.store.put("op", "", "config", json.dumps(value).encode())

    async def begin(self):
        ports = self.ports
        await Server(self.store_ip, ports[3], self.store.handle).open()
        await Server(self.store_ip, ports[4], self.advise).open()
        self.configure()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            node.start()
        self.tasks.append(asyncio.ensure_future(self.clock()))
        end = now() + 15
        while now() < end:
            ready = [await self.call(node, "GET", "/v1/ready", port=ports[2]) for node in self.nodes]
            if all(status == 200 for status, _ in ready):
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the nodes don't become ready")
        await asyncio.sleep(3)

    async def advise(self, _method, _target, _headers, body):
        call = json.loads(body)
        await asyncio.sleep(0.01)
        return 200, {"healthy": [[w, "ticket-" + w] for w in call["workers"]]}

    async def clock(self):
        while True:
            for worker in self.workers:
                if worker.up:
                    worker.tick()
            await asyncio.sleep(0.02)

    async def call(self, node, method, path, body=None, port=None, limit=5.0, host=None):
        """Returns (status, value); (0, None) without an answer."""
        data = json.dumps(body).encode() if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host or self.host}\r\nX-Deadline-Ms: {int(limit * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(node.ip, port or self.ports[1])
                writer.write(head.encode() + data)
                line, _, answer = await read_message(reader)
                return int(line.split(" ")[1]), json.loads(answer) if answer else None
            return await asyncio.wait_for(exchange(), limit)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, None
        finally:
            if writer is not None:
                writer.close()

    async def submit(self, job, body, nodes=None, tries=8, limit=3.0, prefix=None):
        """Hands a job in, again after no answer, 429, 502, 503 and 504; returns the last status."""
        self.jobs[job] = body
        status = 0
        for attempt in range(tries):
            node = (nodes or self.nodes)[attempt % len(nodes or self.nodes)]
            status, _ = await self.call(node, "POST", (prefix or self.prefix) + job, body, limit=limit)
            self.record("POST", job, "to", node.name, "->", status)
            if 200 <= status < 300 or status in (400, 404, 409, 422):
                break
            await asyncio.sleep(1)
        return status

    async def state(self, job, node=None, prefix=None):
        status, answer = await self.call(node or self.nodes[0], "GET", (prefix or self.prefix) + job)
        self.record("GET", job, "->", status, answer)
        return status, (answer or {}).get("state")

    def idle_since(self, task):
        """Returns since when a task of a job runs nowhere; None if it runs."""
        last = None
        for entry in self.history:
            if entry["task"] != task:
                continue
            if entry["to"] is None:
                return None
            last = max(last or 0, entry["to"])
        return last

    def end(self):
        for node in self.nodes:
            node.kill()
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            worker.server.close()
        self.record.file.flush()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(script, trouble_text):
    """Runs a case: `script(folder, trouble)` returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    print(trouble_text if trouble else "without the disruption")
    if not os.access(os.path.join(ROOT, "target", "bin", "pathport_jobd"), os.X_OK):
        print("target/bin/pathport_jobd is missing")
        sys.exit(NOT_RUN)
    try:
        held = asyncio.run(asyncio.wait_for(script(folder, trouble), 115))
    except Exception as error:  # The case could not run.
        print("could not run:", repr(error))
        sys.exit(NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
