# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The troubles that random days are drawn from, by what they strike, with their variants.

The first menu is the one whose days stand in older notes, and the second adds what `fleetbench kinds` names
besides: neither changes, so that their days are drawn as they were. The third adds cuts that reset or refuse
connections in place of silence, and more workers that leave.
"""
import dataclasses

# kind -> variants; a value may be a list (one is drawn) or a (low, high) pair (drawn between).
LOAD = [
    dict(kind="burst", x=(1.4, 2.2), for_s=(2, 6)),
    dict(kind="give_up", share=(.1, .4), for_s=(3, 6)),
    dict(kind="poison", share=(.02, .12), for_s=(2, 6)),
]
WORKERS = [
    dict(kind="srv_crash", share=(.08, .3), for_s=(2, 8),
         how=["", "dark", "gone", "domain", "joined", "rack"]),
    dict(kind="srv_slow", share=(.1, .3), x=(2, 8), for_s=(3, 8)),
    dict(kind="srv_grey", share=(.05, .3), x=(.3, 1), for_s=(2, 8), how="errors"),
    dict(kind="srv_grey", share=(.05, .2), x=(.3, 1), for_s=(3, 8),
         how=["shed", "busy", "hang", "reset", "mute", "slow"]),
    dict(kind="srv_cut", share=(.1, .4), for_s=(.8, 6),
         how=["", "fronts", "some", "some lossy", "one_way", "reset"]),
    dict(kind="node_cut", share=(.1, .4), for_s=(.8, 7), how="servers"),
    dict(kind="scale_out", share=(.1, .3), gap_s=(.5, 2)),
    dict(kind="scale_in", share=(.05, .15), how=["", "spot", "reclaim", "reclaim dry"],
         x=(1.5, 3), for_s=(4, 8)),
]
LEADERS = [
    dict(kind="node_kill", on="core", count=[1, 2], for_s=(.5, 4),
         how=["leader", "leader power", "leader race", "leader race drain", "meet drain", "reader", "giver",
              "leader hard"]),
    dict(kind="node_freeze", on="core", count=1, for_s=(.5, 5), how=["leader", "giver", "renewed", "reader"]),
    dict(kind="core_cut", count=1, for_s=(.8, 7),
         how=["leader", "leader one_way", "all", "near", "both", "lure", "relieve", "leader race", "split"]),
    dict(kind="replace_core", x=(.5, 4), how=["", "planned", "leader"]),
    dict(kind="roll_term", share=(.4, 1), x=[1.0, 2.0], gap_s=(.5, 2), how=["", "busy"]),
    dict(kind="herd_kill", on="core", share=(.5, 1), for_s=(2, 8), how=["", "power", "off", "taken"]),
    dict(kind="after_ack_kill", for_s=(1, 4), how=["", "kill", "timed", "taken"]),
    dict(kind="platform_down", share=(.2, .6), for_s=(1, 9),
         how=["nodes", "nodes many", "nodes silent", "nodes reset", "nodes busy", "nodes leader",
              "nodes leader many", "nodes leader silent", "nodes leader reset",
              "nodes leader many revoke meet", "nodes many revoke meet"]),
]
STORE = [
    dict(kind="platform_down", for_s=(1, 6),
         how=["silent", "busy", "reset", "silent lapse", "busy lapse", "reset lapse"]),
    dict(kind="platform_slow", x=(20, 100), for_s=(2, 6)),
    dict(kind="platform_lost", x=(.1, .5), for_s=(2, 6), how=["", "late", "late"]),
    dict(kind="platform_compact", x=(2, 6), for_s=(4, 12), how=["", "drain"]),
    dict(kind="applied_late", x=(.03, .6), for_s=(2, 6), how=["", "orders", "grants", "all"]),
]
OTHER = [
    dict(kind="node_kill", share=(.1, .4), for_s=(1, 4), how=["", "power"]),
    dict(kind="node_slow", share=(.1, .4), x=(3, 8), for_s=(3, 6)),
    dict(kind="node_cut", share=(.1, .4), for_s=(2, 7), how=["", "all"]),
    dict(kind="add_nodes", share=(.3, 1)),
    dict(kind="hup", share=(.3, 1), gap_s=(.3, 2)),
    dict(kind="config_change", how=["route", "weights", "timeout", "tenant", "quota", "idle"]),
    dict(kind="config_storm", for_s=(2, 5), gap_s=(.2, .6)),
    dict(kind="big_config", count=[100, 350]),
    dict(kind="clock_step", share=(.2, .6), x=(500, 4000), for_s=(2, 6), how=["back", "ahead"]),
    dict(kind="reset_conns", share=(.2, .6), x=(.2, .6), for_s=(1, 4)),
    dict(kind="cloud_down", for_s=(1, 5), how=["silent", "busy", "reset"]),
    dict(kind="cloud_slow", x=(10, 60), for_s=(2, 5)),
]

# What the second menu adds.
MORE_LOAD = [
    dict(kind="give_up", how="prompt", share=(.1, .6), x=(5, 600), for_s=(3, 10)),
    dict(kind="give_up", how="once", share=(.1, .4), x=(50, 400), for_s=(3, 6)),
]
MORE_WORKERS = [
    dict(kind="srv_cut", share=(.1, .35), for_s=(1, 6), how=["reborn", "reborn one_way"]),
    dict(kind="node_cut", share=(.1, .4), for_s=(1, 7), how="servers reborn"),
]
MORE_LEADERS = [
    dict(kind="roll_term", share=(.3, 1), x=[1.0, 2.0], gap_s=(.3, 2), how=["starter", "leader", "remove"]),
    dict(kind="herd_kill", on="core", share=(.5, 1), for_s=(2, 6), how=["taken", "power taken", "taken all"]),
    dict(kind="after_ack_kill", count=[1, 2], for_s=(1, 4), how=["taken", "taken gone"]),
    dict(kind="node_freeze", on="core", count=[1, 2], for_s=(1, 5), how=["follower", "turn", "renewed"]),
    dict(kind="core_cut", count=[1, 2], for_s=(1, 7), how=["leader reset", "turn", "follower", "giver"]),
]
MORE_STORE = [
    dict(kind="platform_compact", x=(2, 6), for_s=(4, 12), how=["keyed", "keyed drain"]),
    dict(kind="applied_late", x=(.03, .6), for_s=(2, 6), how="cloud"),
]
MORE_OTHER = [
    dict(kind="config_change", how=["quota down", "topup", "tenant down"]),
    dict(kind="node_cut", share=(.1, .4), for_s=(2, 7), how=["all reset", "turn"]),
]


def cut(kind, manner, hows, **others):
    """Returns the entry of a cut whose variants `hows` all meet connections in one manner."""
    return dict(kind=kind, how=[" ".join(filter(None, (how, manner))) for how in hows], **others)


# What the third menu adds.
SRV_CUTS = ["", "fronts", "some", "one_way", "reborn"]
NODE_CUTS = ["", "all", "turn"]
CORE_CUTS = ["", "leader", "giver", "follower", "turn", "all", "near", "one_way", "both", "lure", "relieve",
             "split", "behind", "oldest", "seeds"]
REFUSED_WORKERS = [
    cut("srv_cut", "refuse", SRV_CUTS, share=(.1, .5), x=(.2, .8), for_s=(1, 7)),
    cut("node_cut", "refuse", ["servers", "servers reborn"], share=(.1, .5), for_s=(1, 7)),
]
LEAVING_WORKERS = [
    dict(kind="scale_in", share=(.15, .5), how=["", "spot"], x=(1.5, 3)),
]
REFUSED_LEADERS = [
    cut("core_cut", "refuse", ["leader", "giver", "all"], count=[1, 2], for_s=(1, 7)),
]
RESET_WORKERS = [
    cut("srv_cut", "reset", SRV_CUTS, share=(.1, .5), x=(.2, .8), for_s=(1, 7)),
    cut("node_cut", "reset", ["servers", "servers reborn"], share=(.1, .5), for_s=(1, 7)),
]
CUT_LEADERS = [cut("core_cut", manner, CORE_CUTS, count=1, for_s=(1, 7))
               for manner in ("", "reset", "refuse")]
CUT_NODES = [cut("node_cut", manner, NODE_CUTS, share=(.1, .4), for_s=(1, 7))
             for manner in ("reset", "refuse")]

# Of the shape "leaving": workers that have announced their end have some seconds left, ...
DEPARTURES = [
    dict(kind="scale_in", share=(.15, .5), how=["", "spot"], x=(2, 6)),
]
# ... and while the store is away, entries in the list of workers lapse.
OUTAGES = [
    dict(kind="platform_down", for_s=(2, 6), how=["silent lapse", "busy lapse", "reset lapse"]),
    dict(kind="platform_down", for_s=(2, 6), how=["silent", "busy", "reset"]),
]

# Pairs of the shape "prompt". The one strikes who gave the last order, ...
ORDER_GIVERS = [
    dict(kind="roll_term", share=(.3, .8), x=[2.0, 3.0], gap_s=(.2, .5), how=["starter", "remove"]),
    dict(kind="replace_core", x=(.5, 2), how=["", "leader"]),
    dict(kind="node_kill", on="core", count=1, for_s=(.5, 4), how=["leader power", "giver power"]),
]
# ... the other keeps leaders from knowing what runs.
BLINDERS = [
    dict(kind="applied_late", x=(.2, .6), for_s=(3, 6), how=["all", "orders"]),
    dict(kind="applied_late", x=(.2, .6), for_s=(3, 6), how=["all", "grants"]),
    dict(kind="platform_lost", x=(.2, .5), for_s=(3, 6), how=["", "late"]),
    dict(kind="srv_cut", share=(.15, .4), for_s=(2, 6), how=["reborn", "one_way", ""]),
    dict(kind="node_cut", share=(.15, .4), for_s=(2, 6), how="servers"),
    dict(kind="srv_grey", share=(.1, .3), x=(.4, 1), for_s=(3, 6), how=["mute", "hang", "reset"]),
]
# Besides, at times, workers are away for about a lease: shorter, as long, or longer.
ABSENCES = [
    dict(kind="srv_cut", share=(.15, .4), for_s=(1, 6), how=["reborn", "one_way", "", "some lossy"]),
    dict(kind="srv_crash", share=(.1, .3), for_s=(1, 6), how=["", "dark"]),
    dict(kind="node_cut", share=(.15, .4), for_s=(1, 6), how=["servers", "servers reborn"]),
]


@dataclasses.dataclass(frozen=True)
class Menu:
    """The troubles of a menu, by what they strike."""

    load: list
    workers: list
    leaders: list
    store: list
    other: list

    def crowds(self):
        """Returns the groups, each as often as its share of what is drawn."""
        return [self.load, self.workers, self.workers, self.leaders, self.leaders, self.store, self.store,
                self.other]

    def named(self, name):
        """Returns the entry of `KIND` or `KIND:HOW`, with this variant alone, or None."""
        kind, _, how = name.partition(":")
        for entry in self.other + self.store + self.leaders + self.workers + self.load:
            hows = entry.get("how", "")
            known = hows if isinstance(hows, list) else [hows]
            if entry["kind"] == kind and (not how or how in known):
                return {**entry, "how": how} if how else entry
        return None


MENUS = {
    1: Menu(LOAD, WORKERS, LEADERS, STORE, OTHER),
    2: Menu(LOAD + MORE_LOAD, WORKERS + MORE_WORKERS, LEADERS + MORE_LEADERS, STORE + MORE_STORE,
            OTHER + MORE_OTHER),
    3: Menu(LOAD + MORE_LOAD, WORKERS + MORE_WORKERS + REFUSED_WORKERS + LEAVING_WORKERS + RESET_WORKERS,
            LEADERS + MORE_LEADERS + REFUSED_LEADERS + CUT_LEADERS, STORE + MORE_STORE,
            OTHER + MORE_OTHER + CUT_NODES),
}
