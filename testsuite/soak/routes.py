# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Routes that are added and dropped while a soak runs: by when each daemon goes by a change of the
configuration, and whether a life of it goes back to an older one. Each route is added once and
dropped at most once, so that an answer on it tells which versions the daemon may go by."""

import asyncio
import time
from dataclasses import dataclass, field

APPLY_S = 2.0  # A change is in force everywhere so long after the store has taken it.
BACK_S = 0.25  # A life may go back for so long after it showed a change, eight times that when slowed.
SLOWED = 8
POLL_S = 0.1  # Between two calls on a route soon after a change of it, with up to FEW_DAEMONS.
FEW_DAEMONS = 8
REST_S = 0.5  # Between two calls on a route whose change is long in force.
WATCH_S = 4.0  # So long after a change the calls come close together.
STALL_S = 0.25  # A tick of the driver that comes so late tells that the machine stood still.
LIVE_ROUTES = 2
IN_TIME, STAYS = "a configuration is in force in time", "a configuration never goes back"


@dataclass
class Route:
    """A route, with the versions that added and dropped it and when the store had taken them."""
    name: str
    added: int
    added_at: float
    drop_begun: bool = False
    dropped: int = 0  # 0 while it is not.
    dropped_at: float = 0

    @property
    def path(self):
        return f"/{self.name}/"


@dataclass
class Seen:
    """One answer on a route."""
    route: Route
    node: int
    life: int
    sent: float
    status: int
    in_touch_since: float  # Of the daemon; infinite within a trouble.
    drop_begun: bool  # When the answer came.
    at: float = 0


@dataclass
class RouteBook:
    """Judges answers. No input or output."""
    check: object  # A function of promise, whether it holds, and a text.
    shown: dict = field(default_factory=dict)  # (node, life) -> [(version, when it was shown)]
    first_served: dict = field(default_factory=dict)  # (route, node) -> seconds after it was added

    def note(self, seen):
        if seen.status not in (200, 404):
            return
        route, served = seen.route, seen.status == 200
        if served:
            self.first_served.setdefault((route.name, seen.node), seen.at - route.added_at)
        self.check_in_time(seen, served)
        self.check_stays(seen, served)
        self.remember(seen, served)

    @staticmethod
    def where(seen):
        return (f"GET {seen.route.path} at node-{seen.node}: {seen.status}, sent "
                f"{seen.sent - seen.route.added_at:.2f} s after it was added"
                + (f", {seen.sent - seen.route.dropped_at:.2f} s after it was dropped"
                   if seen.route.dropped else "")
                + f", in touch for {seen.sent - seen.in_touch_since:.2f} s")

    def check_in_time(self, seen, served):
        route = seen.route
        if seen.sent <= seen.in_touch_since:
            return
        if seen.sent > route.added_at + APPLY_S and not seen.drop_begun:
            self.check(IN_TIME, served, f"refused though added: {self.where(seen)}")
        if route.dropped and seen.sent > route.dropped_at + APPLY_S:
            self.check(IN_TIME, not served, f"served though dropped: {self.where(seen)}")

    def check_stays(self, seen, served):
        route = seen.route
        slowed = seen.sent <= seen.in_touch_since
        latest = seen.sent - BACK_S * (SLOWED if slowed else 1)
        floor = max((version for version, at in self.shown.get((seen.node, seen.life), ())
                     if at < latest), default=0)
        if floor >= route.added and not seen.drop_begun:
            self.check(STAYS, served, f"refused after version {floor}: {self.where(seen)}")
        if route.dropped and floor >= route.dropped:
            self.check(STAYS, not served, f"served after version {floor}: {self.where(seen)}")

    def remember(self, seen, served):
        """An answer shows the version that added a route, or, once that was shown, the one that
        dropped it."""
        versions = self.shown.setdefault((seen.node, seen.life), [])
        known = max((version for version, _ in versions), default=0)
        version = seen.route.added if served else seen.route.dropped
        if not served and known < seen.route.added:
            return
        if version > known:
            versions.append((version, seen.at))


class RouteCallers:
    """Adds and drops routes, and calls each daemon on them."""

    def __init__(self, callers, platform, calm):
        self.callers, self.platform, self.calm = callers, platform, calm
        self.book = RouteBook(callers.check)
        self.poll_s = POLL_S * max(1, len(callers.daemons) / FEW_DAEMONS)
        self.routes = []
        self.tasks = []
        self.ended = False

    async def change(self):
        """Adds a route, and drops the oldest one when there are enough."""
        live = [route for route in self.routes if not route.drop_begun]
        drop = live[0] if len(live) >= LIVE_ROUTES else None
        name = f"route{len(self.routes)}"
        route = Route(name, 0, 0)
        self.routes.append(route)
        if drop is not None:
            drop.drop_begun = True
        done = await self.platform.call("configure", add=[name], drop=[drop.name] if drop else [])
        route.added, route.added_at = done["version"], done["at"]
        if drop is not None:
            drop.dropped, drop.dropped_at = done["version"], done["at"]
        self.tasks += [asyncio.ensure_future(self.call_on(route, daemon))
                       for daemon in self.callers.daemons]

    async def call_on(self, route, daemon):
        while not self.ended:
            await self.call(route, daemon)
            last = max(route.added_at, route.dropped_at)
            fresh = time.monotonic() - last < WATCH_S
            if route.dropped and not fresh:
                return
            await asyncio.sleep(self.poll_s if fresh else max(REST_S, self.poll_s))

    async def call(self, route, daemon):
        life, sent = daemon.life, time.monotonic()
        since = max(self.calm.since(), daemon.started_at + self.calm.contact_s)
        keys = self.callers.keys
        key = keys.key_of(keys.workspaces[0].name) if keys.in_use else ""
        status, _ = await self.callers.lines.call(daemon, "GET", route.path, key=key)
        if daemon.life != life:
            return
        # What has struck the daemon before it answered counts as well.
        since = max(since, self.calm.since())
        self.book.note(Seen(route, daemon.number, life, sent, status, since, route.drop_begun,
                            time.monotonic()))

    async def watch_for_stalls(self):
        """A machine that stands still for a moment slows all daemons."""
        while not self.ended:
            due = time.monotonic() + POLL_S
            await asyncio.sleep(POLL_S)
            if time.monotonic() - due > STALL_S:
                self.calm.begins("stall")
                self.calm.ends("stall")

    async def end(self):
        self.ended = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
