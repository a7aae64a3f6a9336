"""BUDGET (terms): a task crashes each worker that starts it, before the worker has answered the
order. How often is it started after three workers have crashed under it?"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import cell as cells  # noqa: E402

BACK_S = 3.0  # "the worker is back after some seconds"
FREE_STARTS = 3  # Until three workers have crashed under it.
MORE_STARTS = 3  # "is started three times more"
WATCHED_S = 75


async def course(make, record, trouble):
    cell = make(nodes=3, workers=12, new_ids=True)

    def begun(worker, run):
        if not run.spec.get("crashes"):
            return True
        worker.crash("its task %s crashes it" % run.task)
        asyncio.ensure_future(worker.back_after(BACK_S))
        return False

    cell.on_begun = begun
    await cell.start()
    await asyncio.sleep(2)
    job = cells.job_id()
    spec = {"work_s": 2.0, "crashes": trouble}
    if not await cell.submit(job, spec, [
            {"count": 1, "cpu": 1000, "mem_mb": 512, "est_runtime_ms": 2000}]):
        raise RuntimeError("the job was not accepted")
    task = job + ".0.0.0"
    end = cells.now_ms() + WATCHED_S * 1000
    while cells.now_ms() < end:
        if len(cell.starts.get(task, [])) >= FREE_STARTS + MORE_STARTS + 2:
            break
        if await cell.state(job) in ("completed", "failed"):
            break
        await asyncio.sleep(1)
    state = await cell.state(job)
    starts = cell.starts.get(task, [])
    lost = [over for over in cell.overs.get(task, []) if over[3] == "lost"]
    record.note("starts %s; workers crashed under it %s; state %s"
                % (starts, [over[1] for over in lost], state))
    if not trouble and state != "completed":
        return False
    # Starts after the third different worker has crashed under it.
    crashed, third = set(), None
    for over in lost:
        crashed.add(over[1])
        if len(crashed) == FREE_STARTS and third is None:
            third = over[0]
    more = [start for start in starts if third is not None and start[0] > third]
    record.note("%d starts after three workers had crashed under the task" % len(more))
    return len(more) < MORE_STARTS


sys.exit(cells.main(FOLDER, course))
