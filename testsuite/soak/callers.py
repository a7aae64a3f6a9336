# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Callers: they hand in jobs on open connections, ask, cancel and hand in again, and check what
they are told."""

import asyncio
import random
import time
from dataclasses import dataclass

from . import wire
from .http1 import Client, ConnectionLost
from .model import HOST, QUEUES
from .workspaces import APART, OVER_BOUND, UNAUTHORIZED, KeyBook

CALL_LIMIT_S = 4.0
# A call that no answer ends so long after its time limit, its daemon awake, is a breach.
ANSWER_BOUND_S = 12.0
DEATH_BOUND_S = 3.0
VISIBLE_S = 3.0
RETRY_S = 0.4
MOST_TRIES = 14
MOST_REFUSALS = 5
GONE_WATCH_S, GONE_POLL_S = 6.0, 0.4  # So long and so often a gone key is tried.
MOMENT_S = 8.0  # So long a caller waits for the start or end at which it wants to cancel.
FINAL = ("completed", "failed", "canceled")
UNANSWERED = 0  # The status of a call without an answer.
NOT_SENT = -1  # The status of a call whose connection was refused.


@dataclass
class JobView:
    """What callers know of one job."""
    planned: object
    accepted_at: float = 0
    doubtful: bool = False
    refusals: int = 0
    given_up: bool = False  # No more hand-ins come.
    cancel_sent: bool = False
    canceled_at: float = 0
    final: str = ""


class Lines:
    """The open connections of callers to the daemons; one may carry one call at a time."""

    def __init__(self, daemons, plan, breach, keys):
        self.daemons, self.plan, self.breach, self.keys = daemons, plan, breach, keys
        self.in_touch_since = lambda daemon: float("inf")  # Set by who knows of the faults.
        self.idle = {daemon.number: [] for daemon in daemons}
        self.requests = {}  # status -> count
        self.background = set()
        self.ended_calls = 0  # Calls that came to an end as they should.

    async def call(self, daemon, method, path, body=b"", key=""):
        """Returns (status, body). A call that outlasts its limit is watched on in the
        background, on its connection."""
        client = self.line_to(daemon)
        life, sent = daemon.life, time.monotonic()
        since = self.in_touch_since(daemon)
        task = asyncio.ensure_future(self.exchange(daemon, client, method, path, body, key))
        done, _ = await asyncio.wait([task], timeout=CALL_LIMIT_S + 0.5)
        if not done:
            self.background.add(task)
            task.add_done_callback(self.background.discard)
            status, answer = UNANSWERED, b""
        else:
            status, answer = task.result()
            if daemon.life == life and status > 0:
                since = max(since, self.in_touch_since(daemon))
                self.keys.judge(key, status, sent, since,
                                f"{method} {path} at node-{daemon.number}")
        self.requests[status] = self.requests.get(status, 0) + 1
        return status, answer

    def line_to(self, daemon):
        """Returns an open connection to the present process, or one that is still to be opened."""
        lines = self.idle[daemon.number]
        while lines:
            client = lines.pop()
            if client.life == daemon.life and not client.reader.at_eof():
                return client
            client.close()  # Its process has ended, or it was idle for long.
        client = Client(daemon.ip, self.plan.clients)
        client.life = daemon.life
        return client

    async def exchange(self, daemon, client, method, path, body, key):
        life, began = client.life, time.monotonic()
        headers = {"Host": HOST, wire.DEADLINE_HEADER: str(int(CALL_LIMIT_S * 1000)),
                   "Content-Type": "application/json"}
        if key:
            headers[wire.KEY_HEADER] = key
        fresh = client.writer is None
        task = asyncio.ensure_future(client.call(method, path, headers, body, timeout=1e6))
        awake = 0.0
        while True:
            done, _ = await asyncio.wait([task], timeout=0.25)
            if done:
                break
            awake = 0.0 if daemon.frozen else awake + 0.25
            if awake > CALL_LIMIT_S + ANSWER_BOUND_S:
                self.breach("calls get an answer",
                            f"{method} {path} at node-{daemon.number} unanswered for "
                            f"{time.monotonic() - began:.0f} s")
                task.cancel()
                client.close()
                return UNANSWERED, b""
        error = task.exception()
        self.ended_calls += 1
        if error is None:
            answer = task.result()
            if client.writer is not None:
                self.idle[daemon.number].append(client)
            return answer.status, answer.body
        if isinstance(error, OSError) and fresh and client.writer is None:
            return NOT_SENT, b""
        if not isinstance(error, (ConnectionLost, OSError)):
            raise error
        await self.check_death(daemon, life, f"{method} {path}")
        return UNANSWERED, b""

    async def check_death(self, daemon, life, what):
        """A connection closes without an answer only because the process ends."""
        end = time.monotonic() + DEATH_BOUND_S
        while time.monotonic() < end:
            if daemon.life != life or not daemon.running or daemon.signalled_at:
                return
            await asyncio.sleep(0.05)
        self.breach("calls get an answer",
                    f"{what}: node-{daemon.number} closed the connection and lives on")


class Callers:
    """All callers of a soak."""

    def __init__(self, daemons, plan, platform, breach, seed):
        self.daemons, self.platform, self.breach = daemons, platform, breach
        self.keys = KeyBook(self.check, seed)
        self.lines = Lines(daemons, plan, breach, self.keys)
        self.random = random.Random(seed + 2)
        self.views = {}
        self.checked = {}

    def check(self, promise, holds, text):
        self.checked[promise] = self.checked.get(promise, 0) + 1
        if not holds:
            self.breach(promise, text)

    def any_daemon(self):
        return self.random.choice(self.daemons)

    def path(self, view):
        facts = view.planned.facts
        return facts.queue_of().prefix + facts.id

    async def run(self, jobs, begin):
        """Hands in all jobs at their times and lives through them."""
        tasks = []
        for planned in jobs:
            await asyncio.sleep(max(0, begin + planned.at - time.monotonic()))
            view = self.views[planned.facts.id] = JobView(planned)
            tasks.append(asyncio.ensure_future(self.live_through(view)))
        for task in tasks:
            await task

    async def live_through(self, view):
        planned = view.planned
        await self.platform.call("describe", jobs=[planned.facts.encode()])
        follow_ups = []
        if planned.cancel_after:
            follow_ups.append(self.cancel(view, planned.cancel_after))
        await asyncio.gather(self.submit(view), *follow_ups)
        follow_ups = []
        if planned.soon_cancel and view.accepted_at:
            follow_ups.append(self.cancel_soon(view))
        if planned.again_after and view.accepted_at:
            follow_ups.append(self.submit_again(view))
        if planned.ask_every and view.accepted_at:
            follow_ups.append(self.ask_at_times(view))
        await asyncio.gather(*follow_ups)

    def key(self, view):
        return self.keys.key_of(view.planned.facts.workspace)

    def body(self, view):
        facts = view.planned.facts
        return wire.job_body(facts.payload, facts.steps, facts.repeats, facts.first_due_ms,
                             facts.interval_ms)

    async def submit(self, view):
        body = self.body(view)
        for _ in range(MOST_TRIES):
            if view.refusals >= MOST_REFUSALS and not view.doubtful:
                break
            daemon = self.any_daemon()
            status, _ = await self.lines.call(daemon, "POST", self.path(view), body,
                                              self.key(view))
            if 200 <= status < 300:
                view.accepted_at = time.monotonic()
                await self.platform.call("accepted", job=view.planned.facts.id,
                                         node=daemon.number)
                return
            if status in (429, 503, UNAUTHORIZED):
                view.refusals += 1
            elif status == OVER_BOUND:
                view.refusals = MOST_REFUSALS
            elif status != NOT_SENT:
                view.doubtful = True
            self.check("queues are known", status not in (400, 404),
                       f"POST {self.path(view)} at node-{daemon.number}: {status}")
            await asyncio.sleep(RETRY_S * self.random.uniform(0.5, 2.5))
        view.given_up = True
        if not view.doubtful:
            await self.platform.call("refused", job=view.planned.facts.id)

    async def submit_again(self, view):
        """The same id comes again after its 2xx."""
        await asyncio.sleep(view.planned.again_after)
        await self.lines.call(self.any_daemon(), "POST", self.path(view), self.body(view),
                              self.key(view))

    async def cancel(self, view, delay):
        await asyncio.sleep(delay)
        while not view.accepted_at:
            await asyncio.sleep(0.1)
            if view.given_up:
                return
        await self.cancel_now(view)

    async def cancel_soon(self, view):
        """Cancels at the planned moment, also more than once."""
        planned = view.planned.soon_cancel
        if planned.moment != "accepted":
            await self.platform.call("moment", job=view.planned.facts.id, event=planned.moment,
                                     bound_s=MOMENT_S)
        await asyncio.sleep(planned.after)
        await asyncio.gather(*[self.cancel_now(view, node) for node in planned.nodes])

    async def cancel_now(self, view, node=0):
        """Cancels until it is acknowledged, the first time at a certain daemon, if one is named."""
        daemon = self.daemons[node - 1] if node else self.any_daemon()
        for _ in range(MOST_TRIES):
            view.cancel_sent = True
            status, _ = await self.lines.call(daemon, "DELETE", self.path(view),
                                              key=self.key(view))
            if 200 <= status < 300:
                now = time.monotonic()
                view.canceled_at = view.canceled_at or now
                await self.platform.call("canceled", job=view.planned.facts.id, at=now)
                return
            if status == 410:
                self.check("accepted jobs are known",
                           time.monotonic() - view.accepted_at < VISIBLE_S or view.final,
                           f"DELETE {self.path(view)}: 410")
            await asyncio.sleep(RETRY_S)
            daemon = self.any_daemon()

    async def ask_at_times(self, view):
        for _ in range(6):
            await asyncio.sleep(view.planned.ask_every)
            if self.keys.in_use:
                await self.pry(view)
            if await self.ask(view) in FINAL:
                return

    async def pry(self, view):
        """Asks for the job, or cancels it, with a key that isn't one of its workspace's."""
        daemon, method = self.any_daemon(), self.random.choice(("GET", "DELETE"))
        key = self.keys.wrong_key(view.planned.facts.workspace)
        status, _ = await self.lines.call(daemon, method, self.path(view), key=key)
        held = self.keys.keys.get(key)
        foreign = held is None or held.workspace != view.planned.facts.workspace
        if foreign:
            self.check(APART, status != 200,
                       f"{method} {self.path(view)} at node-{daemon.number}: {status} to another")
        elif status == 200 and method == "DELETE":
            view.cancel_sent = True  # Its own key, which had just gone.

    async def call_with_gone(self, key):
        """Calls each daemon again and again with a key that has just gone."""
        async def call_one(daemon):
            end = time.monotonic() + GONE_WATCH_S
            while time.monotonic() < end:
                await self.lines.call(daemon, "GET", QUEUES[0].prefix, key=key)
                await asyncio.sleep(GONE_POLL_S)
        await asyncio.gather(*[call_one(daemon) for daemon in self.daemons])

    async def ask(self, view):
        """Asks for a job's state at any daemon; returns it, empty if there was no answer."""
        daemon = self.any_daemon()
        asked = time.monotonic()
        status, body = await self.lines.call(daemon, "GET", self.path(view), key=self.key(view))
        where = f"{self.path(view)} at node-{daemon.number}"
        if status == 410:
            self.check("accepted jobs are known",
                       not view.accepted_at or asked - view.accepted_at < VISIBLE_S,
                       f"GET {where}: 410")
        if status != 200:
            return ""
        state = wire.state_from(body)
        await self.check_state(view, state, where)
        return state

    async def check_state(self, view, state, where):
        job = view.planned.facts.id
        self.check("final states stay", view.final in ("", state),
                   f"{where}: {state} after {view.final}")
        if state not in FINAL:
            return
        view.final = view.final or state
        verdict = (await self.platform.call("verdicts", jobs=[job]))[job]
        if state == "completed":
            self.check("completed only when done", verdict["done"], f"{where} is not done")
        elif state == "failed":
            self.check("failed only with cause", verdict["may_fail"], f"{where} had no cause")
        else:
            self.check("canceled only when asked", view.cancel_sent, f"{where} was not asked")

    # The end of a soak.

    def open_jobs(self):
        """Accepted jobs whose end is not known yet, but for those that last."""
        return [view for view in self.views.values() if view.accepted_at and not view.final
                and not (view.planned.facts.lasting and not view.canceled_at)]

    async def await_ends(self, bound_s):
        """Asks for all accepted jobs until they have ended or the bound is over."""
        end = time.monotonic() + bound_s
        while self.open_jobs() and time.monotonic() < end:
            await asyncio.gather(*[self.ask(view) for view in self.open_jobs()[:200]])
            await asyncio.sleep(0.5)
        for view in self.views.values():
            if view.accepted_at and not view.planned.facts.lasting:
                self.check("accepted jobs end", view.final != "",
                           f"{self.path(view)} has not ended {bound_s:.0f} s after the faults")

    def in_doubt(self):
        """Jobs that may have been taken, though none of their hand-ins was acknowledged."""
        return [view for view in self.views.values() if view.doubtful and not view.accepted_at]

    async def settle_doubts(self, bound_s):
        """Asks for the jobs in doubt until they are known or the bound is over. One that is known
        counts as accepted from then on, and is cancelled if that was planned."""
        end = time.monotonic() + bound_s
        while (views := self.in_doubt()) and time.monotonic() < end:
            await asyncio.gather(*[self.settle_doubt(view) for view in views])
            await asyncio.sleep(0.5)

    async def settle_doubt(self, view):
        if not await self.ask(view):
            return
        view.accepted_at = time.monotonic()
        await self.platform.call("accepted", job=view.planned.facts.id, node=0)
        if (view.planned.soon_cancel or view.planned.cancel_after) and not view.final:
            await self.cancel_in_calm(view)

    async def cancel_again(self):
        """Cancels the jobs whose cancels got no 2xx while there were faults."""
        for view in self.open_jobs():
            if view.cancel_sent and not view.canceled_at:
                await self.cancel_in_calm(view)

    async def cancel_lasting(self):
        """Cancels the jobs that last, which are to have no task left soon after."""
        for view in self.views.values():
            if view.accepted_at and view.planned.facts.lasting:
                await self.cancel_in_calm(view)

    async def cancel_in_calm(self, view):
        await self.cancel_now(view)
        self.check("cancels are acknowledged", view.canceled_at > 0,
                   f"DELETE {self.path(view)} without success in a calm time")
