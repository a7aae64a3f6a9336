# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The table of a series of soaks."""

import statistics

STATUS_NAMES = {0: "no answer", -1: "not sent"}


def total(dictionaries):
    sums = {}
    for entries in dictionaries:
        for key, count in entries.items():
            sums[key] = sums.get(key, 0) + count
    return sums


def print_silences(result):
    """Prints how soon work went on after each silence of connections."""
    for text, first, gap, standstill, task in result.silences:
        print(f"soak_{result.seed}: {text}: next start after {first:.2f} s, longest gap of starts "
              f"{gap:.2f} s, longest standstill {standstill:.1f} s {task}", flush=True)


def print_silence_summary(results):
    """Prints median and maximum of how soon work went on, over all silences that struck some
    connection; see silences.py for what else counts in."""
    struck = [entry for result in results for entry in result.silences
              if ", 0 connections" not in entry[0]]
    if not struck:
        return
    print(f"{len(struck)} silences that struck connections: " + ", ".join(
        f"{name} {statistics.median(values):.2f} s (at most {max(values):.2f} s)"
        for name, values in (("next start", [entry[1] for entry in struck]),
                             ("longest gap of starts", [entry[2] for entry in struck]),
                             ("longest standstill", [entry[3] for entry in struck]))))


def print_route_delays(results):
    """Prints how soon daemons served routes that were added, whatever trouble there was."""
    delays = [delay for result in results for delay in result.route_delays]
    if delays:
        print(f"{len(delays)} times a daemon first served an added route: median "
              f"{statistics.median(delays):.2f} s, at most {max(delays):.2f} s, "
              f"{sum(1 for delay in delays if delay > 2)} over 2 s")


def print_table(results):
    """Prints what was done, what was checked and what broke."""
    requests = total(result.requests for result in results)
    print(f"{len(results)} seeds; {sum(requests.values())} requests: "
          + ", ".join(f"{count} {STATUS_NAMES.get(status, status)}"
                      for status, count in sorted(requests.items())))
    print(f"{sum(r.accepted for r in results)} jobs accepted, "
          f"{sum(r.starts for r in results)} starts, "
          f"{sum(r.store_calls for r in results)} calls to the store")
    faults = total(result.faults for result in results)
    print(f"{sum(faults.values())} faults: "
          + ", ".join(f"{count} {kind}" for kind, count in sorted(faults.items())))
    print_silence_summary(results)
    print_route_delays(results)
    checked = total(result.checked for result in results)
    broken = total({promise: 1} for result in results for promise, _ in result.broken)
    print(f"{'promise':45} {'checked':>9} {'broken':>7}")
    for promise in sorted(set(checked) | set(broken)):
        print(f"{promise:45} {checked.get(promise, 0):9} {broken.get(promise, 0):7}")
    failed = [result for result in results if result.broken]
    print(f"{len(results)} seeds run, {len(failed)} broken")
    for result in failed:
        print(f"seed {result.seed}: {result.folder}")
