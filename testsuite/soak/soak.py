# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""One soak: starts all processes, plays a schedule, checks the promises, ends what it started."""

import asyncio
import os
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass, field

from . import processes
from .addresses import Plan
from .callers import VISIBLE_S, Callers
from .calm import CONTACT_S, ELSEWHERE, Calm
from .control import PlatformClient
from .daemons import Daemon
from .injector import Injector
from .proxy import Proxies
from .routes import RouteCallers
from .schedule import Schedule, begin_times
from .workspaces import first_workspaces

TESTSUITE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(TESTSUITE)
BIN = os.environ.get("PATHPORT_BIN", os.path.join(ROOT, "build", "bin"))
CALM_BOUND_S = 90.0
DOUBT_S = CONTACT_S + VISIBLE_S  # A job that is still unknown then was not taken.
STOPPED_BOUND_S = 15.0
START_BOUND_S = 30.0
WATCH_S = 0.25
# After a breach the soak goes on a little, for the logs, and then ends.
AFTER_BREACH_S = 3.0
MOST_BREACHES = 20


@dataclass
class Result:
    """What came out of one seed."""
    seed: int
    broken: list = field(default_factory=list)  # (promise, text)
    checked: dict = field(default_factory=dict)
    faults: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)
    accepted: int = 0
    starts: int = 0
    store_calls: int = 0
    calm_s: float = 0
    standstill: tuple = (0, "")  # The longest in the calm time: seconds, task.
    silences: list = field(default_factory=list)  # Silences.figures()
    # Seconds from an added route until a daemon first served it, of all routes and daemons.
    route_delays: list = field(default_factory=list)
    folder: str = ""


class Soak:
    """Plays one seed."""

    def __init__(self, seed, size):
        self.size = size
        self.schedule = Schedule(seed, size)
        self.result = Result(seed)
        self.plan = Plan.find()
        self.folder = tempfile.mkdtemp(prefix=f"pathport-soak-{seed}-")
        self.result.folder = self.folder
        self.proxies = Proxies(self.plan, size.daemons)
        self.daemons = [Daemon(i + 1, self.plan, self.folder,
                               os.path.join(BIN, "pathport_jobd"), self.proxies)
                        for i in range(size.daemons)]
        self.platform = PlatformClient("127.0.0.1", self.plan.control)
        self.platform_process = None
        self.callers = Callers(self.daemons, self.plan, self.platform, self.breach, seed)
        self.routes = RouteCallers(self.callers, self.platform, Calm(ELSEWHERE))
        self.callers.lines.in_touch_since = lambda daemon: max(
            self.routes.calm.since(), daemon.started_at + self.routes.calm.contact_s)
        self.background = []

    def breach(self, promise, text):
        if len(self.result.broken) < MOST_BREACHES:
            self.result.broken.append((promise, text))
        path = os.path.join(self.folder, "breaches.txt")
        with open(path, "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f} {promise}: {text}\n")

    async def run(self):
        """Returns the result; the folder is kept only on a breach."""
        try:
            await self.start()
            await self.play()
        except Exception as error:
            self.breach("the soak itself", repr(error))
            raise
        finally:
            for task in self.background:
                task.cancel()
            self.end_processes()
            self.proxies.close_all()
            self.plan.holder.close()
            self.keep_schedule()
        if not self.result.broken:
            shutil.rmtree(self.folder)
            self.result.folder = ""
        return self.result

    async def start(self):
        self.start_platform()
        end = time.monotonic() + START_BOUND_S
        while True:
            try:
                await self.platform.call("status")
                break
            except OSError:
                if time.monotonic() > end:
                    raise
                await asyncio.sleep(0.1)
        await self.proxies.open("store")
        await self.proxies.open("advice")
        for slot in range(1, self.size.workers + 1):
            await self.proxies.open("worker", slot)
        if self.size.rekeys_per_s:
            workspaces = first_workspaces()
            entries = [entry.entry() for entry in workspaces]
            done = await self.platform.call("workspaces", entries=entries)
            self.callers.keys.begin(workspaces, done["at"])
        await self.platform.call("fault", kind="start", text="daemons start")
        await asyncio.gather(*[daemon.start() for daemon in self.daemons])
        await self.platform.call("fault_over", kind="start", text="daemons start")

    def start_platform(self):
        large = self.size.daemons > 20
        command = [sys.executable, "-m", "soak.platform_main", "--base", str(self.plan.base),
                   "--workers", str(self.size.workers), "--seed", str(self.result.seed)]
        if large:
            command += ["--writes", "1200", "--reads", "6000"]
        self.platform_process = processes.start(
            command, os.path.join(self.folder, "platform.log"), TESTSUITE)

    async def play(self):
        begin = time.monotonic()
        begin_times(self.schedule.jobs, time.time())
        injector = Injector(self.daemons, self.proxies, self.platform, self.breach, begin,
                            self.routes)
        self.result.faults = injector.counts
        watch = asyncio.ensure_future(self.watch())
        self.background += [watch, asyncio.ensure_future(self.routes.watch_for_stalls())]
        parts = asyncio.gather(self.callers.run(self.schedule.jobs, begin),
                               self.bring_about_faults(injector))
        self.background.append(parts)
        await self.unless_broken(parts)
        if not self.result.broken:
            calm = time.monotonic()
            await self.unless_broken(asyncio.ensure_future(self.calm_end()))
            self.result.calm_s = time.monotonic() - calm
        await self.routes.end()
        await self.take_status()
        self.count()

    async def bring_about_faults(self, injector):
        await injector.run(self.schedule.faults)
        await self.platform.call("calm")

    async def unless_broken(self, work):
        """Waits for some work, or until a while after a breach."""
        broken_at = 0.0
        while not work.done():
            await asyncio.wait([work], timeout=WATCH_S)
            if self.result.broken and not broken_at:
                broken_at = time.monotonic()
            if broken_at and time.monotonic() - broken_at > AFTER_BREACH_S:
                work.cancel()
                await asyncio.wait([work], timeout=STOPPED_BOUND_S)
                return
        work.result()

    async def calm_end(self):
        await self.callers.cancel_again()
        await self.callers.settle_doubts(DOUBT_S)
        await self.callers.await_ends(CALM_BOUND_S)
        end = time.monotonic() + STOPPED_BOUND_S
        while idle := await self.lasting_tasks_away():
            if time.monotonic() > end:
                self.breach("nothing that could run stands still", f"{idle} run nowhere")
                break
            await asyncio.sleep(0.5)
        await self.callers.cancel_lasting()
        end = time.monotonic() + STOPPED_BOUND_S
        while running := await self.platform.call("running"):
            if time.monotonic() > end:
                self.breach("nothing runs on after its job",
                            f"after all jobs ended: {', '.join(running)}")
                break
            await asyncio.sleep(0.2)

        self.result.standstill = tuple(await self.platform.call("longest_standstill"))
        self.check_standstill()

    def check_standstill(self):
        """A job that could run may wait for leases and take-overs, but no longer."""
        span, task = self.result.standstill
        self.callers.check("nothing that could run stands still", span < self.size.standstill_s,
                           f"{task} stood still for {span:.1f} s of the calm time")

    async def lasting_tasks_away(self):
        accepted = {job for job, view in self.callers.views.items() if view.accepted_at}
        away = await self.platform.call("idle_lasting")
        return [task for task in away if task.split(".")[0] in accepted]

    async def watch(self):
        """Looks for breaches while the soak runs."""
        while True:
            await asyncio.sleep(WATCH_S)
            for daemon in self.daemons:
                problem = daemon.check_alive()
                if problem:
                    self.breach("daemons end only when told", problem)
            await self.take_status()

    async def take_status(self):
        self.result.silences = await self.platform.call("silences")
        status = await self.platform.call("status")
        known = {text for _, text in self.result.broken}
        for promise, text, _ in status["breaches"]:
            if text not in known:
                self.breach(promise, text)
        self.result.starts, self.result.store_calls = status["starts"], status["store_calls"]
        self.result.checked = dict(status["checked"])

    def count(self):
        for promise, count in self.callers.checked.items():
            self.result.checked[promise] = self.result.checked.get(promise, 0) + count
        self.result.checked["calls get an answer"] = self.callers.lines.ended_calls
        self.result.requests = self.callers.lines.requests
        self.result.route_delays = list(self.routes.book.first_served.values())
        self.result.accepted = sum(1 for v in self.callers.views.values() if v.accepted_at)

    def end_processes(self):
        for daemon in self.daemons:
            daemon.end()
        if self.platform_process is not None and self.platform_process.poll() is None:
            self.platform_process.terminate()
            self.platform_process.wait(10)

    def keep_schedule(self):
        with open(os.path.join(self.folder, "schedule.txt"), "w", encoding="utf-8") as file:
            file.write(f"seed {self.result.seed} {self.size}\n{self.schedule.text()}")
