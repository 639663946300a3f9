"""BUDGET: a deadly part that stands behind the sixteenth part of a prompt.

Two gateways, six engines, each back 3 s after a crash. Long conversations, of 20 parts, share their
first ones; in a few of them the part before the last is deadly. With TROUBLE=0 it crashes nothing.

For a look beyond the case: PARTS sets the number of parts of the deadly conversations (20), DIGITS the
number of digits of a part's ID (8), WRITTEN the events that a worker writes before it ends (0).
"""

import asyncio
import os
import sys

sys.path.insert(0, "../standins")
from fleet import CONTACT_S, ENGINES, Worker, run_case  # noqa: E402

PARTS = int(os.environ.get("PARTS", "20"))
DIGITS = int(os.environ.get("DIGITS", "8"))
WRITTEN = int(os.environ.get("WRITTEN", "0"))
DEADLY = "dead50a7".ljust(DIGITS, "7")
SOUND_INTERVAL_S, DEADLY_INTERVAL_S, LENGTH_S, DOWN_S = 0.1, 1.0, 45, 3.0


def prompt(own, parts, deadly):
    """Returns the headers of a conversation of `parts` parts, the last of which is its own."""
    turns = [f"{0x5c1e0000 + number:08x}".ljust(DIGITS, "7") + ":40" for number in range(parts - 1)]
    if deadly:
        turns[-1] = f"{DEADLY}:40"
    turns.append(f"{own:08x}".ljust(DIGITS, "7") + ":60")
    return {"X-Fulmarhead-Model": "m", "X-Fulmarhead-Token-Usage": f"{40 * parts + 20},400",
            "X-Fulmarhead-Prefix-Hash": ",".join(turns)}


async def callers(fleet, deadly, parts, interval, end):
    number = 0
    while fleet.record.now() < end:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        number += 1
        own = fleet.random.getrandbits(31)
        fleet.spawn(fleet.ask(gateway, "POST", "/lohu930/2f", prompt(own, parts, deadly), b"x" * 200))
        await asyncio.sleep(interval)


async def case(fleet, trouble):
    deadly = {"deadly": DEADLY, "deadly_after": WRITTEN} if trouble else {}
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    workers = [Worker(fleet, f"e{n}", ENGINES, zones[n % 3], **deadly) for n in range(6)]
    await fleet.start(["qc-est-a", "qc-est-b"], workers)
    for worker in workers:
        fleet.spawn(worker.revive(DOWN_S))
    await asyncio.sleep(CONTACT_S)
    end = fleet.record.now() + LENGTH_S
    await asyncio.gather(callers(fleet, False, 20, SOUND_INTERVAL_S, end),
                         callers(fleet, True, PARTS, DEADLY_INTERVAL_S, end))
    await asyncio.sleep(3)
    lines = fleet.record.lines
    crashes = [line["t"] for line in lines if line["what"] == "worker crashed"]
    arrivals = [line["t"] for line in lines
                if line["what"] == "worker runs" and DEADLY in line["parts"]]
    late = [t for t in arrivals if len(crashes) >= 5 and t > crashes[4] + CONTACT_S]
    streams = [line for line in lines if line["what"] == "client gets"]
    broken = sum(1 for line in streams if line["status"] == 200 and not line["complete"])
    fleet.record.say("judged", crashes=len(crashes), fifth=crashes[4] if len(crashes) > 4 else None,
                     arrivals=len(arrivals), arrivals_after_the_fifth=len(late),
                     streams=len(streams), streams_broken_off=broken)
    # Both gateways are in touch all the while: nothing happens to them, their links or the store.
    return len(late) <= 3


run_case(case)
