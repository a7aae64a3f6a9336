# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The table of a series of soaks."""

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
    checked = total(result.checked for result in results)
    broken = total({promise: 1} for result in results for promise, _ in result.broken)
    print(f"{'promise':45} {'checked':>9} {'broken':>7}")
    for promise in sorted(set(checked) | set(broken)):
        print(f"{promise:45} {checked.get(promise, 0):9} {broken.get(promise, 0):7}")
    failed = [result for result in results if result.broken]
    print(f"{len(results)} seeds run, {len(failed)} broken")
    for result in failed:
        print(f"seed {result.seed}: {result.folder}")
