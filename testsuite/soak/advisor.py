# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The stand-in's advisor: says which workers may run a step of a queue, and gives tickets."""

import asyncio
import time
import zlib

from . import wire
from .model import TaskName

MOST_WAITING = 32
MOST_WORKERS = 100
DENIED_OF_TEN = 3
ALWAYS_ALLOWED = 4  # Every so manieth worker may run everything, so that no step is hopeless.


class Tickets:
    """The tickets that were given; each holds for a step at one life for a while."""

    def __init__(self):
        self.given = {}

    def give(self, step, life, validity_s):
        ticket = f"t{len(self.given)}"
        self.given[ticket] = (step, life, time.monotonic() + validity_s)
        return ticket

    def holds(self, ticket, name, life):
        step, holder, until = self.given.get(ticket, ("", None, 0))
        return (step == f"{name.job}.{name.time}.{name.step}" and holder is life
                and time.monotonic() < until)


class Advisor:
    """Answers each daemon's questions one at a time, in turn."""

    def __init__(self, ledger, workers, tickets, view_of):
        self.ledger, self.workers, self.tickets = ledger, workers, tickets
        self.view_of = view_of
        self.turns = {}
        self.waiting = {}

    @staticmethod
    def allows(step, slot):
        if slot % ALWAYS_ALLOWED == 0:
            return True
        return zlib.crc32(f"{step}/{slot}".encode()) % 10 >= DENIED_OF_TEN

    async def handle(self, request):
        view = self.view_of(request.local_ip)
        if self.waiting.get(view, 0) >= MOST_WAITING:
            return wire.error_answer(429)
        self.waiting[view] = self.waiting.get(view, 0) + 1
        try:
            async with self.turns.setdefault(view, asyncio.Lock()):
                return await self.answer(request)
        finally:
            self.waiting[view] -= 1

    async def answer(self, request):
        step, ids = wire.advice_question(request)
        facts = self.ledger.jobs.get(TaskName.parse(step + ".0").job)
        if facts is None or len(ids) > MOST_WORKERS:
            return wire.error_answer(400)
        queue = facts.queue_of()
        await asyncio.sleep((queue.decision_ms + queue.per_item_ms * len(ids)) / 1000)
        lives = {life.id: life for life in self.workers.lives if life.up}
        return wire.advice_answer(
            (id, self.tickets.give(step, lives[id], queue.validity_ms / 1000)) for id in ids
            if id in lives and self.allows(step, lives[id].slot))
