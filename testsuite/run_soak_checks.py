# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Shows that the soak's own checks bite: orders that break a promise, given straight to the
stand-in's workers, are each reported, and a blameless course of orders is not."""

import asyncio
import sys
import time
import zlib
from contextlib import redirect_stdout
from dataclasses import replace
from io import StringIO

from run_soak import CI_SIZE
from soak.addresses import Plan
from soak.advisor import Tickets
from soak.calm import CONTACT_S
from soak.http1 import reset
from soak.ledger import CANCEL_S, DOMAIN_DRAIN_S, KILL_GRACE_S, Ledger
from soak.model import JobFacts
from soak.platform_main import Platform
from soak.proxy import LinkTrouble, Proxies
from soak.schedule import HEARTBEATS_S, Schedule
from soak.seeds import HARD_HUNT, HUNT, WIDE_HUNT
from soak.self_checks import run_checks
from soak.silences import WINDOW_S, Silences
from soak.standstill import Standstill
from soak.store import HistoryLost, Store, within_limits
from soak.store_service import Rates
from soak.wire import Order, Range, RowName, Step, Write
from soak.workers import ROOM, Workers

JOB = "0123456789abcdef"
PAYLOAD = "p"
SILENT_S = 1.0  # So long is waited for bytes that are not to come.


class Bench:
    """Workers without a network, and one job on the plain queue."""

    def __init__(self, steps, fails=None, queue="plain", workers=2):
        self.ledger = Ledger(lambda *_, **__: None)
        self.tickets = Tickets()
        self.workers = Workers(self.ledger, lambda *_, **__: None, self.tickets, 1, workers)
        self.ledger.jobs[JOB] = JobFacts(JOB, queue, PAYLOAD, steps, fails or [0] * len(steps))

    def order(self, slot, step=0, index=0, run=1, fence=1, **more):
        life = self.workers.slots[slot]
        fields = {"payload": PAYLOAD, "until": life.clock_ms() + 5000, **more}
        return Order(f"{JOB}.0.{step}.{index}", run, fence, **fields)

    def start(self, slot, **more):
        return self.workers.start(self.workers.slots[slot], self.order(slot, **more))

    def finish(self, slot, how="done", index=0, step=0):
        life = self.workers.slots[slot]
        self.workers.end(life, life.running[f"{JOB}.0.{step}.{index}"], how)

    def see(self, slot):
        """A look that takes note of all ends."""
        life = self.workers.slots[slot]
        order = Order(fence=life.fence, seen=life.last_number)
        return asyncio.run(self.workers.look(life, order))

    def broken(self):
        return {breach.promise for breach in self.ledger.breaches}


def step(**more):
    return Step(**{"count": 2, "cpu": 1000, "mem": 100, "run_ms": 1000, **more})


def blameless_course():
    bench = Bench([step(), step(after=[0])])
    for index in (0, 1):
        assert bench.start(1, index=index) == ""
        bench.finish(1, index=index)
    bench.see(1)
    assert bench.start(2, step=1) == ""
    assert bench.start(2, step=1) == ""  # The same run again changes nothing.
    bench.finish(2, "failed", step=1)
    bench.see(2)
    assert bench.start(1, step=1, run=2) == ""
    return set(), bench.broken()


def two_runs_at_once():
    bench = Bench([step()])
    bench.start(1)
    bench.start(2, run=2)
    return {"no two runs at once"}, bench.broken()


def second_run_beside_a_worker_that_lives_unlisted():
    """Neither its announced end nor its lapsed entry ends a run; the end of its lease does."""
    bench = Bench([step()])
    life, now = bench.workers.slots[1], time.monotonic()
    bench.start(1, index=0)
    bench.start(1, index=1)
    life.draining, life.leaves_at, life.lapses_at = True, now - 1, now - 1
    bench.workers.tick()
    bench.start(2, index=0, run=2)
    assert len(bench.ledger.breaches) == 1, bench.ledger.breaches
    life.hold_until = 0
    bench.workers.tick()
    bench.start(2, index=1, run=2)
    assert len(bench.ledger.breaches) == 1, bench.ledger.breaches
    return {"no two runs at once"}, bench.broken()


def start_while_the_end_of_an_unlisted_worker_is_unheard():
    """The run ended before the start, and its end is noted when the worker is heard again."""
    bench = Bench([step()])
    life = bench.workers.slots[1]
    bench.start(1)
    life.draining, life.lapses_at = True, time.monotonic() - 1
    bench.finish(1)
    bench.start(2, run=2)
    assert not bench.broken()
    life.lapses_at = 0
    bench.see(1)
    assert len(bench.ledger.breaches) == 1, bench.ledger.breaches
    bench.finish(2, "stopped")
    bench.start(2, run=3)
    assert len(bench.ledger.breaches) == 2, bench.ledger.breaches
    return {"no start after a noted done"}, bench.broken()


def entries_lapse_while_workers_run_on():
    """An entry lapses after its time, comes back, and the run at its worker lasts through it."""
    platform = Platform(Plan(10000), 2, 1, Rates())
    platform.ledger.jobs[JOB] = JobFacts(JOB, "plain", PAYLOAD, [step(run_ms=60000)], [0])
    life, seen = platform.workers.slots[1], []

    def look(when):
        platform.workers.tick()
        platform.list_workers()
        rows, _ = platform.store.read(Range("servers", "", "", "", 500))
        seen.append(f"{when}: {len(rows)} listed, {len(life.running)} running")

    with redirect_stdout(StringIO()):
        platform.workers.start(life, Order(f"{JOB}.0.0.0", 1, 1, PAYLOAD, life.clock_ms() + 5000))
        platform.do_worker_drain(1, 0)
        platform.do_worker_unheard(1, 60)
        look("before")
        platform.do_worker_unheard(1, 0)
        look("lapsed")
        look("lapsed still")
        platform.do_worker_heard(1)
        look("back")
    return {"before: 2 listed, 1 running", "lapsed: 1 listed, 1 running",
            "lapsed still: 1 listed, 1 running", "back: 2 listed, 1 running"}, set(seen)


def start_after_noted_done():
    bench = Bench([step()])
    bench.start(1)
    bench.finish(1)
    bench.see(1)
    bench.start(2, run=2)
    return {"no start after a noted done"}, bench.broken()


def start_before_a_done_is_noted():
    bench = Bench([step()])
    bench.start(1)
    bench.finish(1)
    bench.start(2, run=2)
    assert not bench.broken()
    bench.see(1)
    return {"no start after a noted done"}, bench.broken()


def one_done_stands_for_a_gang():
    bench = Bench([step(gang=True)])
    bench.start(1, index=0)
    bench.start(2, index=1)
    bench.finish(1, index=0)
    bench.finish(2, index=1)
    bench.see(1)
    bench.start(2, index=1, run=2)
    return {"no start after a noted done"}, bench.broken()


def start_after_the_last_failure():
    bench = Bench([step()])
    for run in (1, 2, 3):
        bench.start(1, run=run)
        bench.finish(1, "failed")
        bench.see(1)
        assert not bench.broken()
    bench.start(1, run=4)
    return {"no start after the last failure"}, bench.broken()


def start_before_the_last_failure_is_noted():
    bench = Bench([step()])
    for run in (1, 2, 3):
        bench.start(1, run=run)
        bench.finish(1, "failed")
    bench.start(2, run=4)
    assert not bench.broken()
    bench.see(1)
    return {"no start after the last failure"}, bench.broken()


def crashing_task_started_for_ever():
    bench = Bench([step(run_ms=9000)], workers=8)
    bench.ledger.jobs[JOB].crashers = [1]
    for run in range(1, 6):  # Three crashes, and two starts after them.
        bench.start(run, run=run)
        bench.workers.tick()
        assert not bench.workers.slots[run].up
        assert not bench.broken()
    bench.start(6, run=6)
    return {"tasks that crash their workers are given up"}, bench.broken()


def over_a_room_that_has_shrunk():
    bench = Bench([step(count=9, cpu=ROOM["small"][0] // 4)])
    slot = next(s for s, life in bench.workers.slots.items() if life.kind == "small")
    life = bench.workers.slots[slot]
    life.resize(0.5)
    for index in range(3):  # The larger room still counts.
        bench.start(slot, index=index)
    assert not bench.broken()
    life.rooms_before.clear()
    bench.start(slot, index=3)
    return {"room of workers"}, bench.broken()


def over_the_room():
    bench = Bench([step(count=9, cpu=ROOM["small"][0] // 4)])
    slot = next(s for s, life in bench.workers.slots.items() if life.kind == "small")
    for index in range(4):
        bench.start(slot, index=index)
    assert not bench.broken()
    bench.start(slot, index=4)
    return {"room of workers"}, bench.broken()


def out_of_order():
    bench = Bench([step(), step(after=[0])])
    bench.start(1, step=1)
    return {"order of steps"}, bench.broken()


def other_payload():
    bench = Bench([step()])
    bench.start(1, payload="q")
    return {"payload unchanged"}, bench.broken()


def foreign_checkpoint():
    bench = Bench([step(saves=True)])
    bench.start(1, checkpoint="000007d000000000")
    return {"checkpoints are the task's own"}, bench.broken()


def refused_job():
    bench = Bench([step()])
    bench.ledger.refused[JOB] = time.monotonic()
    bench.start(1)
    return {"refused jobs never run"}, bench.broken()


def canceled_job():
    bench = Bench([step()])
    bench.ledger.canceled[JOB] = time.monotonic()
    bench.start(1)
    assert not bench.broken()
    bench.ledger.canceled[JOB] = time.monotonic() - CANCEL_S - 0.1
    bench.start(1, index=1)
    return {"cancelled jobs start nothing"}, bench.broken()


def canceled_job_that_runs_on():
    """A run may go on for `CANCEL_S` and `KILL_GRACE_S` in calm after the first acknowledgement;
    then it is a breach, and is told once."""
    bench = Bench([step(lasting=True)])
    ledger, lives = bench.ledger, bench.workers.lives
    bench.start(1)
    bench.start(2, index=1)
    ledger.acknowledge_cancel(JOB, 100)
    ledger.acknowledge_cancel(JOB, 110)
    allowed = 100 + CANCEL_S + KILL_GRACE_S
    ledger.check_canceled_runs(lives, allowed - 0.1)
    assert not bench.broken()
    bench.finish(2, "stopped", index=1)
    for _ in range(2):
        ledger.check_canceled_runs(lives, allowed + 0.1)
    assert len(ledger.breaches) == 1, ledger.breaches
    return {"cancelled jobs run nothing"}, bench.broken()


def canceled_job_that_a_worker_starts_late():
    """A run begun long after the acknowledgement is two breaches: that it began, that it runs."""
    bench = Bench([step(lasting=True)])
    now = time.monotonic()
    bench.ledger.acknowledge_cancel(JOB, now - CANCEL_S - KILL_GRACE_S - 1)
    bench.start(1)
    bench.ledger.check_canceled_runs(bench.workers.lives, now)
    return {"cancelled jobs start nothing", "cancelled jobs run nothing"}, bench.broken()


def canceled_job_runs_on_near_faults():
    """Faults, one under way and one just over, put the bound off; configurations do not."""
    bench = Bench([step(lasting=True)])
    ledger, lives = bench.ledger, bench.workers.lives
    bench.start(1)
    ledger.acknowledge_cancel(JOB, 100)
    ledger.calm.begins("silent_connections", 101)
    ledger.check_canceled_runs(lives, 200)
    ledger.calm.begins("node_kill", 150)
    ledger.calm.ends("silent_connections", 201)
    ledger.check_canceled_runs(lives, 300)
    ledger.calm.ends("node_kill", 301)
    ledger.calm.begins("configure", 303)
    ledger.calm.ends("configure", 303)
    allowed = 301 + CONTACT_S + KILL_GRACE_S  # The two times don't add up.
    ledger.check_canceled_runs(lives, allowed - 0.1)
    assert not bench.broken()
    ledger.check_canceled_runs(lives, allowed + 0.1)
    return {"cancelled jobs run nothing"}, bench.broken()


def canceled_job_without_runs():
    """What was stopped, died with its worker or belongs to another job is blameless."""
    bench = Bench([step(lasting=True)])
    bench.start(1)
    bench.start(2, index=1)
    bench.ledger.acknowledge_cancel(JOB, 100)
    bench.ledger.acknowledge_cancel("fedcba9876543210", 100)
    bench.finish(1, "stopped")
    bench.workers.end_life(2)
    bench.ledger.check_canceled_runs(bench.workers.lives, 200)
    return set(), bench.broken()


def unknown_job():
    bench = Bench([step()])
    bench.ledger.jobs.clear()
    bench.start(1)
    return {"only what callers sent is started"}, bench.broken()


def too_many_on_a_worker():
    bench = Bench([step(per_worker=1)])
    bench.start(1, index=0)
    bench.start(1, index=1)
    return {"a step's tasks per worker"}, bench.broken()


def without_the_label():
    bench = Bench([step(label="none")])
    bench.start(1)
    return {"workers have the step's label"}, bench.broken()


def before_its_time():
    bench = Bench([step()])
    facts = bench.ledger.jobs[JOB]
    facts.repeats, facts.first_due_ms = 1, int(time.time() * 1000) + 5000
    bench.start(1)
    return {"no start before its time"}, bench.broken()


def workers_keep_the_protocol():
    """Fences, old runs, late starts, tickets and leases."""
    bench = Bench([step()], queue="advised")
    life = bench.workers.slots[1]
    assert bench.start(1) == "ticket"
    ticket = bench.tickets.give(f"{JOB}.0.0", life, 5)
    assert bench.start(1, ticket=ticket, until=life.clock_ms() - 1) == "late"
    assert bench.start(1, ticket=ticket, fence=5) == ""
    assert bench.start(1, ticket=ticket, fence=4, index=1) == "fence"
    life.hold_until = 0
    bench.workers.tick()
    assert [end.how for end in life.ended] == ["lapsed"]
    assert bench.start(1, ticket=ticket, fence=5) == "old"
    return set(), bench.broken()


def a_worker_starts_again_under_its_id():
    """It knows nothing of before: no run, no fence, no count; tickets of before don't hold."""
    bench = Bench([step()], queue="advised")
    before = bench.workers.slots[1]
    ticket = bench.tickets.give(f"{JOB}.0.0", before, 5)
    assert bench.start(1, ticket=ticket, fence=5) == ""
    bench.workers.end_life(1)
    time.sleep(0.002)
    after = bench.workers.begin_life(1, same_id=True)
    assert after.id == before.id and after.born_ms > before.born_ms
    assert bench.start(1, ticket=ticket, fence=4, run=2) == "ticket"
    fresh = bench.tickets.give(f"{JOB}.0.0", after, 5)
    assert bench.start(1, ticket=fresh, fence=4, run=2) == ""
    bench.finish(1)
    assert [end.number for end in after.ended] == [1] and not before.running
    return set(), bench.broken()


def store_keeps_the_protocol():
    """Conditions, one counter of versions, readings in the order of keys, lost history."""
    store = Store()
    name, other = RowName("t", "p", "k"), RowName("t", "p", "a")
    assert store.write(Write([(name, 0)], [(name, b"1")], []))[0]
    version = store.find(name).version
    held, rows = store.write(Write([(name, version - 1)], [(name, b"2")], []))
    assert not held and rows[0].version == version and rows[0].value == b"1"
    assert store.write(Write([(name, version)], [(other, b"3")], []))[0]
    rows, more = store.read(Range("t", "p", "", "", 1))
    assert [row.name for row in rows] == [other] and more
    assert store.write(Write([(name, version)], [], [name]))[0]
    assert [row.removed for row in store.changes("t", version)] == [False, True]
    store.forget()
    try:
        store.changes("t", version)
        return {"history is lost"}, set()
    except HistoryLost:
        return set(), set()


def addresses_are_translated():
    """A daemon reads others under addresses of its view, itself under the real one."""
    plan = Plan(10000)
    own = f"{plan.daemon_ip(2)}:{plan.peers}"
    other = f"{plan.daemon_ip(1, 2)}:{plan.proxied_peer(1)}"
    told = f"[{plan.daemon_ip(1)}:{plan.peers}] [{plan.daemon_ip(2, 3)}:{plan.proxied_peer(2)}]"
    read = plan.translate(told.encode(), 2).decode()
    assert len(read) == len(told)
    return {f"[{other}] [{own}]"}, {read}


def resting_jobs_are_measured():
    """A job whose turn has come and that runs nowhere stands still; one that runs does not."""
    bench = Bench([step()], workers=4)
    standstill = Standstill(bench.ledger, bench.workers, lambda *_: True, Silences())
    standstill.calm_since = time.monotonic()
    standstill.accepted.add(JOB)
    bench.start(1)
    standstill.look()
    assert not standstill.since
    bench.finish(1, "stopped")
    standstill.look()
    return {JOB}, set(standstill.since)


def silences_are_measured():
    """From a silence to the next start, the longest gap, and how long a job stood still."""
    silences = Silences()
    silences.started(90)
    silences.begins("a", 100)
    silences.stands_still("t", 95, 102)
    for at in (103, 108, 109, 100 + WINDOW_S + 1):
        silences.started(at)
    silences.begins("b", 200)
    return {"['a', 3, 5, 2, 't']", "['b', 0, 0, 0, '']"}, set(map(str, silences.figures()))


# Seed and size, and sums over the faults and jobs that were drawn before silences, soon cancelled
# jobs and changes of routes were added.
DRAWN_BEFORE = [(1, CI_SIZE, 3423905866, 3736021557), (4009, HUNT, 3839249100, 2109568058),
                (3002, HUNT, 398656954, 3857121697), (9004, HARD_HUNT, 615398400, 3356999937),
                (11003, WIDE_HUNT, 3500532481, 2428141320)]


def kept_seeds_play_what_they_played():
    """What is drawn by generators of its own changes nothing of the other faults and jobs."""
    expected, drawn = set(), set()
    for seed, size, faults_sum, jobs_sum in DRAWN_BEFORE:
        schedule = Schedule(seed, size)
        faults = [fault for fault in schedule.faults
                  if fault.kind not in ("silent_connections", "route_change")]
        jobs = [job for job in schedule.jobs if job.soon_cancel is None]
        assert len(faults) < len(schedule.faults) and len(jobs) < len(schedule.jobs)
        faults_text = "".join(f"{fault}\n" for fault in faults)
        jobs_text = "".join(f"{job.at:.6f} {job.facts.encode()} {job.cancel_after:.6f} "
                            f"{job.again_after:.6f} {job.ask_every:.6f}\n" for job in jobs)
        expected.add((seed, faults_sum, jobs_sum))
        drawn.add((seed, zlib.crc32(faults_text.encode()), zlib.crc32(jobs_text.encode())))
    return expected, drawn


class EchoStore:
    """Sends each line back, and keeps its ends of all connections and which of them were ended."""

    def __init__(self):
        self.writers, self.ended = [], set()

    async def serve(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        try:
            while line := await reader.readline():
                writer.write(line)
        except (OSError, asyncio.CancelledError):
            pass
        self.ended.add(number)


async def play_silence(plan):
    """Opens connections of two daemons to the store and lets those of the first go silent."""
    store = EchoStore()
    hosts = [plan.service_ip(view) for view in (1, 2)]
    server = await asyncio.start_server(store.serve, hosts, plan.store)
    proxies = Proxies(plan, 2)
    await proxies.open("store")
    lines = []
    for view in (1, 1, 2):
        lines.append(await asyncio.open_connection(plan.service_ip(view), plan.proxied_store))
        assert await talk(lines[-1])
    assert proxies.silence_open_connections(LinkTrouble("silence", 1, "store")) == 2
    lines.append(await asyncio.open_connection(plan.service_ip(1), plan.proxied_store))
    seen = {f"line {number} works" for number, line in enumerate(lines) if await talk(line)}
    reset(store.writers[0].transport)
    lines[1][1].write_eof()
    await proxies.add(LinkTrouble("reset", 1, "store"))
    for number, (reader, _) in enumerate(lines):
        reading = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([reading], timeout=SILENT_S)
        if reading.done():
            reading.exception()
            seen.add(f"line {number} is ended for its daemon")
    if 1 in store.ended:
        seen.add("line 1 is ended for the store")
    server.close()
    for writer in [*store.writers, *[writer for _, writer in lines]]:
        writer.close()
    return seen


async def talk(line):
    """Whether a line that is sent comes back within a while."""
    reader, writer = line
    writer.write(b"hello\n")
    answer = asyncio.ensure_future(reader.readline())
    await asyncio.wait([answer], timeout=SILENT_S)
    if answer.done():
        return answer.exception() is None and answer.result() == b"hello\n"
    answer.cancel()
    await asyncio.wait([answer])
    return False


async def connect(plan, view):
    """Returns how the store's proxy takes a new connection of a daemon, and the connection."""
    try:
        line = await asyncio.open_connection(plan.service_ip(view), plan.proxied_store)
    except ConnectionRefusedError:
        return "refused", None
    return ("works" if await talk(line) else "dead"), line


async def play_refusals(plan):
    """Refuses connections to the store in every way, one way within another."""
    store = EchoStore()
    hosts = [plan.service_ip(view) for view in (1, 2)]
    server = await asyncio.start_server(store.serve, hosts, plan.store)
    proxies = Proxies(plan, 2)
    await proxies.open("store")
    lines, seen = [], []

    async def look(when):
        taken = [await connect(plan, view) for view in (1, 2)]
        lines.extend(line for _, line in taken if line)
        seen.append(f"{when}: {taken[0][0]}, {taken[1][0]}")

    await look("at first")
    one, more, every = (LinkTrouble("refuse_new", 1, "store"), LinkTrouble("refuse", 1),
                        LinkTrouble("refuse"))
    await proxies.add(one)
    await look("refuse_new to one")
    seen.append(f"its open line: {await talk(lines[0])}")
    await proxies.add(every)
    await look("refuse to all")
    seen.append(f"open lines: {await talk(lines[0])}, {await talk(lines[1])}")
    proxies.close("store")
    await proxies.open("store")
    await look("opened within")
    await proxies.add(more)
    await proxies.remove(every)
    await look("one left")
    await proxies.remove(one)
    await look("the other left")
    proxies.close("store")
    await proxies.remove(more)
    await look("closed within")
    opening = asyncio.ensure_future(proxies.open("store"))
    await asyncio.sleep(0)
    proxies.close("store")
    await opening
    await look("closed while it opened")
    await proxies.open("store")
    await look("at last")
    proxies.close_all()
    server.close()
    for writer in [*store.writers, *[writer for _, writer in lines]]:
        writer.close()
    return seen


def connections_are_refused():
    """As by a closed port, to one daemon or all; refusals and crashes keep each other's."""
    plan = Plan.find()
    seen = asyncio.run(play_refusals(plan))
    plan.holder.close()
    return {"at first: works, works", "refuse_new to one: refused, works", "its open line: True",
            "refuse to all: refused, refused", "open lines: False, False",
            "opened within: refused, refused", "one left: refused, works",
            "the other left: refused, works", "closed within: refused, refused",
            "closed while it opened: refused, refused", "at last: works, works"}, set(seen)


def refusals_are_drawn_beside_the_rest():
    """They change nothing of what the seed plays otherwise; half of the workers behind them have
    announced their end, and stay longer than they said."""
    size = replace(HUNT, load_s=400)
    before, after = Schedule(1, size), Schedule(1, replace(size, refusals_per_s=1))
    added = [fault for fault in after.faults if fault not in before.faults]
    assert [fault for fault in after.faults if fault in before.faults] == before.faults
    jobs = {job.facts.id for job in before.jobs}
    assert [job.facts.id for job in after.jobs if job.facts.id in jobs] \
        == [job.facts.id for job in before.jobs]
    workers = [fault for fault in added if fault.kind == "worker_refuse"]
    links = [fault for fault in added if fault.kind == "link"]
    assert len(workers) + len(links) == 400 and 200 < len(workers) < 350
    assert len(after.jobs) == len(before.jobs) + 2 * len(workers)
    assert all(0.5 <= fault.span <= 7 for fault in added if fault.kind != "store_away")
    draining = [fault for fault in workers if fault.arguments["announces"]]
    assert len(workers) * 0.4 < len(draining) < len(workers) * 0.6
    assert all(2 <= fault.arguments["stays"] <= 10 for fault in workers)
    assert any(fault.arguments["lapses"] == HEARTBEATS_S for fault in draining)
    kinds = {fault.arguments["service"] for fault in links}
    assert {fault.kind for fault in added} == {"worker_refuse", "link", "store_away"}
    return {"", "peer", "peer_side", "store"}, kinds


def open_connections_go_silent():
    """Those of one daemon say nothing more and are not closed, new ones and others' work."""
    plan = Plan.find()
    seen = asyncio.run(play_silence(plan))
    plan.holder.close()
    return {"line 2 works", "line 3 works", "line 3 is ended for its daemon"}, seen


def start_in_a_drained_domain():
    """Within the time that daemons have, and after a withdrawal, a start is allowed."""
    bench = Bench([Step(3, 500, 200, 1000)])
    domain, now = bench.workers.slots[1].rack, time.monotonic()
    bench.ledger.drain_domain(domain, True, now - DOMAIN_DRAIN_S + 2)
    bench.start(1, index=0)
    bench.ledger.drain_domain(domain, False, now)
    bench.ledger.drain_domain(domain, True, now - DOMAIN_DRAIN_S - 1)
    bench.start(2, index=1)
    before = bench.broken()
    bench.start(1, index=2)
    return {"drained domains get no tasks"}, bench.broken() - before


def store_takes_no_more_than_its_limits():
    name = RowName("t", "p", "k")
    writes = {"row": Write([], [(name, b"x" * 65537)], []),
              "entries": Write([(name, 0)] * 101, [], []),
              "key": Write([], [], [RowName("t", "p", "k" * 201)]),
              "bytes": Write([], [(name, b"x" * 65536)] * 16, []),
              "none": Write([(name, 0)] * 50, [(name, b"x" * 65536)] * 15, [])}
    refused = {what for what, write in writes.items() if not within_limits(write)}
    return {"row", "entries", "key", "bytes"}, refused


RUNS = [blameless_course, two_runs_at_once, second_run_beside_a_worker_that_lives_unlisted,
        start_while_the_end_of_an_unlisted_worker_is_unheard, entries_lapse_while_workers_run_on,
        start_after_noted_done, start_before_a_done_is_noted,
        one_done_stands_for_a_gang, start_after_the_last_failure,
        start_before_the_last_failure_is_noted, over_the_room, over_a_room_that_has_shrunk,
        crashing_task_started_for_ever, out_of_order, other_payload,
        foreign_checkpoint, refused_job, canceled_job, canceled_job_that_runs_on,
        canceled_job_that_a_worker_starts_late, canceled_job_runs_on_near_faults,
        canceled_job_without_runs, unknown_job, too_many_on_a_worker, without_the_label,
        start_in_a_drained_domain,
        before_its_time, workers_keep_the_protocol, a_worker_starts_again_under_its_id, store_keeps_the_protocol, store_takes_no_more_than_its_limits,
        addresses_are_translated, resting_jobs_are_measured, silences_are_measured,
        kept_seeds_play_what_they_played, open_connections_go_silent, connections_are_refused,
        refusals_are_drawn_beside_the_rest]


if __name__ == "__main__":
    sys.exit(run_checks(RUNS))
