# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""How the soak's driver speaks to its stand-in: calls of its own, beside the users' wire."""

import json

from .http1 import Answer, Client

TIMEOUT_S = 20


def answer(value):
    return Answer(200, json.dumps(value).encode())


class PlatformClient:
    """The driver's side."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.idle = []

    async def call(self, name, **arguments):
        """Calls one command of the stand-in and returns what it answers."""
        client = self.idle.pop() if self.idle else Client(self.host, self.port)
        done = await client.call("POST", "/" + name, {}, json.dumps(arguments).encode(), TIMEOUT_S)
        self.idle.append(client)
        if done.status != 200:
            raise RuntimeError(f"stand-in: {name}: {done.status} {done.body!r}")
        return json.loads(done.body)
