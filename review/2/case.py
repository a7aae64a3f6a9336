"""A worker crashes three times; the lasting job that needs it is shown as failed for good."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins  # noqa: E402

WORKERS, CRASHES, UP_S, DOWN_S = 8, 3, 1.0, 1.0


def running(world, job):
    return [(life, run) for life, run in world.pool.running() if run.task.startswith(job)]


async def started(world, job, number, seconds):
    """Waits for a start of the job beyond this number; returns whether there was one."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if world.ledger.jobs[job]["starts"] > number and running(world, job):
            return True
        await asyncio.sleep(0.01)
    return False


async def main(folder, trouble):
    world = standins.World(folder, nodes=3, workers=WORKERS, labels=lambda slot: [
        "b" if slot == 0 else "a", f"r1-{slot // 4}"])
    try:
        await world.open()
        await asyncio.sleep(12)
        job = await world.submit({"task_spec": "review", "phases": [
            {"count": 1, "cpu": 4000, "mem_mb": 1000, "est_runtime_ms": 1000, "long_running": True,
             "depends_on": "b"}]}, float("inf"))
        facts = world.ledger.jobs[job]
        if not await started(world, job, 0, 5):
            raise RuntimeError("the job did not start")
        for crash in range(CRASHES):
            await asyncio.sleep(UP_S)
            if trouble:
                starts = facts["starts"]
                world.disturb()
                world.pool.crash(0)
                await asyncio.sleep(DOWN_S)
                await world.pool.begin(0)
                world.disturb()
                if not await started(world, job, starts, 15):
                    world.record(f"after crash {crash + 1} the task was not started again within 15 s")
                    break
            else:
                await asyncio.sleep(DOWN_S)
        await asyncio.sleep(25)  # The worker stays up, with all its capacity free.
        shown = [await world.state(job) for _ in world.nodes]
        ends = [how for (task, _), (_, how, _) in world.ledger.runs.items() if task.startswith(job)]
        world.record(f"job {job}: {facts['starts']} starts, its runs: {ends}, ends 'failed': "
                     f"{facts['failed_ends']}, runs now: {len(running(world, job))}, shown as {shown}")
        for node in world.nodes:
            for line in node.log_lines("task_given_up"):
                world.record(f"node {node.number}: {line}")
        return facts["failed_ends"] == 0 and any(state == "failed" for _, state in shown)
    finally:
        world.close()


standins.run_case(main)
