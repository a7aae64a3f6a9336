# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Shows that the end of a soak settles hand-ins left in doubt, and that what runs on after its job is
still reported."""

import asyncio
import json
import shutil
import sys
from types import SimpleNamespace

from run_soak import CI_SIZE
from soak import callers as callers_module, soak as soak_module
from soak.callers import NOT_SENT, JobView
from soak.model import JobFacts
from soak.schedule import PlannedJob, SoonCancel
from soak.self_checks import run_checks
from soak.soak import Soak
from soak.wire import Step

JOB = "0123456789abcdef"
TASK = JOB + ".0.0.0"
ON = "nothing runs on after its job"
SOON = SoonCancel("accepted", 0.1, [0])


class End:
    """The end of a soak with one job, whose task runs until the job is cancelled. Daemons answer at
    once, the first 'hidden' questions as if they didn't know the job."""

    def __init__(self, taken, accepted=False, lasting=False, soon_cancel=SOON, stops=True, hidden=0,
                 away=False):
        self.taken, self.stops, self.hidden, self.away = taken, stops, hidden, away
        self.told, self.canceled = [], False
        step = Step(count=1, cpu=1000, mem=100, run_ms=50000, lasting=lasting)
        facts = JobFacts(JOB, "plain", "p", [step], [0])
        self.soak = Soak(1, CI_SIZE)
        self.soak.plan.holder.close()
        shutil.rmtree(self.soak.folder)
        self.soak.breach = self.soak.callers.breach = self.breach
        self.soak.platform = self.soak.callers.platform = SimpleNamespace(call=self.tell)
        self.soak.callers.lines = SimpleNamespace(call=self.answer)
        self.view = JobView(PlannedJob(0, facts, soon_cancel=soon_cancel), doubtful=not accepted and not away,
                            accepted_at=1 if accepted else 0)
        self.soak.callers.views[JOB] = self.view
        self.broken = set()

    def breach(self, promise, text):
        assert promise != ON or TASK in text, text
        self.broken.add(promise)

    async def answer(self, _, method, *__, **___):
        """What daemons say."""
        if self.away:
            return NOT_SENT, b""
        if not self.taken or self.hidden:
            self.hidden = max(0, self.hidden - 1)
            return 410, b""
        if method == "DELETE":
            self.canceled = True
            return 200, b""
        return 200, json.dumps({"state": "canceled" if self.canceled else "active"}).encode()

    async def tell(self, name, **arguments):
        """What the stand-in says."""
        self.told.append(name)
        runs = self.taken and not (self.canceled and self.stops)
        return {"running": [TASK] if runs else [], "idle_lasting": [], "longest_standstill": [0, ""],
                "verdicts": {JOB: {"done": False, "may_fail": False}}}.get(name)

    def play(self):
        """Returns what was broken, with bounds that suit answers at once."""
        bounds = soak_module.STOPPED_BOUND_S, soak_module.DOUBT_S
        soak_module.STOPPED_BOUND_S, soak_module.DOUBT_S = 1, 1
        asyncio.run(self.soak.calm_end())
        soak_module.STOPPED_BOUND_S, soak_module.DOUBT_S = bounds
        return self.broken


def job_in_doubt_is_found_and_cancelled():
    end = End(taken=True)
    broken = end.play()
    assert broken or end.told.index("accepted") < end.told.index("canceled")
    return set(), broken


def job_in_doubt_is_found_late():
    return set(), End(taken=True, hidden=1).play()


def lasting_job_in_doubt_is_cancelled():
    return set(), End(taken=True, lasting=True, soon_cancel=None).play()


def job_that_was_not_taken_stays_unknown():
    end = End(taken=False)
    broken = end.play()
    assert "accepted" not in end.told and not end.view.accepted_at
    return set(), broken


def cancelled_job_that_runs_on():
    return {ON}, End(taken=True, accepted=True, lasting=True, stops=False).play()


def cancelled_job_in_doubt_that_runs_on():
    return {ON}, End(taken=True, stops=False).play()


def cancel_waits_no_longer_than_hand_ins_go_on():
    """Daemons that can't be reached neither refuse a hand-in nor leave it in doubt."""
    end = End(taken=False, soon_cancel=None, away=True)
    end.view.planned.cancel_after = 0.1
    tries, callers_module.MOST_TRIES = callers_module.MOST_TRIES, 1
    over = asyncio.run(ends_within(end.soak.callers.live_through(end.view), 3))
    callers_module.MOST_TRIES = tries
    return {True}, {over}


async def ends_within(work, bound_s):
    task = asyncio.ensure_future(work)
    await asyncio.wait([task], timeout=bound_s)
    return task.done()


RUNS = [cancel_waits_no_longer_than_hand_ins_go_on,
        job_in_doubt_is_found_and_cancelled, job_in_doubt_is_found_late,
        lasting_job_in_doubt_is_cancelled, job_that_was_not_taken_stays_unknown,
        cancelled_job_that_runs_on, cancelled_job_in_doubt_that_runs_on]


if __name__ == "__main__":
    sys.exit(run_checks(RUNS))
