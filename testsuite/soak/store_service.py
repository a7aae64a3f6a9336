# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The store as daemons meet it: rates, the time of transactions, and troubles."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from . import wire
from .http1 import NoAnswer, ResetConnection
from .store import HistoryLost, within_limits

TX_S = 0.005
PART_BACKLOG_S = 1.0
LONGEST_WAIT_S = 30


@dataclass
class Rates:
    """What all daemons together may call in a second."""
    writes: float = 600
    reads: float = 2000


class Bucket:
    """Counts calls against a rate, with a second's worth of burst."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass
class Trouble:
    """How the store treats calls at present. 'refused' maps daemons to how; 0 means all."""
    slow: float = 1
    refused: dict = field(default_factory=dict)
    lose: float = 0
    late: float = 0
    late_s: float = 4


class StoreService:
    """Answers the calls of daemons."""

    def __init__(self, store, rates, seed, view_of, translate):
        self.store = store
        self.writes, self.reads = Bucket(rates.writes), Bucket(rates.reads)
        self.random = random.Random(seed)
        self.feed_random = random.Random(f"feed {seed}")
        self.view_of, self.translate = view_of, translate
        self.trouble = Trouble()
        self.part_free_at = {}
        self.changed = {}  # table -> an event for those that wait for its next change
        self.last_writer = 0
        self.calls = 0
        self.refusals = 0

    async def handle(self, request):
        path, query = wire.call_of(request)
        view = self.view_of(request.local_ip)
        self.calls += 1
        refused = self.suffer(view)
        if refused:
            return wire.error_answer(refused)
        bucket = self.writes if path == wire.ROWS_WRITE else self.reads
        if not bucket.take():
            self.refusals += 1
            return wire.error_answer(429)
        if path == wire.ROWS_WRITE:
            return await self.transact(wire.write_from(request.body), view)
        await asyncio.sleep(0.001 * self.trouble.slow)
        if path == wire.ROWS_WATCH:
            return await self.feed(wire.watch_from(query), view)
        if self.trouble.lose and self.random.random() < self.trouble.lose:
            raise NoAnswer
        if path == wire.ROWS_READ:
            rows, more = self.store.read(wire.range_from(query))
            return self.answer(200, rows, view, more)
        if path == wire.ROWS_PARTS:
            return wire.parts_answer(self.store.version, self.store.now_ms(),
                                     self.store.part_names(query.get("table", "")))
        return wire.error_answer(404)

    def suffer(self, view):
        """Turns the call away while the trouble says so: returns a status, or raises."""
        how = self.trouble.refused.get(view, self.trouble.refused.get(0))
        if how == "silence":
            raise NoAnswer
        if how == "reset":
            raise ResetConnection
        return int(how) if how else 0

    def answer(self, status, rows, view, more=False):
        rows = [wire.Row(row.name, self.translate(row.value, view), row.version, row.removed)
                for row in rows]
        return wire.rows_answer(status, self.store.version, self.store.now_ms(), rows, more)

    async def transact(self, write, view):
        names = [name for name, _ in write.conditions + write.puts] + write.removes
        part = min((name.part for name in names), default="")
        if len({name.part for name in names}) > 1 or not within_limits(write):
            return wire.error_answer(400)
        span = TX_S * self.trouble.slow
        begin = max(time.monotonic(), self.part_free_at.get(part, 0))
        if begin - time.monotonic() > PART_BACKLOG_S:
            self.refusals += 1
            return wire.error_answer(429)
        self.part_free_at[part] = begin + span
        lost = self.random.random() < self.trouble.lose
        if self.random.random() < self.trouble.late:
            lost = True
            await asyncio.sleep(self.random.uniform(0.5, self.trouble.late_s))
        await asyncio.sleep(max(0, begin + span - time.monotonic()))
        held, rows = self.apply(write)
        if write.conditions and held:
            self.last_writer = view
        if lost:
            raise NoAnswer
        return self.answer(200 if held else 412, rows, view)

    def apply(self, write):
        held, rows = self.store.write(write)
        if held:
            for table in {n.table for n, _ in write.puts} | {n.table for n in write.removes}:
                event = self.changed.pop(table, None)
                if event is not None:
                    event.set()
        return held, rows

    async def feed(self, watch, view):
        end = time.monotonic() + min(watch.wait_ms / 1000, LONGEST_WAIT_S)
        while True:
            try:
                rows = self.store.changes(watch.table, watch.after)
            except HistoryLost:
                return wire.error_answer(410)
            left = end - time.monotonic()
            if rows or left <= 0:
                if self.feed_random.random() < self.trouble.lose:
                    raise NoAnswer
                return self.answer(200, rows, view)
            event = self.changed.setdefault(watch.table, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass
            refused = self.suffer(view)
            if refused:
                return wire.error_answer(refused)
