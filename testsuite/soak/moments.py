# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Lets callers wait for the moment when a task of a job starts or ends at a worker."""

import asyncio

START, END = "start", "end"


class Moments:
    """Who waits for what."""

    def __init__(self):
        self.waiting = {}  # (job, event) -> the futures

    def happened(self, job, event):
        for waiter in self.waiting.pop((job, event), ()):
            if not waiter.done():
                waiter.set_result(True)

    async def wait_for(self, job, event, bound_s):
        """Returns whether the event came within the bound."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.setdefault((job, event), []).append(waiter)
        done, _ = await asyncio.wait([waiter], timeout=bound_s)
        return bool(done)
