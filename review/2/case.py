"""A job whose task has never run is shown as failed: orders that never reached a worker count as crashes."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins  # noqa: E402

WORKERS, OUTAGES, DARK_S, WORK_S = 8, 5, 1.0, 3.0


async def main(folder, trouble):
    world = standins.World(folder, nodes=3, workers=WORKERS, labels=lambda slot: [
        "b" if slot == 0 else "a", f"r1-{slot // 4}"])
    outages = []

    async def return_power(slot):
        await asyncio.sleep(DARK_S)
        await world.pool.begin(slot)
        world.disturb()

    def on_start(slot, order):
        """The worker's machine loses power while a start is on its way to it."""
        if slot != 0 or len(outages) >= OUTAGES:
            return False
        world.record(f"worker {slot}: loses power as the start of {order['task']} run {order['run_id']} "
                     "is on its way; the order does not arrive")
        world.disturb()
        world.pool.crash(slot, dark=True)
        outages.append(asyncio.ensure_future(return_power(slot)))
        return True
    try:
        await world.open()
        await asyncio.sleep(12)
        if trouble:
            world.pool.on_start = on_start
        job = await world.submit({"task_spec": "review", "phases": [
            {"count": 1, "cpu": 4000, "mem_mb": 1000, "est_runtime_ms": int(WORK_S * 1000),
             "depends_on": "b"}]}, WORK_S)
        facts = world.ledger.jobs[job]
        await asyncio.sleep(40)  # After the last outage all workers stay up.
        shown = [await world.state(job) for _ in world.nodes]
        ends = [how for (task, _), (_, how, _) in world.ledger.runs.items() if task.startswith(job)]
        world.record(f"job {job}: {len(outages)} outages; starts that a worker got: {facts['starts']}, "
                     f"their ends: {ends}, ends 'failed': {facts['failed_ends']}; shown as {shown}")
        for node in world.nodes:
            for line in node.log_lines("task_given_up"):
                world.record(f"node {node.number}: {line}")
        return facts["failed_ends"] == 0 and any(state == "failed" for _, state in shown)
    finally:
        world.close()


standins.run_case(main)
