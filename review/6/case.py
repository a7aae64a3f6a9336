"""A schedule is handed in long after its first times. The platform kills processes that are over
their memory. Other clients hand in small jobs before and after that."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import cell as cells  # noqa: E402

JOB = "5c0e7a21d94b36fe"
DAY, WIDTH, LATE = 86400, 10, 75000  # Once a second for a day, ten tasks each; seconds too late.
BEFORE, AFTER = 10, 20
MEMORY_MB = 260  # Of the site's machines: "A process over `memory_mb` is killed" (DEPLOY.md).
RESTART_S = 0.5  # "A process that ends or is killed is started again after a short delay."
WATCH_S = 20
SMALL = [{"count": 2, "cpu": 100, "work_s": 0.2}]


class Platform:
    """Kills processes that are over their memory and starts them again."""

    def __init__(self, cell):
        self.cell, self.kills, self.peak = cell, {node.name: 0 for node in cell.nodes}, 0.0

    async def watch(self, node):
        while True:
            if node.alive:
                resident = node.resident_mb()
                self.peak = max(self.peak, resident)
                if resident > MEMORY_MB:
                    self.kills[node.name] += 1
                    self.cell.record(f"{node.name} has {resident:.0f} MB: killed")
                    node.kill()
            else:
                if node.process is not None and node.process.returncode not in (None, -9):
                    self.cell.record(f"{node.name} ended with {node.process.returncode}")
                await asyncio.sleep(RESTART_S)
                node.start()
            await asyncio.sleep(0.05)


async def run(made):
    cell = cells.Cell(FOLDER, nodes=3, workers=12)
    made.append(cell)
    await cell.open()
    platform = Platform(cell)
    cell.tasks += [asyncio.ensure_future(platform.watch(node)) for node in cell.nodes]
    small = []

    async def hand_in(count):
        for _ in range(count):
            job = f"{len(small) + 1:015x}f"
            if await cell.submit(job, SMALL, tries=8):
                small.append(job)
            await asyncio.sleep(0.3)

    await hand_in(BEFORE)
    first = time.time() - (LATE if cells.TROUBLE else 0)
    times = {"repeat_count": DAY, "interval_ms": 1000, "start_at_ms": int(first * 1000)}
    if not await cell.submit(JOB, [{"count": WIDTH, "cpu": 100, "work_s": 0.1}], times):
        raise RuntimeError("the schedule was not accepted")
    await hand_in(AFTER)
    await asyncio.sleep(WATCH_S)
    open_jobs, end, idle_since, idle = set(small), time.monotonic() + 14, None, 0.0
    while open_jobs and time.monotonic() < end:
        for job in list(open_jobs):
            if await cell.state(job, quiet=True) == "completed":
                open_jobs.discard(job)
            if time.monotonic() > end:
                break
        now = time.monotonic()
        idle_since = None if cell.cpu_in_use() else idle_since or now
        idle = max(idle, now - (idle_since or now))
        await asyncio.sleep(0.3)
    cell.record(f"{len(small)} small jobs were accepted, {len(open_jobs)} aren't shown as completed; "
                f"nothing ran for {idle:.1f} s; processes killed for their memory: "
                f"{platform.kills}, at most {platform.peak:.0f} MB")
    # Fault: processes end by themselves three times on a tenth of the machines, at least two.
    often = sum(1 for kills in platform.kills.values() if kills >= 3)
    if often >= 2:
        cell.record(f"Fault: {often} of {len(cell.nodes)} nodes went over their memory three times")
    if open_jobs and idle >= 3:
        cell.record("LOST: for over 3 s nothing runs while tasks' turns have come and all room is free")
    if not cells.TROUBLE and open_jobs:
        raise RuntimeError("small jobs aren't done without the trouble")
    return often >= 2 and bool(open_jobs) and idle >= 3


sys.exit(cells.play(run))
