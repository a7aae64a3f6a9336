# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The stand-in's workers: lives with fences, leases, runs and ends, after PROTOCOL.md."""

import asyncio
import random
import time
import zlib
from dataclasses import dataclass, field

from . import wire
from .http1 import NoAnswer, ResetConnection
from .ledger import ROOM_HEARD_S
from .model import RACKS, SERVICE, TaskName

TICK_S = 0.02
MAX_HOLD_MS = 6000
KILL_S = 0.3
GANG_S = 3.0
MOST_ENDS = 500
CHECKPOINT_S = 2.0
RESTORE_S = 0.25
FAR_FACTOR = 1.5
SLOWEST_CLOCK = 0.98
KINDS = ("small", "large")
ROOM = {"small": (8000, 16000), "large": (16000, 32000)}


@dataclass
class Run:
    """One run of a task at a worker. Work counts in seconds."""
    task: str
    name: TaskName
    number: int
    step: wire.Step
    work_s: float
    fails: bool
    since: float  # When it began to work, or to wait for its gang.
    started: float = field(default_factory=time.monotonic, kw_only=True)
    working: bool
    worked_before: float = 0
    stop_at: float = 0
    checkpoint: str = ""

    def worked(self, now):
        return self.worked_before + (max(0, now - self.since) if self.working else 0)


@dataclass
class End:
    """The end of a run, listed until the daemons have seen it."""
    number: int
    task: str
    name: TaskName
    run: int
    how: str
    checkpoint: str


@dataclass
class Life:
    """One life of a worker, from its start to its crash or leaving."""
    id: str
    slot: int
    kind: str
    rack: str
    clock_offset: float
    clock_rate: float
    born_ms: int = 0  # Since 1970; tells the lives of one id apart.
    fence: int = 0
    hold_until: float = 0
    running: dict = field(default_factory=dict)
    last_run: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    followed: set = field(default_factory=set)
    last_number: int = 0
    lapsed_through: int = 0
    seen: int = 0
    up: bool = True
    draining: bool = False
    leaves_at: float = 0
    lapses_at: float = 0  # When its entry lapses, as the platform hears nothing of it; 0: it does.
    waiting: list = field(default_factory=list)
    share: float = 1  # Of its kind's room that it has at present.
    rooms_before: list = field(default_factory=list)  # (counts until, cpu, mem) of larger ones

    @property
    def labels(self):
        return [self.kind, self.rack]

    @property
    def cpu(self):
        return int(ROOM[self.kind][0] * self.share)

    @property
    def mem(self):
        return int(ROOM[self.kind][1] * self.share)

    def lapsed(self, now):
        """Whether its entry has lapsed; the worker itself may run on."""
        return bool(self.lapses_at) and now >= self.lapses_at

    def resize(self, share):
        """The worker has only a share of its room from now on, or all of it again."""
        self.rooms_before.append((time.monotonic() + ROOM_HEARD_S, self.cpu, self.mem))
        self.share = share

    def clock_ms(self):
        return int(self.clock_offset + time.monotonic() * 1000 * self.clock_rate)


@dataclass
class SlotTrouble:
    """How the worker at one address treats orders at present."""
    decline: bool = False
    hang: bool = False
    fail_all: bool = False


class Workers:
    """All workers, by slot: a slot is an address, which one life after another holds."""

    def __init__(self, ledger, log, tickets, seed, count):
        self.ledger, self.log, self.tickets = ledger, log, tickets
        self.random = random.Random(seed)
        self.slots = {}
        self.lives = []
        self.trouble = {}
        self.last_leader = 0
        self.births = 0
        self.on_crash = lambda slot, pause_s: None  # Hears of workers that tasks crash.
        self.refused_for_room = 0
        self.alone = 0
        for slot in range(1, count + 1):
            self.begin_life(slot)

    def begin_life(self, slot, kind="", same_id=False):
        """A worker starts at a slot, under a new id or that of the life before."""
        self.births += 1
        new_id = f"w{slot}-{self.births}{self.random.randrange(1 << 32):08x}"
        life = Life(self.slots[slot].id if same_id else new_id, slot,
                    kind or KINDS[slot % len(KINDS)], f"r{slot % RACKS}",
                    self.random.uniform(0, 1e6), self.random.uniform(SLOWEST_CLOCK, 1),
                    int(time.time() * 1000))
        self.slots[slot] = life
        self.lives.append(life)
        self.trouble[slot] = SlotTrouble()
        return life

    def end_life(self, slot):
        """The worker crashes or is gone: all that ran there dies."""
        life = self.slots.get(slot)
        if life is None or not life.up:
            return
        life.up = False
        runs, life.running = life.running, {}
        for waiter in life.waiting:
            if not waiter.done():
                waiter.set_result(None)
        for run in runs.values():
            self.ledger.lost_with_worker(run.task)
            self.break_gang(run, "broken")

    def crash_under_tasks(self, now):
        """Tasks crash their workers, which are back after a while."""
        for slot, life in self.slots.items():
            for run in life.running.values() if life.up else ():
                facts = self.ledger.jobs[run.name.job]
                if not facts.crashes(run.name) or now - run.started < facts.crash_after_s:
                    continue
                self.log("crash", job=run.name.job, task=run.task, run=run.number,
                         worker=life.id)
                self.ledger.crashed(run.task)
                self.end_life(slot)
                self.on_crash(slot, facts.crash_pause_s)
                break

    def value(self, life, address):
        remaining = max(0, int((life.leaves_at - time.monotonic()) * 1000))
        return wire.worker_value(SERVICE, address, life.rack, life.labels, life.cpu, life.mem,
                                 life.draining, remaining, life.born_ms)

    async def handle(self, slot, request, view):
        """Answers one order at a slot's address."""
        trouble, life = self.trouble[slot], self.slots[slot]
        if not life.up:
            raise ResetConnection
        if trouble.hang:
            raise NoAnswer
        if request.headers.get(wire.LIFE_HEADER, life.id) != life.id:
            return wire.error_answer(421)
        path, _ = wire.call_of(request)
        order = wire.order_from(request)
        if path == wire.LOOK:
            return await self.look(life, order)
        if trouble.decline and path == wire.START:
            return wire.error_answer(self.random.choice((429, 503)))
        self.last_leader = view
        if path == wire.START:
            return wire.order_answer(life.clock_ms(), self.start(life, order))
        if path == wire.STOP:
            return wire.order_answer(life.clock_ms(), self.stop(life, order))
        if path == wire.PACE:
            return wire.order_answer(life.clock_ms())
        return wire.error_answer(404)

    def extend(self, life, until):
        life.hold_until = max(life.hold_until, min(until, life.clock_ms() + MAX_HOLD_MS))

    def start(self, life, order):
        """Returns the reason for which the start is refused, empty if it is not."""
        if order.fence < life.fence:
            return wire.STALE_FENCE
        life.fence = order.fence
        present = life.running.get(order.task)
        if present is not None and present.number == order.run:
            return ""
        if order.until <= life.clock_ms():
            return wire.TOO_LATE
        self.extend(life, order.until)
        if life.last_run.get(order.task, 0) >= order.run \
                or (present is not None and present.number >= order.run):
            return wire.OLD_RUN
        name = TaskName.parse(order.task)
        facts = self.ledger.jobs.get(name.job)
        if facts is not None and facts.queue_of().advised \
                and not self.tickets.holds(order.ticket, name, life):
            return wire.BAD_TICKET
        self.ledger.check_start(order, life, self.lives)
        if facts is None or name.step >= len(facts.steps):
            return wire.NO_ROOM
        self.begin(life, order, name, facts)
        self.ledger.check_room(life)
        self.log("start", job=name.job, task=order.task, run=order.run, worker=life.id,
                 fence=order.fence)
        return ""

    def begin(self, life, order, name, facts):
        step = facts.steps[name.step]
        failed = self.ledger.record_of(name).failed
        work_s = step.run_ms / 1000
        if step.rack and step.rack != life.rack:
            work_s *= FAR_FACTOR
        run = Run(order.task, name, order.run, step, work_s,
                  failed < facts.fails[name.step], time.monotonic(), not step.gang)
        if order.checkpoint:
            run.checkpoint = order.checkpoint
            run.worked_before = int(order.checkpoint[:8], 16) / 1000 - RESTORE_S
        life.running[order.task] = run
        if step.gang:
            self.begin_gang(run)

    def members(self, run):
        """Returns [(life, run)] of the gang that this run belongs to."""
        found = []
        for life in self.lives:
            if not life.up:
                continue
            for other in life.running.values():
                if (other.name.job, other.name.time, other.name.step, other.number) \
                        == (run.name.job, run.name.time, run.name.step, run.number):
                    found.append((life, other))
        return found

    def begin_gang(self, run):
        members = self.members(run)
        if len(members) < run.step.count:
            return
        for _, member in members:
            member.working, member.since = True, time.monotonic()

    def stop(self, life, order):
        if order.fence < life.fence:
            return wire.STALE_FENCE
        life.fence = order.fence
        run = life.running.get(order.task)
        if run is not None and run.number == order.run:
            run.stop_at = run.stop_at or time.monotonic() + KILL_S
        life.last_run[order.task] = max(life.last_run.get(order.task, 0), order.run)
        self.log("stop", job=order.task.split(".")[0], task=order.task, run=order.run,
                 worker=life.id)
        return ""

    async def look(self, life, order):
        if order.fence < life.fence:
            return wire.order_answer(life.clock_ms(), wire.STALE_FENCE)
        life.fence = order.fence
        if order.until:
            self.extend(life, order.until)
        if order.seen > life.seen:
            life.seen = order.seen
            self.ledger.noted(life, life.seen)
            life.ended = [end for end in life.ended if end.number > life.seen]
        if order.wait_ms and not life.ended:
            waiter = asyncio.get_running_loop().create_future()
            life.waiting.append(waiter)
            await asyncio.wait([waiter], timeout=min(order.wait_ms, 2000) / 1000)
            life.waiting.remove(waiter)
            if not life.up:
                raise ResetConnection
            if self.trouble[life.slot].hang:
                raise NoAnswer
        return wire.look_answer(
            life.born_ms, life.clock_ms(), [self.running_entry(run) for run in life.running.values()],
            [[end.number, end.task, end.run, end.how, end.checkpoint]
             for end in life.ended[:MOST_ENDS]])

    def running_entry(self, run):
        worked = run.worked(time.monotonic())
        percent = 100 if run.step.lasting and run.working else int(
            min(99, max(0, worked) * 100 / max(run.work_s, 0.001)))
        self.save(run, worked)
        return [run.task, run.number, run.checkpoint, percent if run.working else 0,
                run.step.cpu]

    def save(self, run, worked):
        """Renews the checkpoint of a run that saves its progress."""
        if not run.step.saves or not run.working:
            return
        saved = int(worked / CHECKPOINT_S) * CHECKPOINT_S
        if saved <= 0 or (run.checkpoint and int(run.checkpoint[:8], 16) >= saved * 1000):
            return
        owner = run.task.rsplit(".", 1)[0] if run.step.gang else run.task
        run.checkpoint = f"{int(saved * 1000):08x}{zlib.crc32(owner.encode()):08x}"
        self.ledger.record_of(run.name).checkpoints.add(run.checkpoint)

    def end(self, life, run, how):
        if life.running.pop(run.task, None) is None:
            return
        life.last_run[run.task] = max(life.last_run.get(run.task, 0), run.number)
        life.last_number += 1
        end = End(life.last_number, run.task, run.name, run.number, how,
                  "" if how == "done" else run.checkpoint)
        life.ended.append(end)
        self.ledger.ended(end)
        self.alone += how == "alone"
        self.log("end", job=run.name.job, task=run.task, run=run.number, worker=life.id, how=how)
        for waiter in life.waiting:
            if not waiter.done():
                waiter.set_result(None)

    def break_gang(self, run, how):
        if run.step.gang:
            for life, member in self.members(run):
                self.end(life, member, how)

    def outcome(self, life, run, now):
        """Returns how the run ends now; empty if it goes on."""
        if life.hold_until <= life.clock_ms():
            return "lapsed"
        if run.stop_at and now >= run.stop_at:
            return "stopped"
        if not run.working:
            return "alone" if now - run.since >= GANG_S else ""
        if run.worked(now) < run.work_s:
            return ""
        if run.fails or self.trouble[life.slot].fail_all:
            return "failed"
        return "" if run.step.lasting else "done"

    def tick(self):
        now = time.monotonic()
        self.crash_under_tasks(now)
        for life in self.lives:
            if not life.up:
                continue
            if life.hold_until <= life.clock_ms():
                life.lapsed_through = life.last_number
            for run in list(life.running.values()):
                how = self.outcome(life, run, now)
                if not how or run.task not in life.running:
                    continue
                self.save(run, run.worked(now))
                self.end(life, run, how)
                self.break_gang(run, "done" if how == "done" else "broken")

    async def run_clock(self):
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def idle_lasting(self):
        """Returns the tasks that last, of jobs not cancelled, that run nowhere."""
        present = {task for life in self.lives if life.up for task in life.running}
        return [f"{facts.id}.0.{s}.{i}" for facts in self.ledger.jobs.values()
                if facts.id not in self.ledger.canceled
                and not self.ledger.crashes_workers(facts.id)
                for s, step in enumerate(facts.steps) if step.lasting
                for i in range(step.count) if f"{facts.id}.0.{s}.{i}" not in present]
