# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The rows of the stand-in's store: transactions under conditions, readings, history. No input or
output, no troubles."""

import bisect
import time

from .wire import Row

MOST_ROWS = 500
MOST_BYTES = 1 << 20
# Of a transaction.
MOST_ENTRIES = 100
MOST_WRITE_BYTES = 1000000
MOST_ROW_BYTES = 65536
MOST_KEY_BYTES = 200


class HistoryLost(Exception):
    """The asked history is forgotten."""


def within_limits(write):
    """Whether the store takes a transaction of this size at all."""
    names = [name for name, _ in write.conditions + write.puts] + write.removes
    sizes = [len(value) for _, value in write.puts]
    texts = [text for name in names for text in (name.table, name.part, name.key)]
    return (len(names) <= MOST_ENTRIES and max(sizes, default=0) <= MOST_ROW_BYTES
            and sum(sizes) <= MOST_WRITE_BYTES
            and all(len(text.encode()) <= MOST_KEY_BYTES for text in texts))


class Store:
    """All tables. One counter of versions, which rises with each transaction."""

    def __init__(self, history_s=20):
        self.version = 1
        self.parts = {}  # (table, part) -> {key: Row}
        self.sorted_keys = {}  # (table, part) -> keys in order, while they are known
        self.history = {}  # table -> [(version, time, Row)]
        self.history_from = {}  # table -> the version whose changes can still be told
        self.history_s = history_s

    @staticmethod
    def now_ms():
        return time.monotonic() * 1000

    def find(self, name):
        return self.parts.get((name.table, name.part), {}).get(name.key)

    def write(self, write):
        """Returns (whether the conditions held, rows as they are if not)."""
        holds = True
        found = []
        for name, version in write.conditions:
            row = self.find(name) or Row(name, b"", 0, True)
            holds = holds and row.version == version
            found.append(row)
        if not holds:
            return False, found
        self.version += 1
        for name, value in write.puts:
            self.put(Row(name, value, self.version))
        for name in write.removes:
            if self.find(name) is not None:
                self.put(Row(name, b"", self.version, True))
        return True, []

    def put(self, row):
        place = (row.name.table, row.name.part)
        part = self.parts.setdefault(place, {})
        if row.removed:
            del part[row.name.key]
            self.sorted_keys.pop(place, None)
        else:
            if row.name.key not in part:
                self.sorted_keys.pop(place, None)
            part[row.name.key] = row
        self.history.setdefault(row.name.table, []).append((row.version, time.monotonic(), row))

    def read(self, wanted):
        """Returns (rows, whether there are more)."""
        place = (wanted.table, wanted.part)
        part = self.parts.get(place, {})
        if place not in self.sorted_keys:
            self.sorted_keys[place] = sorted(part, key=str.encode)
        keys = self.sorted_keys[place]
        begin = bisect.bisect_left(keys, wanted.first.encode(), key=str.encode)
        rows, size = [], 0
        for key in keys[begin:]:
            if wanted.end and key.encode() >= wanted.end.encode():
                break
            size += len(part[key].value)
            if len(rows) >= min(wanted.limit, MOST_ROWS) or (rows and size > MOST_BYTES):
                return rows, True
            rows.append(part[key])
        return rows, False

    def part_names(self, table):
        return sorted(part for (name, part), rows in self.parts.items() if name == table and rows)

    def changes(self, table, after):
        """Returns the rows of a table that changed after a version, in order."""
        self.trim(table)
        if after < self.history_from.get(table, 0):
            raise HistoryLost
        events = self.history.get(table, [])
        begin = bisect.bisect_right(events, after, key=lambda event: event[0])
        newest = {}
        for _, _, row in events[begin:]:
            newest.pop(row.name, None)
            newest[row.name] = row
        return list(newest.values())

    def trim(self, table):
        events = self.history.get(table, [])
        oldest = time.monotonic() - self.history_s
        if events and events[0][1] < oldest - self.history_s / 4:
            begin = bisect.bisect_left(events, oldest, key=lambda event: event[1])
            self.history_from[table] = events[begin - 1][0] if begin else 0
            del events[:begin]

    def forget(self):
        """Forgets the history of all tables."""
        for table in list(self.history):
            self.history[table].clear()
            self.history_from[table] = self.version
