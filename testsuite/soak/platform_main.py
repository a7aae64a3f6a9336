# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The stand-in of the users' platform, a process of its own: store, workers, advisor.

python3 -m soak.platform_main --base PORT --workers N --seed N"""

import argparse
import asyncio
import gc
import json
import signal
import sys
import time

from . import control, wire
from .addresses import Plan
from .advisor import Advisor, Tickets
from .http1 import Server
from .ledger import Ledger
from .model import QUEUES, SERVICE, JobFacts, Queue
from .moments import START, Moments
from .silences import Silences
from .standstill import Standstill
from .store import Store
from .store_service import Rates, StoreService, Trouble
from .workers import Workers

LIST_S = 0.2
LIST_PATIENCE_S = 4.5


class Platform:
    """Everything that the daemons meet beside each other."""

    def __init__(self, plan, worker_count, seed, rates):
        self.plan = plan
        self.ledger = Ledger(self.log)
        self.moments = Moments()
        self.silences = Silences()
        self.tickets = Tickets()
        self.workers = Workers(self.ledger, self.log_run, self.tickets, seed, worker_count)
        self.workers.on_crash = self.worker_crashed
        self.store = Store()
        self.service = StoreService(self.store, rates, seed, plan.view_of, self.translate)
        self.advisor = Advisor(self.ledger, self.workers, self.tickets, plan.view_of)
        self.standstill = Standstill(self.ledger, self.workers, self.advisor.allows,
                                     self.silences)
        self.servers = {}
        self.returns = set()  # Of workers that tasks have crashed.
        self.listed = {}  # life's id -> the value of its row
        self.dead_since = {}
        self.version = 0
        self.routes = []  # Names of queues beside the usual ones.
        self.workspaces = []  # Entries of the configuration; none: callers need no keys.

    @staticmethod
    def log(event, **fields):
        print(json.dumps({"time_ms": int(time.time() * 1000), "process": "platform",
                          "event": event, **fields}))

    def log_run(self, event, job, **fields):
        """Logs that a run started or ended, and tells those who wait for it."""
        self.log(event, job=job, **fields)
        self.moments.happened(job, event)
        if event == START:
            self.silences.started()

    def translate(self, value, view):
        """Rows name daemons and workers as the daemon that reads them finds them."""
        value = self.plan.translate(value, view)
        return value.replace(wire.ADDRESS_FIELD + self.plan.view_prefix(0),
                             wire.ADDRESS_FIELD + self.plan.view_prefix(view))

    async def begin(self):
        self.configure()
        await Server(self.service.handle, self.plan.store).open()
        await Server(self.advisor.handle, self.plan.advice).open()
        for slot in list(self.workers.slots):
            await self.open_slot(slot)
        await Server(self.command, self.plan.control).open()

    async def open_slot(self, slot):
        async def handle(request):
            return await self.workers.handle(slot, request, self.plan.view_of(request.local_ip))
        if slot not in self.servers:
            self.servers[slot] = Server(handle, self.plan.worker_port(slot))
        await self.servers[slot].open()

    def configure(self):
        self.version += 3
        routes = [Queue(name, 0) for name in self.routes]
        value = wire.configuration_value(self.version, list(QUEUES) + routes, [SERVICE],
                                         self.workspaces)
        self.put(wire.OPERATOR_TABLE, wire.CONFIG_KEY, value)

    def put(self, table, key, value):
        name = wire.RowName(table, "", key)
        change = wire.Write([], [(name, value)], []) if value else wire.Write([], [], [name])
        self.service.apply(change)

    def list_workers(self):
        """Renews the rows of workers; a worker that is gone or not heard stays listed for a while."""
        for life in self.workers.lives:
            present = self.workers.slots[life.slot]
            if not life.up and (life.id not in self.listed
                                or (present is not life and present.id == life.id)):
                continue  # It has gone, or its entry is that of its next life.
            if not life.up:
                since = self.dead_since.setdefault(life.id, time.monotonic())
                if time.monotonic() - since > LIST_PATIENCE_S or life.draining:
                    self.drop_entry(life)
                continue
            if life.lapsed(time.monotonic()):
                if life.id in self.listed:
                    self.drop_entry(life)
                continue
            address = (f"{self.plan.worker_ip(life.slot, 0)}:"
                       f"{self.plan.proxied_worker(life.slot)}")
            state = (life.born_ms, life.draining, life.share)
            if self.listed.get(life.id) != state:
                self.listed[life.id] = state
                self.put(wire.SERVERS_TABLE, life.id, self.workers.value(life, address))

    def drop_entry(self, life):
        del self.listed[life.id]
        self.put(wire.SERVERS_TABLE, life.id, b"")

    async def keep_list(self):
        while True:
            if 0 not in self.service.trouble.refused:
                self.list_workers()
            self.ledger.check_canceled_runs(self.workers.lives, time.monotonic())
            self.standstill.look()
            sys.stdout.flush()
            await asyncio.sleep(LIST_S)

    async def command(self, request):
        name = request.target.strip("/")
        arguments = json.loads(request.body or b"{}")
        done = getattr(self, "do_" + name)(**arguments)
        if asyncio.iscoroutine(done):
            done = await done
        return control.answer(done)

    # What the driver may ask for.

    def do_describe(self, jobs):
        for text in jobs:
            facts = JobFacts.decode(text)
            self.ledger.jobs[facts.id] = facts

    def do_refused(self, job):
        self.log("refused", job=job)
        self.ledger.refused[job] = time.monotonic()

    def do_canceled(self, job, at):
        self.log("canceled", job=job)
        self.ledger.acknowledge_cancel(job, at)

    def do_accepted(self, job, node):
        self.log("accepted", job=job, node=node)
        self.standstill.accepted.add(job)

    def do_calm(self):
        self.log("calm")
        self.standstill.calm_since = time.monotonic()

    def do_fault(self, kind, text):
        self.log("fault", text=text)
        self.ledger.calm.begins(kind)

    def do_fault_over(self, kind, text):
        self.log("fault", text=f"over: {text}")
        self.ledger.calm.ends(kind)

    def do_silence(self, text):
        """Open connections have gone silent."""
        self.log("silence", text=text)
        self.silences.begins(text)

    def do_silences(self):
        return self.silences.figures()

    async def do_moment(self, job, event, bound_s):
        return await self.moments.wait_for(job, event, bound_s)

    def do_trouble(self, **trouble):
        refused = {int(k): how for k, how in trouble.pop("refused", {}).items()}
        self.service.trouble = Trouble(refused=refused, **trouble)

    def do_forget_history(self):
        self.store.forget()

    def do_configure(self, add=(), drop=()):
        """Returns the version and when the store had taken it."""
        self.routes = [name for name in self.routes if name not in drop] + list(add)
        self.configure()
        self.log("configured", version=self.version, add=list(add), drop=list(drop))
        return {"version": self.version, "at": time.monotonic()}

    def do_drain_domain(self, domain, drained):
        """The operators drain a failure domain, or withdraw that."""
        self.put(wire.OPERATOR_TABLE, wire.DRAIN_KEY_PREFIX + domain, b"{}" if drained else b"")
        self.ledger.drain_domain(domain, drained, time.monotonic())
        self.log("drain_domain", domain=domain, drained=drained)

    def do_workspaces(self, entries):
        """The operators write other workspaces; returns when the store had taken it."""
        self.workspaces = entries
        self.configure()
        self.ledger.bounds.written(entries)
        self.log("workspaces", version=self.version, names=[entry["name"] for entry in entries],
                 bounds=[entry["upper_bound"]["cpu"] for entry in entries])
        return {"version": self.version, "at": time.monotonic()}

    def worker_crashed(self, slot, pause_s):
        """A task has crashed the worker at a slot; another one is there after a while."""
        self.servers[slot].close()
        life = self.workers.slots[slot]

        async def come_back():
            await asyncio.sleep(pause_s)
            if self.workers.slots[slot] is life:
                await self.do_worker_up(slot)
        self.returns.add(asyncio.ensure_future(come_back()))

    def do_worker_resize(self, slot, share):
        life = self.workers.slots[slot]
        if life.up:
            life.resize(share)

    async def do_worker_down(self, slot):
        self.workers.end_life(slot)
        self.servers[slot].close()

    async def do_worker_up(self, slot, kind="", same_id=False):
        if slot not in self.workers.slots or not self.workers.slots[slot].up:
            self.workers.begin_life(slot, kind, same_id)
        await self.open_slot(slot)

    def do_worker_drain(self, slot, span_s):
        life = self.workers.slots[slot]
        life.draining, life.leaves_at = True, time.monotonic() + span_s

    def do_worker_unheard(self, slot, lapses_s):
        """The heartbeats of a worker reach nobody; its entry lapses after a while."""
        self.workers.slots[slot].lapses_at = time.monotonic() + lapses_s

    def do_worker_heard(self, slot):
        self.workers.slots[slot].lapses_at = 0

    def do_worker_trouble(self, slot, **trouble):
        for name, value in trouble.items():
            setattr(self.workers.trouble[slot], name, value)

    def do_status(self):
        breaches = [[b.promise, b.text, b.at] for b in self.ledger.breaches]
        return {"breaches": breaches, "checked": self.ledger.checked,
                "leader": self.workers.last_leader, "writer": self.service.last_writer,
                "starts": self.ledger.starts, "store_calls": self.service.calls,
                "store_refusals": self.service.refusals, "alone": self.workers.alone}

    def do_running(self):
        """Returns what runs at workers."""
        return [f"{run.task} run {run.number} at {life.id}"
                for life in self.workers.lives for run in life.running.values()]

    def do_verdicts(self, jobs):
        return {job: self.ledger.verdict_on(job) for job in jobs}

    def do_longest_standstill(self):
        return [self.standstill.longest.span_s, self.standstill.longest.task]

    def do_idle_lasting(self):
        return self.workers.idle_lasting()


async def serve(arguments):
    platform = Platform(Plan(arguments.base), arguments.workers, arguments.seed,
                        Rates(arguments.writes, arguments.reads))
    await platform.begin()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(platform.keep_list()),
             loop.create_task(platform.workers.run_clock())]
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    await asyncio.wait([asyncio.ensure_future(ended.wait()), *tasks],
                       return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("base", "workers", "seed"):
        parser.add_argument("--" + name, type=int, required=True)
    parser.add_argument("--writes", type=float, default=600)
    parser.add_argument("--reads", type=float, default=2000)
    gc.freeze()
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
