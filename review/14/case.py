"""LOST: a job whose tasks last loses one worker just after its tasks began there; how long do its
tasks stay down although there is room and nothing is in disruption?"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import cell as cells  # noqa: E402

TASKS = 24
BACK_S = 4.5  # How long the crashed worker is down.
AFTER_LAST_RUN_MS = 6000  # RULES.md, LOST: from 6 s after its last run
DOWN_MS = 3000  # "for 3 s"
CALM_MS = 4000  # "and the 4 s before them are calm"


async def course(make, record, trouble):
    cell = make(nodes=3, workers=12)
    await cell.start()
    await asyncio.sleep(3)
    job = cells.job_id()
    if not await cell.submit(job, {"work_s": 0}, [
            {"count": TASKS, "cpu": 1300, "mem_mb": 2000, "est_runtime_ms": 500, "long_running": True}]):
        raise RuntimeError("the job was not accepted")
    for _ in range(100):
        if len(cell.running()) == TASKS:
            break
        await asyncio.sleep(0.05)
    if len(cell.running()) != TASKS:
        raise RuntimeError("the tasks did not start")
    await asyncio.sleep(0.5)
    crashed = max(cell.workers, key=lambda worker: len(worker.runs))
    calm_from = cells.now_ms()
    if trouble:
        crashed.crash("srv_crash")
        await crashed.back_after(BACK_S)
        calm_from = cells.now_ms()
        record.note("calm from here on")
    broken = {}
    down_since = {}
    end = cells.now_ms() + 40000
    while cells.now_ms() < end:
        now = cells.now_ms()
        running = cell.running()
        for task in cell.starts:
            if task in running:
                down_since.pop(task, None)
                continue
            last_run = max(over[0] for over in cell.overs[task])
            first = max(last_run + AFTER_LAST_RUN_MS, calm_from + CALM_MS)
            down_since.setdefault(task, last_run)
            if now >= first + DOWN_MS and task not in broken:
                broken[task] = now - last_run
                record.note("LOST: %s has not run for %d ms, with room, %d ms after the last disruption"
                            % (task, now - last_run, now - calm_from))
        await asyncio.sleep(0.05)
    record.note("%d of %d tasks were down for too long; running at the end: %d"
                % (len(broken), TASKS, len(cell.running())))
    await cell.state(job)
    return not broken


sys.exit(cells.main(FOLDER, course))
