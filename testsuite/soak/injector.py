# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Brings about the faults of a schedule, each at its time, also several at once."""

import asyncio
import signal
import time

from .proxy import LinkTrouble
from .schedule import LEADER, WRITER

LIST_PATIENCE_S = 4.5


class Injector:
    """Applies faults to daemons, links, store and workers, and takes them back."""

    def __init__(self, daemons, proxies, platform, breach, begin, routes):
        self.daemons = {daemon.number: daemon for daemon in daemons}
        self.proxies, self.platform, self.breach, self.begin = proxies, platform, breach, begin
        self.routes = routes
        self.store_troubles = []
        self.busy_slots = set()
        self.busy_nodes = set()
        self.counts = {}

    async def run(self, faults):
        await asyncio.gather(*[self.bring_about(fault) for fault in faults])

    async def bring_about(self, fault):
        await asyncio.sleep(max(0, self.begin + fault.at - time.monotonic()))
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        node = await self.node_of(fault.arguments.get("node"))
        await self.platform.call("fault", kind=fault.kind, text=f"{fault} (node {node})")
        self.routes.calm.begins(fault.kind)
        await getattr(self, fault.kind)(fault, node)
        self.routes.calm.ends(fault.kind)
        await self.platform.call("fault_over", kind=fault.kind,
                                 text=f"{fault.kind} of {fault.at:.2f}")

    async def node_of(self, name):
        """Returns the number of the daemon that a fault names."""
        if name not in (LEADER, WRITER):
            return name
        status = await self.platform.call("status")
        found = status["leader" if name == LEADER else "writer"]
        return found if found in self.daemons else 1

    # Daemons.

    async def node_kill(self, fault, node):
        daemon = self.daemons[node]
        if node in self.busy_nodes:
            await daemon.kill()  # Another fault starts it again.
            return
        self.busy_nodes.add(node)
        try:
            await daemon.kill()
            await asyncio.sleep(fault.span)
            await daemon.start()
        finally:
            self.busy_nodes.discard(node)

    async def node_stop(self, fault, node):
        if node in self.busy_nodes:
            return
        self.busy_nodes.add(node)
        try:
            problem = await self.daemons[node].stop()
            if problem:
                self.breach("daemons end when told", problem)
            await asyncio.sleep(min(fault.span, 0.5))
            await self.daemons[node].start()
        finally:
            self.busy_nodes.discard(node)

    async def node_stop_then_kill(self, fault, node):
        stop = asyncio.ensure_future(self.node_stop(fault, node))
        await asyncio.sleep(fault.span)
        if self.daemons[node].signalled_at:
            await self.daemons[node].kill()
        await stop

    async def node_freeze(self, fault, node):
        daemon = self.daemons[node]
        daemon.freeze()
        await asyncio.sleep(fault.span)
        daemon.thaw()

    async def node_hup(self, _, node):
        self.daemons[node].signal(signal.SIGHUP)

    async def node_kill_all(self, fault, _):
        await asyncio.gather(*[self.node_kill(fault, number) for number in self.daemons])

    async def node_replace_all(self, fault, _):
        """All daemons are stopped in order, one after another, two at a time at last."""
        numbers = list(self.daemons)
        for number in numbers[:2]:
            await self.node_stop(fault, number)
        await asyncio.gather(*[self.node_stop(fault, number) for number in numbers[2:4]])

    # Links.

    async def link(self, fault, node):
        known = fault.arguments
        service = known["service"]
        trouble = LinkTrouble(known["how"], node, service, known.get("number", 0),
                              known.get("delay_s", 0), known["late"])
        if service == "peer_side":
            trouble = LinkTrouble(known["how"], delay_s=known.get("delay_s", 0),
                                  late=known["late"], peer_side=node)
        await self.with_link(trouble, fault.span)

    async def with_link(self, trouble, span):
        await self.proxies.add(trouble)
        await asyncio.sleep(span)
        await self.proxies.remove(trouble)

    async def silent_connections(self, fault, node):
        known = fault.arguments
        trouble = LinkTrouble("silence", node, known["service"], known.get("number", 0))
        count = self.proxies.silence_open_connections(trouble)
        await self.platform.call("silence", text=f"{fault} (node {node}, {count} connections)")

    # The store.

    async def with_store(self, fault, **trouble):
        self.store_troubles.append(trouble)
        await self.tell_store()
        await asyncio.sleep(fault.span)
        self.store_troubles.remove(trouble)
        await self.tell_store()

    async def tell_store(self):
        """Tells the store the worst of all troubles at present."""
        together = {"slow": 1, "lose": 0, "late": 0, "refused": {}}
        for trouble in self.store_troubles:
            for key, value in trouble.items():
                if key == "refused":
                    together["refused"].update(value)
                else:
                    together[key] = max(together[key], value)
        await self.platform.call("trouble", **together)

    async def store_slow(self, fault, _):
        await self.with_store(fault, slow=fault.arguments["factor"])

    async def store_away(self, fault, _):
        await self.with_store(fault, refused={0: fault.arguments["how"]})

    async def store_lose(self, fault, _):
        await self.with_store(fault, lose=fault.arguments["share"])

    async def store_late(self, fault, _):
        await self.with_store(fault, late=fault.arguments["share"])

    async def store_refuse(self, fault, node):
        await self.with_store(fault, refused={node: fault.arguments["how"]})

    async def store_forget(self, *_):
        await self.platform.call("forget_history")

    async def configure(self, *_):
        await self.platform.call("configure")

    async def route_change(self, *_):
        await self.routes.change()

    async def rekey(self, fault, _):
        """A workspace gets a key in place of another one."""
        keys, new_key = self.routes.callers.keys, fault.arguments["key"]
        oldest = keys.rotate(fault.arguments["workspace"], new_key)
        done = await self.write_workspaces()
        keys.rotated(oldest, new_key, done["at"])
        await self.routes.callers.call_with_gone(oldest)

    async def rebound(self, fault, _):
        """The bound of a workspace rises or falls."""
        for workspace in self.routes.callers.keys.workspaces:
            if workspace.name == fault.arguments["workspace"]:
                workspace.cpu_bound = fault.arguments["cpu"]
        await self.write_workspaces()

    async def domain_drain(self, fault, _):
        """The operators drain failure domains for a while."""
        for domain in fault.arguments["domains"]:
            await self.platform.call("drain_domain", domain=domain, drained=True)
        await asyncio.sleep(fault.span)
        for domain in fault.arguments["domains"]:
            await self.platform.call("drain_domain", domain=domain, drained=False)

    async def write_workspaces(self):
        entries = [entry.entry() for entry in self.routes.callers.keys.workspaces]
        return await self.platform.call("workspaces", entries=entries)

    # Workers.

    async def with_slot(self, fault, work):
        slot = fault.arguments["slot"]
        if slot in self.busy_slots:
            return
        self.busy_slots.add(slot)
        try:
            await work(slot)
        finally:
            self.busy_slots.discard(slot)

    async def worker_crash(self, fault, _):
        async def work(slot):
            self.proxies.close("worker", slot)
            await self.platform.call("worker_down", slot=slot)
            await asyncio.sleep(fault.span)
            await self.platform.call("worker_up", slot=slot,
                                     kind=fault.arguments.get("kind", ""))
            await self.proxies.open("worker", slot)
        await self.with_slot(fault, work)

    async def worker_restart(self, fault, _):
        """The worker starts again under its id, once or several times in a row."""
        async def work(slot):
            for _ in range(fault.arguments["times"]):
                self.proxies.close("worker", slot)
                await self.platform.call("worker_down", slot=slot)
                await asyncio.sleep(fault.span)
                await self.platform.call("worker_up", slot=slot, same_id=True,
                                         kind=fault.arguments["kind"])
                await self.proxies.open("worker", slot)
                await asyncio.sleep(fault.arguments["gap_s"])
        await self.with_slot(fault, work)

    async def worker_lost(self, fault, _):
        """The worker's machine is silent for good; another takes its address much later."""
        async def work(slot):
            trouble = LinkTrouble("silence", kind="worker", number=slot)
            await self.proxies.add(trouble)
            await self.platform.call("worker_down", slot=slot)
            await asyncio.sleep(LIST_PATIENCE_S + fault.span)
            await self.proxies.remove(trouble)
            await self.platform.call("worker_up", slot=slot)
        await self.with_slot(fault, work)

    async def worker_leave(self, fault, _):
        async def work(slot):
            span = 2 + fault.span
            await self.platform.call("worker_drain", slot=slot, span_s=span)
            await asyncio.sleep(span)
            await self.replace(slot)
        await self.with_slot(fault, work)

    async def replace(self, slot):
        """The worker at a slot ends, and another one takes its place."""
        self.proxies.close("worker", slot)
        await self.platform.call("worker_down", slot=slot)
        await asyncio.sleep(1)
        await self.platform.call("worker_up", slot=slot)
        await self.proxies.open("worker", slot)

    async def worker_refuse(self, fault, node):
        """Connections to a worker are refused while it runs on and its entry lapses. It may have
        announced its end, and then ends later than it said."""
        known = fault.arguments

        async def refuse(slot):
            await asyncio.sleep(known["refuses_after"])
            await self.with_link(LinkTrouble(known["how"], node, "worker", slot), fault.span)
            await asyncio.sleep(known["heard_after"])
            await self.platform.call("worker_heard", slot=slot)

        async def work(slot):
            if known["announces"]:
                await self.platform.call("worker_drain", slot=slot, span_s=known["announces"])
            await self.platform.call("worker_unheard", slot=slot, lapses_s=known["lapses"])
            await asyncio.gather(refuse(slot), asyncio.sleep(known["announces"] + known["stays"]))
            if known["announces"]:
                await self.replace(slot)
        await self.with_slot(fault, work)

    async def trouble_at_worker(self, fault, name):
        slot = fault.arguments["slot"]
        await self.platform.call("worker_trouble", slot=slot, **{name: True})
        await asyncio.sleep(fault.span)
        await self.platform.call("worker_trouble", slot=slot, **{name: False})

    async def worker_resize(self, fault, _):
        """The worker has less room for a while."""
        slot = fault.arguments["slot"]
        await self.platform.call("worker_resize", slot=slot, share=fault.arguments["share"])
        await asyncio.sleep(fault.span)
        await self.platform.call("worker_resize", slot=slot, share=1)

    async def worker_decline(self, fault, _):
        await self.trouble_at_worker(fault, "decline")

    async def worker_hang(self, fault, _):
        await self.trouble_at_worker(fault, "hang")

    async def worker_fail_all(self, fault, _):
        await self.trouble_at_worker(fault, "fail_all")
