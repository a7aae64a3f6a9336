# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts a whole cell on loopback: stand-ins for the platform and boxes, and nodes."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("PATHPORT_BIN", os.path.join(ROOT, "build", "bin"))
KEY = "demo-operators-key"

NODE_INI = """
[node]
id = {name}
region = {region}
failure_domain = {domain}
log_level = info
[listen]
callers = 127.0.0.1:{callers}
operators = 127.0.0.1:{operators}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[platform]
table = 127.0.0.1:{table}
objects = 127.0.0.1:{objects}
box_list = 127.0.0.1:{box_list}
[operators]
key = {key}
[boxes]
idle_beat_ms = {idle_beat}
{extra}
"""


def http(method, port, path, body=None, headers=None, timeout=10):
    """Returns (status, headers, body) of one exchange on loopback."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition, seconds, what):
    """Waits until condition() holds; fails the run when it never does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not reached within {seconds} s: {what}")


class Cell:
    """A cell of nodes and boxes. Use it in a `with` statement: it ends what it started."""

    def __init__(self, nodes=3, boxes=8, domains=4, base=21000, rate=200, service_ms=20,
                 extra="", seeds=True, idle_beat=1000):
        # A shift of the ports lets several runs go on side by side.
        self.base = base + int(os.environ.get("PATHPORT_PORT_SHIFT", "0"))
        self.extra, self.idle_beat = extra, idle_beat
        self.table, self.objects, self.box_list = self.base, self.base + 1, self.base + 2
        self.names = [f"node-{i + 1}" for i in range(nodes)]
        self.boxes = [f"box-{i + 1}" for i in range(boxes)]
        self.domains, self.rate, self.service_ms, self.seeds = domains, rate, service_ms, seeds
        self.processes = {}
        self.folder = tempfile.mkdtemp(prefix="pathport-")
        self.past_histories = []

    def __enter__(self):
        try:
            self.start("platform", [
                "standin_platform", "--table", f"127.0.0.1:{self.table}",
                "--objects", f"127.0.0.1:{self.objects}",
                "--box-list", f"127.0.0.1:{self.box_list}",
                "--rate", str(self.rate), "--lag-ms", "200"])
            wait_until(lambda: http("GET", self.box_list, "/v1/boxes")[0] == 200, 10, "platform")
            for box in self.boxes:
                self.start_box(box)
            for name in self.names:
                self.start_node(name)
            for name in self.names:
                wait_until(lambda n=name: self.health(n), 15, f"{name} ready")
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, kind, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if kind is not None:
            for name in sorted(os.listdir(self.folder)):
                if name.endswith(".log"):
                    path = os.path.join(self.folder, name)
                    with open(path, errors="replace") as log:
                        lines = log.readlines()[-15:]
                    print(f"--- {name}\n" + "".join(lines))

    def start(self, name, words):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        command = [os.path.join(BIN, words[0])] + words[1:]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def box_port(self, box):
        return self.base + 100 + 2 * self.boxes.index(box)

    def start_box(self, box):
        index = self.boxes.index(box)
        self.start(box, [
            "standin_box", "--id", box, "--domain", f"domain-{index % self.domains + 1}",
            "--box-list", f"127.0.0.1:{self.box_list}", "--port", str(self.box_port(box)),
            "--service-ms", str(self.service_ms)])

    def ports(self, name):
        base = self.base + 10 + 4 * self.names.index(name)
        return {"callers": base, "operators": base + 1, "peers": base + 2, "metrics": base + 3}

    def start_node(self, name):
        seeds = ", ".join(f"127.0.0.1:{self.ports(n)['peers']}" for n in self.names)
        extra = self.extra + (f"\n[peers]\nseeds = {seeds}\n" if self.seeds else "")
        index = self.names.index(name)
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as settings:
            settings.write(NODE_INI.format(
                name=name, region="r1", domain=f"domain-{index % self.domains + 1}",
                table=self.table, objects=self.objects, box_list=self.box_list, key=KEY,
                extra=extra, idle_beat=self.idle_beat, **self.ports(name)))
        self.start(name, ["pathportd", "--settings", path])

    def health(self, name):
        return http("GET", self.ports(name)["callers"], "/v1/health", timeout=2)[0] == 200

    def ctl(self, *words, node=None, check=True, stdin=None):
        """Runs pathportctl; returns (exit code, parsed answer)."""
        names = [node] if node else [
            n for n in self.names
            if n in self.processes and self.processes[n].poll() is None]
        command = [os.path.join(BIN, "pathportctl"), "--key", KEY, "--json"]
        for name in names:
            command += ["--node", f"127.0.0.1:{self.ports(name)['operators']}"]
        done = subprocess.run(command + list(words), input=stdin, capture_output=True,
                              text=True, timeout=60, check=False)
        if check and done.returncode not in (0, 1):
            raise AssertionError(f"pathportctl {words}: {done.stdout} {done.stderr}")
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            if check:
                raise AssertionError(f"pathportctl {words}: exit code {done.returncode}, not "
                                     f"JSON: {done.stdout!r} {done.stderr!r}") from None
            return done.returncode, done.stdout + done.stderr

    def apply(self, kind, name, value, **options):
        return self.ctl("apply", kind, name, "-", stdin=json.dumps(value), **options)

    def service(self, name, replicas, window_ms=2000, cpu=1000):
        return self.apply("services", name, {
            "name": name, "team": "team-a", "replicas": replicas, "window_ms": window_ms,
            "resources": {"cpu_millis": cpu, "memory_mb": 512}})

    def job(self, name, tasks, duration_ms=300, priority=10, cpu=500):
        return self.ctl("submit", "-", stdin=json.dumps({
            "name": name, "team": "team-b", "tasks": tasks, "duration_ms": duration_ms,
            "priority": priority, "resources": {"cpu_millis": cpu, "memory_mb": 256}}))

    def running(self, service):
        _, status = self.ctl("status")
        return status["services"].get(service, {}).get("running", 0)

    def faults(self, **faults):
        http("POST", self.table, "/control/faults", json.dumps(faults).encode())

    def kill(self, name):
        """Ends a process at once, without a chance to clean up."""
        if name in self.boxes:
            self.past_histories.append((name, self.box_history(name)))
        self.processes[name].kill()
        self.processes[name].wait()
        if name in self.boxes:
            # What ran there ended with it.
            end = int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)
            for run in self.past_histories[-1][1]["runs"]:
                run["end"] = end if run["end"] < 0 else run["end"]

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self, name):
        """Asks a process to end in order; returns its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(40)

    def start_caller(self, service, requests, rate, timeout_ms=2000, doubles=0, path="/quote",
                     history="", nodes=None):
        command = [os.path.join(BIN, "standin_caller"), "--service", service,
                   "--requests", str(requests), "--rate", str(rate),
                   "--timeout-ms", str(timeout_ms), "--double-percent", str(doubles),
                   "--path", path]
        if history:
            command += ["--history", os.path.join(self.folder, history)]
        for name in nodes or self.names:
            command += ["--node", f"127.0.0.1:{self.ports(name)['callers']}"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
                                text=True)

    @staticmethod
    def finish_caller(caller, seconds=180):
        out, errors = caller.communicate(timeout=seconds)
        if not out:
            raise AssertionError("the caller printed nothing: " + errors)
        return json.loads(out)

    def box_history(self, box):
        return json.loads(http("GET", self.box_port(box), "/control/history")[2])

    def histories(self):
        """Returns (box, history) of all boxes, those of killed ones included."""
        return self.past_histories + [
            (b, self.box_history(b)) for b in self.boxes
            if b in self.processes and self.processes[b].poll() is None]

    def metric(self, name, metric):
        """Returns the sum of a node's metric over its labels."""
        text = http("GET", self.ports(name)["metrics"], "/metrics")[2].decode()
        return sum(float(line.split()[-1]) for line in text.splitlines()
                   if line.split("{")[0].split(" ")[0] == metric)
