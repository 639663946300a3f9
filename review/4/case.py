"""DRAIN: a worker that leaves is used for 2.3 s more, after a cut of a gateway's link to the store.

Two gateways, three workers of the desk, which started at the same moment and so write their
heartbeats together. One gateway is cut off from the store for 1.4 s, in the way that refuses
connections. 1 s after the cut has healed, a worker leaves without having reported `draining`. The
callers of that gateway are quiet for two seconds, and then call again. With TROUBLE=0 nothing is cut.
"""

import asyncio
import sys

sys.path.insert(0, "../standins")
from fleet import CONTACT_S, DESK, DRAIN_S, HEARTBEAT_S, Worker, judge_drain, run_case  # noqa: E402

CUT_S, LEAVES_AFTER_S, ENDS_AFTER_S = 1.4, 1.02, 2.2


async def next_heartbeat(worker):
    before = worker.beats
    while worker.beats == before:
        await asyncio.sleep(0.005)


async def case(fleet, trouble):
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    workers = [Worker(fleet, f"d{n}", DESK, zones[n], work_ms=100) for n in range(3)]
    await fleet.start(["qc-est-a", "qc-est-b"], workers, spread=False)
    record, gateway, leaving = fleet.record, fleet.gateways[0], workers[0]
    link = fleet.links[gateway.name]
    await asyncio.sleep(CONTACT_S)
    others = fleet.spawn(fleet.book(fleet.gateways[1], 0.05, 10))
    await fleet.book(gateway, 0.05, 2)
    # The cut heals 0.35 s after a heartbeat, so that the list changes 2.05 s after it, and not again
    # before the worker ends.
    await next_heartbeat(leaving)
    await asyncio.sleep(HEARTBEAT_S + 0.35 - CUT_S)
    if trouble:
        link.refuse()
        record.say("link to the store cut", gateway=gateway.name)
    await fleet.book(gateway, 0.05, CUT_S)
    if trouble:
        await link.accept()
    healed = record.now()
    record.say("link to the store whole", gateway=gateway.name)
    await asyncio.sleep(LEAVES_AFTER_S)
    left = await leaving.leave()
    await asyncio.sleep(left + DRAIN_S + 0.02 - record.now())
    last = fleet.spawn(fleet.book(gateway, 0.01, 0.16))
    await asyncio.sleep(left + ENDS_AFTER_S - record.now())
    leaving.end()
    await asyncio.gather(last, others)
    await asyncio.sleep(1)
    return judge_drain(fleet, leaving, left, in_touch=healed + CONTACT_S)


run_case(case)
