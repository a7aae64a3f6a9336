# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The daemons of a soak: processes of their own, ended by the ids that were kept."""

import asyncio
import os
import signal
import time

from . import processes
from .ledger import DOMAIN_DRAIN_S

SETTINGS = """[node]
name = node-{number}
log_level = info
[machine]
processor_share = {share}
processor_cores = 1
link_mbps = {link}
[listen]
clients = {ip}:{plan.clients}
readiness = {ip}:{plan.readiness}
peers = {ip}:{plan.peers}
metrics = {ip}:{plan.metrics}
[services]
store = {service_ip}:{plan.proxied_store}
advice = {service_ip}:{plan.proxied_advice}
[workers]
max_hold_ms = 6000
kill_grace_ms = 400
domain_drain_ms = {drain}
"""
STOP_GRACE_S = 5.0
STOP_SLACK_S = 5.0
START_S = 15.0
POLL_S = 0.02
STRENGTHS = (1, 0.5, 0.25, 1)


class Daemon:
    """One daemon over its lives."""

    # What the daemons are told of their links, in megabits a second. With a thin one the leader has the
    # others make its calls to workers; nothing else is done to their traffic.
    link_mbps = 1000

    def __init__(self, number, plan, folder, program, proxies):
        self.number, self.plan, self.folder = number, plan, folder
        self.program, self.proxies = program, proxies
        self.process = None
        self.life = 0
        self.wanted_up = False
        self.started_at = 0.0  # When the present life began.
        self.signalled_at = 0.0  # When the present life was told to end or was killed.
        self.frozen = False
        self.frozen_until = 0.0
        self.own_ends = []

    @property
    def ip(self):
        return self.plan.daemon_ip(self.number)

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def settings_path(self):
        return os.path.join(self.folder, f"node-{self.number}.ini")

    async def start(self):
        if self.running:
            return
        with open(self.settings_path(), "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                number=self.number, ip=self.ip, plan=self.plan,
                drain=round(DOMAIN_DRAIN_S * 1000), share=STRENGTHS[self.number % len(STRENGTHS)], link=self.link_mbps,
                service_ip=self.plan.service_ip(self.number)))
        self.process = processes.start([self.program, "--settings", self.settings_path()],
                                       os.path.join(self.folder, f"node-{self.number}.log"))
        self.life += 1
        self.started_at = time.monotonic()
        self.wanted_up, self.signalled_at, self.frozen = True, 0.0, False
        await self.wait_for_listener()
        if self.running:
            await self.proxies.open("peer", self.number)

    async def wait_for_listener(self):
        end = time.monotonic() + START_S
        while time.monotonic() < end and self.running:
            try:
                _, writer = await asyncio.open_connection(self.ip, self.plan.clients)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(POLL_S)

    def signal(self, number):
        if self.running:
            os.kill(self.process.pid, number)

    async def ended(self):
        while self.running:
            await asyncio.sleep(POLL_S)
        self.proxies.close("peer", self.number)

    async def kill(self):
        self.wanted_up = False
        self.signalled_at = self.signalled_at or time.monotonic()
        self.signal(signal.SIGKILL)
        await self.ended()

    async def stop(self):
        """Ends the daemon in order; returns what was wrong with its end, if anything."""
        if not self.running:
            return ""
        process = self.process
        self.wanted_up = False
        self.signalled_at = time.monotonic()
        self.signal(signal.SIGTERM)
        while self.running and self.process is process:
            if time.monotonic() - self.signalled_at > STOP_GRACE_S + STOP_SLACK_S \
                    + self.frozen_span(self.signalled_at):
                await self.kill()
                return f"node-{self.number} did not end after SIGTERM"
            await asyncio.sleep(POLL_S)
        self.proxies.close("peer", self.number)
        if process.returncode not in (0, -signal.SIGKILL):
            return f"node-{self.number} ended with {process.returncode} after SIGTERM"
        return ""

    def frozen_span(self, since):
        if self.frozen:
            return 1e9
        return max(0.0, self.frozen_until - since)

    def freeze(self):
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        if self.frozen:
            self.frozen, self.frozen_until = False, time.monotonic()
            self.signal(signal.SIGCONT)

    def check_alive(self):
        """Returns a line when the daemon has ended by itself."""
        if self.wanted_up and self.process is not None and self.process.poll() is not None:
            self.wanted_up = False
            self.proxies.close("peer", self.number)
            return f"node-{self.number} ended by itself with {self.process.returncode}"
        return ""

    def end(self):
        """Ends the process whatever it does; for the end of a soak."""
        if self.running:
            self.signal(signal.SIGKILL)
            self.process.wait()
