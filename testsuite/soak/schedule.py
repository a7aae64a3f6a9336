# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The plan of one soak, drawn from its seed: which jobs come when, and which faults."""

import random
from dataclasses import dataclass, field

from . import moments
from .model import QUEUES, RACKS, JobFacts
from .wire import Step
from .workspaces import first_workspaces

FIRST_FAULT_S = 3.0
MOST_STEPS = 3
WORKSPACES = first_workspaces()
LEADER, WRITER = "leader", "writer"
HEARTBEATS_S = 4.5  # An entry lapses after so long without heartbeats.
LASTS_MS = (3000, 12000)  # How long tasks run that are to be there when their worker refuses.
RUNS_ON_MS = (8000, 60000)  # How long tasks run that are to be seen when they outlast their job.


@dataclass
class SoonCancel:
    """A cancel `after` seconds from a moment on: the acceptance, or when a task starts or ends.
    Copies of it go to other daemons, or the same one, at once; numbers of daemons, 0 for any."""
    moment: str
    after: float
    nodes: list


@dataclass
class PlannedJob:
    """A job and what its caller does with it; times count from the soak's begin, 0 means never."""
    at: float
    facts: JobFacts
    cancel_after: float = 0
    again_after: float = 0
    ask_every: float = 0
    soon_cancel: SoonCancel = None


@dataclass
class Fault:
    """One fault; its arguments depend on the kind."""
    at: float
    kind: str
    span: float
    arguments: dict = field(default_factory=dict)

    def __str__(self):
        words = " ".join(f"{key}={value}" for key, value in self.arguments.items())
        return f"{self.at:6.2f} {self.kind} {self.span:.2f} s {words}"


@dataclass
class Size:
    """How large a soak is."""
    daemons: int = 4
    workers: int = 8
    load_s: float = 30
    jobs_per_s: float = 4
    faults_per_s: float = 0.7
    standstill_s: float = 40  # The longest that a job which could run may stand still.
    silences_per_s: float = 0.1
    cancels_per_s: float = 0.6  # Jobs that come beside the others and are cancelled soon.
    routes_per_s: float = 0.4  # Changes of the configuration that add or drop a route.
    restarts_per_s: float = 0  # Workers, single or several, that start again under their ids.
    crashers_per_s: float = 0  # Jobs with tasks that crash their workers.
    resizes_per_s: float = 0  # Workers, single or several, that have less room for a while.
    rekeys_per_s: float = 0  # Changes of keys and bounds; above 0 callers belong to workspaces.
    drains_per_s: float = 0  # Failure domains that the operators drain for a while.
    refusals_per_s: float = 0  # Links that refuse connections, most of them to workers that run on.


class Schedule:
    """Jobs and faults of one seed. What was added later has generators of its own, so that a seed
    goes on to play the jobs and faults that it played before."""

    def __init__(self, seed, size):
        self.seed, self.size = seed, size
        self.random = random.Random(seed)
        silences = self.draw_silences()
        refusals = self.draw_refusals()
        self.faults = self.by_time(self.draw_faults() + silences + self.draw_routes(silences)
                                   + self.draw_restarts() + self.draw_resizes()
                                   + self.draw_rekeys() + self.draw_drains() + refusals)
        self.jobs = self.by_time(self.draw_jobs() + self.draw_cancels() + self.draw_crashers()
                                 + self.draw_long_jobs(refusals))
        self.give_to_workspaces()

    @staticmethod
    def by_time(entries):
        return sorted(entries, key=lambda entry: entry.at)

    def text(self):
        return "".join(f"{fault}\n" for fault in self.faults)

    # Jobs.

    def draw_jobs(self):
        draw = random.Random(self.seed + 1)
        count = int(self.size.load_s * self.size.jobs_per_s)
        jobs = [self.draw_job(draw, draw.uniform(0.5, self.size.load_s)) for _ in range(count)]
        jobs += [self.draw_lasting(draw) for _ in range(2)]
        return sorted(jobs, key=lambda job: job.at)

    @staticmethod
    def draw_id(draw):
        return f"{draw.randrange(1 << 64):016x}"

    def draw_job(self, draw, at):
        queue = draw.choice(QUEUES)
        steps, fails = [], []
        for number in range(draw.randint(1, MOST_STEPS)):
            steps.append(self.draw_step(draw, number, queue.advised))
            fails.append(draw.randint(1, 3) if draw.random() < 0.15 else 0)
        facts = JobFacts(self.draw_id(draw), queue.name, f"spec {draw.random()} \u00fc \"q\"",
                         steps, fails)
        if draw.random() < 0.05:
            facts.repeats, facts.interval_ms = draw.randint(2, 3), draw.randint(300, 3000)
        return PlannedJob(
            at, facts,
            cancel_after=draw.uniform(0.1, 4) if draw.random() < 0.12 else 0,
            again_after=draw.uniform(0.2, 6) if draw.random() < 0.2 else 0,
            ask_every=draw.uniform(0.5, 2) if draw.random() < 0.5 else 0)

    @staticmethod
    def draw_step(draw, number, advised):
        step = Step(draw.randint(1, 5), draw.randint(300, 2500), draw.randint(100, 1000),
                    int(draw.expovariate(1 / 900)) + 50)
        if number and draw.random() < 0.7:
            step.after = [number - 1]
        step.gang = draw.random() < 0.25
        if step.gang:
            step.count = min(step.count, 3)
        step.saves = draw.random() < 0.3
        if step.saves and draw.random() < 0.3:
            step.run_ms += 4000
        if not advised and draw.random() < 0.1:
            step.label = draw.choice(("small", "large"))
        if draw.random() < 0.2:
            step.rack = f"r{draw.randrange(3)}"
        if not step.gang and draw.random() < 0.1:
            step.count, step.per_worker = min(step.count, 2), draw.randint(1, 2)
        return step

    def draw_lasting(self, draw):
        step = Step(draw.randint(1, 3), 500, 200, 1500, lasting=True)
        facts = JobFacts(self.draw_id(draw), "plain", "a service", [step],
                         [draw.randint(0, 2)])
        return PlannedJob(draw.uniform(0.5, self.size.load_s / 2), facts, ask_every=2)

    def draw_cancels(self):
        """Jobs that are cancelled within moments, with tasks that run long enough to be seen."""
        draw = random.Random(f"cancels {self.seed}")
        count = round(self.size.load_s * self.size.cancels_per_s)
        return [self.draw_soon_canceled(draw) for _ in range(count)]

    def draw_soon_canceled(self, draw):
        planned = self.draw_job(draw, draw.uniform(0.5, self.size.load_s))
        planned.cancel_after = planned.again_after = 0
        facts = planned.facts
        facts.repeats = facts.first_due_ms = facts.interval_ms = 0
        for step in facts.steps:
            if draw.random() < 0.6:
                step.run_ms = draw.randint(*RUNS_ON_MS)
        moment = draw.choice(("accepted", "accepted", moments.START, moments.END))
        after = draw.uniform(0.005, 0.6) if moment == "accepted" else draw.choice((0, 0.02, 0.1))
        first = draw.randint(1, self.size.daemons)
        other = draw.randint(1, self.size.daemons)
        nodes = draw.choice(([0], [0], [first, first], [first, other], [first, other, 0]))
        planned.soon_cancel = SoonCancel(moment, after, nodes)
        return planned

    def draw_crashers(self):
        """Jobs of which one task, or some, crash each worker that starts them, sooner or later."""
        draw = random.Random(f"crashers {self.seed}")
        jobs = []
        for _ in range(round(self.size.load_s * self.size.crashers_per_s)):
            planned = self.draw_job(draw, draw.uniform(0.5, self.size.load_s))
            planned.cancel_after = planned.again_after = 0
            facts = planned.facts
            facts.repeats = facts.first_due_ms = facts.interval_ms = 0
            step = draw.randrange(len(facts.steps))
            facts.fails[step] = 0
            facts.steps[step].run_ms = max(facts.steps[step].run_ms, 2500)
            facts.crashers = [0] * len(facts.steps)
            facts.crashers[step] = draw.choice((1, 1, 1, facts.steps[step].count))
            facts.crash_after_s = draw.choice((0, 0, draw.uniform(0, 0.2), draw.uniform(0.2, 2)))
            facts.crash_pause_s = draw.choice((draw.uniform(0.3, 4), draw.uniform(4, 9)))
            jobs.append(planned)
        return jobs

    def draw_long_jobs(self, refusals):
        """Jobs whose first tasks run while connections to their workers are refused."""
        draw = random.Random(f"long jobs {self.seed}")
        jobs = []
        for fault in refusals:
            if fault.kind != "worker_refuse":
                continue
            for _ in range(2):
                planned = self.draw_job(draw, max(0.5, fault.at - draw.uniform(0.2, 2)))
                planned.cancel_after = planned.again_after = 0
                facts = planned.facts
                facts.repeats = facts.first_due_ms = facts.interval_ms = 0
                facts.steps[0].run_ms = draw.randint(*LASTS_MS)
                facts.fails[0] = 0
                jobs.append(planned)
        return jobs

    # Faults.

    def draw_refusals(self):
        """Links refuse connections: to workers that run on while their entries lapse, half of which
        have announced their end; to the store, which may be away; among daemons."""
        draw = random.Random(f"refusals {self.seed}")
        faults = []
        for _ in range(round(self.size.load_s * self.size.refusals_per_s)):
            at, span = draw.uniform(FIRST_FAULT_S, self.size.load_s), draw.uniform(0.5, 7)
            how = draw.choice(("refuse", "refuse", "refuse", "refuse_new"))
            if draw.random() < 0.25:
                service = draw.choice(("peer", "peer_side", "store", "store", ""))
                faults.append(Fault(at, "link", min(span, 3) if service == "" else span,
                                    {"how": how, "service": service,
                                     "node": self.draw_node(draw), "late": False}))
                continue
            outage = draw.uniform(0.5, 3) if draw.random() < 0.2 else 0
            lapses = draw.choice((HEARTBEATS_S, draw.uniform(0.2, 2)))
            faults.append(Fault(at, "worker_refuse", span, {
                "slot": draw.randint(1, self.size.workers), "how": how,
                "node": LEADER if draw.random() < 0.25 else 0,
                "announces": round(draw.uniform(0.5, 5), 2) if draw.random() < 0.5 else 0,
                "stays": round(draw.uniform(2, 10), 2), "lapses": round(lapses, 2),
                "refuses_after": round(max(0, lapses + draw.uniform(-1.5, 1)), 2),
                "heard_after": round(draw.uniform(0, 1.5), 2)}))
            if outage:
                faults.append(Fault(at, "store_away", outage, {"how": "reset"}))
        return faults

    def draw_resizes(self):
        """Workers, one or a third of them, have less room for a while."""
        draw = random.Random(f"resizes {self.seed}")
        faults = []
        for _ in range(round(self.size.load_s * self.size.resizes_per_s)):
            at, span = draw.uniform(1, self.size.load_s), draw.uniform(0.5, 8)
            slots = range(1, self.size.workers + 1)
            count = draw.choice((1, 1, max(1, self.size.workers // 3)))
            faults += [Fault(at, "worker_resize", span,
                             {"slot": slot, "share": round(draw.uniform(0.1, 0.9), 2)})
                       for slot in draw.sample(slots, count)]
        return faults

    def draw_silences(self):
        """Open connections go silent: all, those of one daemon or those to one kind of service."""
        draw = random.Random(f"silences {self.seed}")
        faults = []
        for _ in range(round(self.size.load_s * self.size.silences_per_s)):
            service = draw.choice(("", "", "store", "peer", "worker", "worker"))
            node = self.draw_node(draw)
            if draw.random() < 0.5:
                node = 0
            elif service == "worker":
                node = LEADER  # Others call workers only as its relays.
            arguments = {"service": service, "node": node}
            if service == "worker" and draw.random() < 0.3:
                arguments["number"] = draw.randint(1, self.size.workers)
            at = draw.uniform(FIRST_FAULT_S, self.size.load_s)
            faults.append(Fault(at, "silent_connections", 0, arguments))
            if draw.random() < 0.25:  # Those that were opened since go silent as well.
                again = at + draw.uniform(0.2, 2.5)
                faults.append(Fault(again, "silent_connections", 0, dict(arguments)))
        return faults

    def draw_faults(self):
        draw = self.random
        count = int(self.size.load_s * self.size.faults_per_s)
        makers = [self.node_fault] * 5 + [self.link_fault] * 4 + [self.store_fault] * 4 \
            + [self.worker_fault] * 4 + [self.other_fault]
        faults = []
        while len(faults) < count:
            at = draw.uniform(FIRST_FAULT_S, self.size.load_s)
            made = draw.choice(makers)(draw, at)
            faults.append(made)
            if draw.random() < 0.25:  # The same again, as a series.
                for again in range(1, draw.randint(2, 4)):
                    faults.append(Fault(at + again * draw.uniform(0.3, 2.5), made.kind,
                                        made.span, dict(made.arguments)))
        return sorted(faults, key=lambda fault: fault.at)

    def draw_rekeys(self):
        """Keys that are replaced, and bounds that rise and fall."""
        draw = random.Random(f"rekeys {self.seed}")
        faults = []
        for number in range(round(self.size.load_s * self.size.rekeys_per_s)):
            at, name = draw.uniform(1, self.size.load_s), draw.choice(WORKSPACES).name
            if draw.random() < 0.5:
                faults.append(Fault(at, "rekey", 0, {"workspace": name, "key": f"key{number}"}))
            else:
                cpu = draw.choice((0, draw.randint(6000, 40000)))
                faults.append(Fault(at, "rebound", 0, {"workspace": name, "cpu": cpu}))
        if faults:  # What waits at a bound ends once that is gone.
            faults += [Fault(self.size.load_s + 0.5, "rebound", 0,
                             {"workspace": workspace.name, "cpu": 0}) for workspace in WORKSPACES]
        return faults

    def draw_drains(self):
        """Failure domains are drained: one, several, all, or one that has no workers."""
        draw = random.Random(f"drains {self.seed}")
        domains = [f"r{number}" for number in range(RACKS)]
        choices = [domains[:1], domains[1:2], domains[:2], domains, ["r-without-workers"]]
        return [Fault(draw.uniform(1, self.size.load_s), "domain_drain", draw.uniform(3, 10),
                      {"domains": draw.choice(choices)})
                for _ in range(round(self.size.load_s * self.size.drains_per_s))]

    def give_to_workspaces(self):
        """Half of the jobs are those of the first workspace."""
        if not self.size.rekeys_per_s:
            return
        draw = random.Random(f"workspaces {self.seed}")
        for job in self.jobs:
            name = WORKSPACES[0].name if draw.random() < 0.5 else draw.choice(WORKSPACES).name
            job.facts.workspace = name

    def draw_routes(self, silences):
        """Changes of routes: single ones, some in quick succession, some soon after a silence."""
        draw = random.Random(f"routes {self.seed}")
        times = []
        for _ in range(round(self.size.load_s * self.size.routes_per_s)):
            at, gap = draw.uniform(1, self.size.load_s), draw.uniform(0.05, 0.4)
            times += [at + i * gap for i in range(draw.choice((1, 1, 1, 4)))]
        if self.size.routes_per_s:
            times += [silence.at + draw.uniform(0, 2) for silence in silences
                      if draw.random() < 0.7]
        return [Fault(at, "route_change", 0) for at in times]

    def draw_restarts(self):
        """Workers start again under their ids: one, or a third of them at once."""
        draw = random.Random(f"restarts {self.seed}")
        faults = []
        for _ in range(round(self.size.load_s * self.size.restarts_per_s)):
            at = draw.uniform(1, self.size.load_s)
            span = draw.choice((0.01, draw.uniform(0.05, 0.7), draw.uniform(0.5, 5)))
            slots = range(1, self.size.workers + 1)
            count = draw.choice((1, 1, max(1, self.size.workers // 3)))
            arguments = {"times": draw.choice((1, 1, 1, 2)), "gap_s": draw.uniform(0.05, 2),
                         "kind": draw.choice(("", "", "", "small", "large"))}
            faults += [Fault(at, "worker_restart", span, {"slot": slot, **arguments})
                       for slot in draw.sample(slots, count)]
        return faults

    def draw_node(self, draw):
        lot = draw.random()
        if lot < 0.4:
            return LEADER
        return WRITER if lot < 0.5 else draw.randint(1, self.size.daemons)

    def node_fault(self, draw, at):
        kind = draw.choice(("kill", "kill", "freeze", "freeze", "stop", "stop", "hup",
                            "kill_all", "replace_all", "stop_then_kill"))
        if kind in ("kill_all", "replace_all") and draw.random() < 0.6:
            kind = "kill"
        span = draw.uniform(0.1, 6) if kind in ("freeze",) else draw.uniform(0.05, 3)
        return Fault(at, "node_" + kind, span, {"node": self.draw_node(draw)})

    def link_fault(self, draw, at):
        how = draw.choice(("delay", "reset", "cut_to", "cut_from", "silence"))
        kind = draw.choice(("store", "peer", "peer_side", "worker", "worker", "advice", ""))
        span = 0.02 if how == "reset" and draw.random() < 0.5 else draw.uniform(0.3, 6)
        arguments = {"how": how, "service": kind, "node": self.draw_node(draw),
                     "late": draw.random() < 0.4}
        if how == "delay":
            arguments["delay_s"] = round(draw.choice((0.02, 0.1, 0.4)) * draw.uniform(0.5, 1.5), 3)
        if kind == "worker":
            arguments["number"] = draw.randint(1, self.size.workers)
            if draw.random() < 0.5:
                arguments["node"] = 0  # From all daemons to one worker.
        if kind == "" and how != "delay":
            span = min(span, 3)
        return Fault(at, "link", span, arguments)

    def store_fault(self, draw, at):
        kind = draw.choice(("slow", "away", "lose", "late", "refuse", "refuse", "forget"))
        span = draw.uniform(0.5, 7)
        how = draw.choice(("503", "429", "reset", "silence"))
        if kind == "slow":
            return Fault(at, "store_slow", span, {"factor": draw.choice((5, 20, 60, 96))})
        if kind == "away":
            return Fault(at, "store_away", min(span, 5), {"how": how})
        if kind in ("lose", "late"):
            return Fault(at, "store_" + kind, span, {"share": draw.choice((0.05, 0.2, 0.5))})
        if kind == "refuse":
            node = LEADER if draw.random() < 0.6 else self.draw_node(draw)
            return Fault(at, "store_refuse", span, {"how": how, "node": node})
        return Fault(at, "store_forget", 0)

    def worker_fault(self, draw, at):
        kind = draw.choice(("crash", "crash", "decline", "hang", "fail_all", "leave", "lost"))
        span = draw.uniform(0.2, 5)
        if kind == "fail_all":
            span = min(span, 1.5)
        arguments = {"slot": draw.randint(1, self.size.workers)}
        if kind == "crash" and draw.random() < 0.3:
            arguments["kind"] = draw.choice(("small", "large"))
        return Fault(at, "worker_" + kind, span, arguments)

    @staticmethod
    def other_fault(draw, at):
        return Fault(at, draw.choice(("configure", "node_hup")), 0, {"node": LEADER})


def begin_times(jobs, begin_wall_s):
    """Gives timed jobs their first time, once the soak's begin is known."""
    for job in jobs:
        if job.facts.repeats:
            job.facts.first_due_ms = int((begin_wall_s + job.at) * 1000) + 500
