# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Jobs that ask for very many tasks, with real processes: a platform that kills each process over
its memory, small jobs of other clients before, beside and after, and in some runs a leader that is
killed again and again. No process may be killed for its memory, and the small jobs are done in
time. Names of runs as arguments select them; `--figures` prints what was measured."""

import asyncio
import os
import statistics
import sys
import tempfile
import time
from contextlib import contextmanager

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "lib-2"))

import cell as cells  # noqa: E402

MEMORY_MB = 260
RESTART_S = 0.5
WORKERS = 12
SMALL = [{"count": 2, "cpu": 100, "work_s": 0.2}]
SMALL_BEFORE, SMALL_BESIDE, SMALL_INTERVAL_S = 4, 30, 0.3
# Without large jobs a small one takes 0.25 s. LOST allows 3 s in which nothing of a job runs.
SMALL_ALLOWED_S = 3.0
# The leader changes in these runs, and a job may come while none is there.
CHANGE_ALLOWED_S = 8.0
KILL_INTERVAL_S = 6.0


def step(count, cpu=100, **more):
    return {"count": count, "cpu": cpu, "work_s": 0.1, **more}


def overdue(count, interval_ms=1000):
    """Returns a schedule of which `count` times are due now."""
    first = time.time() - count * interval_ms / 1000
    return {"repeat_count": max(count, 86400) if interval_ms == 1000 else count,
            "interval_ms": interval_ms, "start_at_ms": int(first * 1000)}


# By run: the large jobs, as functions that return (steps, times).
RUNS = {
    "overdue_times": lambda: [([step(10)], overdue(75000))],
    "overdue_wide_times": lambda: [([step(10000)], overdue(300))],
    "many_schedules": lambda: [([step(1000)], overdue(200)) for _ in range(40)],
    "wide_steps": lambda: [([step(10000) for _ in range(100)], None)],
    "wide_steps_in_sequence": lambda: [
        ([step(10000, after=[i - 1] if i else []) for i in range(100)], None)],
    "steps_without_a_worker": lambda: [([step(10000, cpu=1000000) for _ in range(50)], None)
                                       for _ in range(20)],
    "largest_jobs": lambda: [([step(10000) for _ in range(256)], overdue(99999, 10))
                             for _ in range(20)],
}
LEADER_KILLED = ("overdue_times", "wide_steps")


class Platform:
    """Kills processes that are over their memory and starts killed ones again."""

    def __init__(self, cell):
        self.cell, self.memory_kills, self.peak = cell, 0, 0.0

    async def watch(self, node):
        while True:
            if not node.alive:
                await asyncio.sleep(RESTART_S)
                node.start()
            resident = node.resident_mb()
            self.peak = max(self.peak, resident)
            if resident > MEMORY_MB:
                self.memory_kills += 1
                node.kill()
            await asyncio.sleep(0.05)

    def largest(self):
        return max((node for node in self.cell.nodes if node.alive),
                   key=lambda node: node.resident_mb())


@contextmanager
def program_of_build():
    """Lets the cell start the program of build/ under the path that the deploy file names."""
    with tempfile.TemporaryDirectory(prefix="pathport-large-") as folder:
        os.symlink(os.path.join(ROOT, "deploy"), os.path.join(folder, "deploy"))
        import tomllib
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            program = tomllib.load(file)["roles"]["node"]["run"].split()[0]
        path = os.path.join(folder, program)
        os.makedirs(os.path.dirname(path))
        os.symlink(os.path.join(ROOT, "build", "bin", "pathport_jobd"), path)
        cells.ROOT = folder
        yield folder


class Run:
    def __init__(self, cell, name, kills):
        self.cell, self.name, self.kills = cell, name, kills
        self.small, self.done_after, self.problems = {}, {}, []
        self.platform = Platform(cell)

    async def hand_in_small(self, count):
        for _ in range(count):
            job = f"{len(self.small) + 1:015x}f"
            begun = time.monotonic()
            if not await self.cell.submit(job, SMALL, tries=12, quiet=True):
                self.problems.append(f"small job {job} was not accepted")
            self.small[job] = begun
            await asyncio.sleep(max(0, begun + SMALL_INTERVAL_S - time.monotonic()))

    async def note_done(self):
        while True:
            for job, begun in self.small.items():
                if job not in self.done_after and self.cell.done_of(job) >= SMALL[0]["count"]:
                    self.done_after[job] = time.monotonic() - begun
            await asyncio.sleep(0.02)

    async def kill_leaders(self):
        while True:
            await asyncio.sleep(KILL_INTERVAL_S)
            self.platform.largest().kill()

    async def play(self):
        cell = self.cell
        await cell.open()
        cell.tasks += [asyncio.ensure_future(self.platform.watch(node)) for node in cell.nodes]
        cell.tasks.append(asyncio.ensure_future(self.note_done()))
        await self.hand_in_small(SMALL_BEFORE)
        for i, (steps, times) in enumerate(RUNS[self.name]()):
            if not await cell.submit(f"5c0e7a21d94b{i:03x}e", steps, times, tries=12, quiet=True):
                self.problems.append(f"large job {i} was not accepted")
        if self.kills:
            cell.tasks.append(asyncio.ensure_future(self.kill_leaders()))
        await self.hand_in_small(SMALL_BESIDE)
        allowed = CHANGE_ALLOWED_S if self.kills else SMALL_ALLOWED_S
        await asyncio.sleep(allowed)
        late = [job for job in self.small if self.done_after.get(job, allowed + 1) > allowed]
        if late:
            self.problems.append(f"{len(late)} of {len(self.small)} small jobs are late or lost")
        if self.platform.memory_kills:
            self.problems.append(f"processes were killed {self.platform.memory_kills} times for "
                                 f"their memory, at most {self.platform.peak:.0f} MB")

    def figures(self):
        times = sorted(self.done_after.values()) or [0.0]
        return (f"peak {self.platform.peak:.0f} MB, {self.platform.memory_kills} kills for memory, "
                f"{len(self.done_after)} of {len(self.small)} small jobs done after "
                f"{statistics.median(times):.2f} s, at most {times[-1]:.2f} s; "
                f"{self.cell.counts.get('starts', 0)} starts")


async def run_one(name, kills, folder):
    cell = cells.Cell(folder, nodes=3, workers=WORKERS)
    try:
        run = Run(cell, name, kills)
        await asyncio.wait_for(run.play(), 110)
        return run.problems, run.figures()
    finally:
        cell.close()


def main():
    figures = "--figures" in sys.argv
    chosen = [name for name in sys.argv[1:] if not name.startswith("-")]
    runs = [(name, name, False) for name in RUNS]
    runs += [(f"{name}_leader_killed", name, True) for name in LEADER_KILLED]
    failed = 0
    with program_of_build() as folder:
        for title, name, kills in runs:
            if chosen and title not in chosen:
                continue
            problems, measured = asyncio.run(run_one(name, kills, folder))
            for problem in problems:
                print(f"{title}: VIOLATION {problem}")
            if figures or problems:
                print(f"{title}: {measured}")
            print(f"{title}: {'FAILED' if problems else 'passed'}", flush=True)
            failed += bool(problems)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
