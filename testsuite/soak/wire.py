# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The users' wire: the only place of the soak that knows the spellings of PROTOCOL.md."""

import base64
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

from .http1 import Answer, Request

LIFE_HEADER = "x-target-instance"
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "X-Api-Key"
SERVERS_TABLE, OPERATOR_TABLE, CONFIG_KEY = "servers", "op", "config"
DRAIN_KEY_PREFIX = "evacuate/"
ADDRESS_FIELD = b'"address":"'  # How the address of a worker begins in its row.
ROWS_WRITE, ROWS_READ = "/v1/rows-tx", "/v1/rows-get"
ROWS_WATCH, ROWS_PARTS = "/v1/rows-feed", "/v1/rows-parts"
START, STOP, PACE, LOOK = "/v1/run-start", "/v1/run-stop", "/v1/pace", "/v1/hold"
# Why a worker refuses an order.
STALE_FENCE, OLD_RUN, TOO_LATE, NO_ROOM, BAD_TICKET = "fence", "old", "late", "room", "ticket"
STATES = {"pending": "waiting", "active": "running", "completed": "completed",
          "failed": "failed", "canceled": "canceled"}


@dataclass(frozen=True)
class RowName:
    """Names one row of the store."""
    table: str
    part: str
    key: str


@dataclass
class Row:
    """One row; a removed one has no value."""
    name: RowName
    value: bytes
    version: int
    removed: bool = False


@dataclass
class Write:
    """A transaction: conditions (name, version), rows to put (name, value), rows to remove."""
    conditions: list
    puts: list
    removes: list


@dataclass
class Range:
    """What a reading of rows asks for."""
    table: str
    part: str
    first: str
    end: str
    limit: int


@dataclass
class Watch:
    """What a feed asks for."""
    table: str
    after: int
    wait_ms: int


@dataclass
class Order:
    """A start, a stop, a pace or a look at a worker."""
    task: str = ""
    run: int = 0
    fence: int = 0
    payload: str = ""
    until: float = 0
    checkpoint: str = ""
    ticket: str = ""
    seen: int = 0
    wait_ms: int = 0
    percent: int = 100
    life: str = ""


@dataclass
class Step:
    """One step of a job as callers state it."""
    count: int
    cpu: int
    mem: int
    run_ms: int
    after: list = field(default_factory=list)
    gang: bool = False
    saves: bool = False
    lasting: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0


def dump(value):
    return json.dumps(value, separators=(",", ":")).encode()


def call_of(request: Request):
    """Returns (path, {parameter: text})."""
    parts = urlsplit(request.target)
    return unquote(parts.path), {k: v[0] for k, v in parse_qs(parts.query).items()}


def name_from(entry):
    return RowName(entry["table"], entry.get("part", ""), entry["key"])


def write_from(body):
    entry = json.loads(body)
    return Write([(name_from(e), e.get("ver", 0)) for e in entry.get("expected_rev", [])],
                 [(name_from(e), base64.b64decode(e["value"])) for e in entry.get("put", [])],
                 [name_from(e) for e in entry.get("remove", [])])


def range_from(query):
    return Range(query.get("table", ""), query.get("part", ""), query.get("from", ""),
                 query.get("target_version", ""), int(query.get("limit", "500")))


def watch_from(query):
    return Watch(query.get("table", ""), int(query.get("after", "0")),
                 int(query.get("wait_ms", "0")))


def row_entry(row):
    entry = {"table": row.name.table, "part": row.name.part, "key": row.name.key,
             "ver": row.version}
    if row.removed:
        entry["gone"] = True
    else:
        entry["value"] = base64.b64encode(row.value).decode()
    return entry


def rows_answer(status, version, now_ms, rows=(), more=False):
    return Answer(status, dump({"ver": version, "now_ms": now_ms, "more": more,
                                "rows": [row_entry(row) for row in rows]}))


def parts_answer(version, now_ms, parts):
    return Answer(200, dump({"ver": version, "now_ms": now_ms, "parts": parts}))


def error_answer(status):
    return Answer(status, b'{"error":"unavailable"}')


def order_from(request):
    entry = json.loads(request.body)
    return Order(entry.get("task", ""), entry.get("run_id", 0), entry.get("fencing_token", 0),
                 entry.get("task_spec", ""), entry.get("until_ms", 0),
                 entry.get("checkpoint", ""), entry.get("ticket", ""),
                 entry.get("last_seen", 0), entry.get("wait_ms", 0), entry.get("percent", 100),
                 request.headers.get(LIFE_HEADER, ""))


def order_answer(clock_ms, reason=""):
    if reason:
        return Answer(409, dump({"clock_ms": clock_ms, "reason": reason}))
    return Answer(200, dump({"clock_ms": clock_ms}))


def look_answer(born_ms, clock_ms, running, finished):
    """running: [task, run, checkpoint, percent, figure]; finished: [number, task, run, how,
    checkpoint]."""
    return Answer(200, dump({"born": born_ms, "clock_ms": clock_ms, "running": running,
                             "finished": finished}))


def advice_question(request):
    entry = json.loads(request.body)
    return entry["step"], entry["workers"]


def advice_answer(tickets):
    return Answer(200, dump({"healthy": [list(pair) for pair in tickets]}))


def worker_value(service, address, rack, labels, cpu, mem, draining, remaining_ms, born_ms):
    entry = {"born": born_ms, "backend": service, "address": address, "zone": rack, "version": "1", "slots": 4,
             "state": "draining" if draining else "ready", "cold_left_ms": 0, "seq_no": 1,
             "capacity": {"cpu": cpu, "mem_mb": mem}, "labels": labels}
    if draining:
        entry["remaining_ms"] = remaining_ms
    return dump(entry)


def configuration_value(version, queues, services, workspaces=()):
    """queues: the soak's queues; see model.Queue. Without workspaces callers need no keys."""
    routes = []
    for queue in queues:
        route = {"name": queue.name, "host": queue.host, "path_prefix": queue.prefix,
                 "backend": queue.service, "route_type": "jobs", "timeout_ms": 4000,
                 "priority": queue.priority, "attempts": queue.attempts, "stretch": 3,
                 "slo_ms": 2000}
        if queue.validity_ms:
            route["advice"] = {"decision_ms": queue.decision_ms,
                               "per_item_ms": queue.per_item_ms,
                               "validity_ms": queue.validity_ms}
        routes.append(route)
    value = {"version": version, "routes": routes,
             "services": [{"name": name, "rejects_overload": False} for name in services],
             "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536}}
    if workspaces:
        value["tenants"] = list(workspaces)
    return dump(value)


def job_body(payload, steps, repeats=0, first_due_ms=0, interval_ms=0):
    phases = []
    for step in steps:
        phase = {"count": step.count, "cpu": step.cpu, "mem_mb": step.mem,
                 "est_runtime_ms": step.run_ms, "after": step.after, "gang": step.gang,
                 "saves_progress": step.saves, "long_running": step.lasting,
                 "depends_on": step.label, "affinity": step.rack,
                 "anti_affinity": step.per_worker}
        phases.append({key: value for key, value in phase.items() if value})
    body = {"task_spec": payload, "phases": phases}
    if repeats:
        body.update(repeat_count=repeats, start_at_ms=first_due_ms, interval_ms=interval_ms)
    return dump(body)


def state_from(body):
    return STATES.get(json.loads(body).get("state", ""), "unknown")
