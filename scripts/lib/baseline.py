"""Plain consistent hashing without any memory of flows, as a baseline for broken flows."""

import bisect
import hashlib

VIRTUAL_NODES = 100
SAMPLE = 20_000


def _hash(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Ring:
    """A hash ring with virtual nodes."""

    def __init__(self, names):
        points = sorted((_hash(f"{name}#{i}"), name) for name in names for i in range(VIRTUAL_NODES))
        self.hashes = [it[0] for it in points]
        self.names = [it[1] for it in points]

    def owner(self, flow):
        return self.names[bisect.bisect(self.hashes, _hash(f"flow {flow}")) % len(self.names)]


def broken_share(before, after, ended=()):
    """Share of flows that plain consistent hashing sends to another target after a change.

    Flows of targets in `ended` are left out, since their sessions end as planned.
    """
    old, new = Ring(before), Ring(after)
    flows = [(old.owner(flow), flow) for flow in range(SAMPLE)]
    kept = [(owner, flow) for owner, flow in flows if owner not in ended]
    return sum(1 for owner, flow in kept if new.owner(flow) != owner) / max(1, len(kept))
