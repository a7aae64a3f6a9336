# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Shows that the soak's checks on changes of the configuration bite: answers that come too late
after a change, or after a later one was shown, are reported, and those that may be are not."""

import sys

from soak.routes import APPLY_S, BACK_S, IN_TIME, STAYS, Route, RouteBook, Seen
from soak.self_checks import run_checks


class Answers:
    """Answers of one daemon on a route that version 5 adds at 100 s, and 8 drops if it does."""

    def __init__(self, dropped_at=0.0):
        self.broken = set()
        self.book = RouteBook(lambda promise, holds, text: holds or self.broken.add(promise))
        self.route = Route("r", 5, 100, bool(dropped_at), 8 if dropped_at else 0, dropped_at)

    def see(self, status, sent, in_touch_since=90.0, life=1, drop_begun=None):
        begun = self.route.drop_begun if drop_begun is None else drop_begun
        self.book.note(Seen(self.route, 1, life, sent, status, in_touch_since, begun, sent))


def route_served_in_time():
    answers = Answers(dropped_at=110)
    for sent in (100.5, 101.9):
        answers.see(404, sent, drop_begun=False)
    answers.see(200, 102.1, drop_begun=False)
    answers.see(503, 103, drop_begun=False)
    answers.see(404, 109.9)  # The drop is under way.
    answers.see(404, 113)
    return set(), answers.broken


def added_route_refused():
    answers = Answers()
    answers.see(404, 100 + APPLY_S + 0.1)
    return {IN_TIME}, answers.broken


def added_route_refused_after_trouble():
    """What counts is the later of two moments, not their sum."""
    answers = Answers()
    answers.see(404, 102.4, in_touch_since=102.5)
    assert not answers.broken
    answers.see(404, 102.6, in_touch_since=102.5)
    return {IN_TIME}, answers.broken


def dropped_route_served():
    answers = Answers(dropped_at=110)
    answers.see(200, 110 + APPLY_S - 0.1)
    assert not answers.broken
    answers.see(200, 110 + APPLY_S + 0.1)
    return {IN_TIME}, answers.broken


def life_that_goes_back():
    answers = Answers()
    answers.see(200, 100.1)
    answers.see(404, 100.1 + BACK_S - 0.01)
    answers.see(404, 100.5, life=2)
    assert not answers.broken
    answers.see(404, 100.1 + BACK_S + 0.01)
    return {STAYS}, answers.broken


def life_that_serves_a_dropped_route_again():
    answers = Answers(dropped_at=110)
    answers.see(200, 109)
    answers.see(404, 110.1)
    answers.see(200, 110.5)
    return {STAYS}, answers.broken


RUNS = [route_served_in_time, added_route_refused, added_route_refused_after_trouble,
        dropped_route_served, life_that_goes_back, life_that_serves_a_dropped_route_again]


if __name__ == "__main__":
    sys.exit(run_checks(RUNS))
