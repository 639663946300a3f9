"""MIXED: bytes that are no answer come without end in the body of a stream.

Two gateways, six engines. After two seconds three of the engines get into trouble: in 5 of 100 of
their streams, lines of a log follow the third event, and go on until the caller closes. With TROUBLE=0
all stay sound.
"""

import asyncio
import re
import signal
import sys

sys.path.insert(0, "../standins")
from fleet import CONTACT_S, ENGINES, Worker, run_case  # noqa: E402

EVENTS, INTERVAL_S, LENGTH_S, JUNK_SHARE = 8, 0.05, 40, 0.05
EVENT = re.compile(rb"id: (\d+)\ndata: piece \1\n\n")


async def case(fleet, trouble):
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    workers = [Worker(fleet, f"e{n}", ENGINES, zones[n % 3], events=EVENTS,
                      gap_ms=50, junk=JUNK_SHARE) for n in range(6)]
    await fleet.start(["qc-est-a", "qc-est-b"], workers)
    await asyncio.sleep(CONTACT_S)
    asked, end, number = [], fleet.record.now() + LENGTH_S, 0
    while fleet.record.now() < end:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        number += 1
        if trouble and number == 40:
            # The three engines that have had most requests get into trouble.
            runs = [line["worker"] for line in fleet.record.lines if line["what"] == "worker runs"]
            for worker in sorted(workers, key=lambda worker: -runs.count(worker.id))[:3]:
                worker.process.send_signal(signal.SIGUSR2)
                fleet.record.say("engine in trouble", worker=worker.id)
        headers = {"X-Fulmarhead-Model": "m", "X-Fulmarhead-Token-Usage": "5000,400",
                   "X-Fulmarhead-Prefix-Hash": f"5c1e07a2:40,{fleet.random.getrandbits(31):08x}:4960"}
        asked.append(fleet.spawn(fleet.ask(gateway, "POST", "/lohu930/2f", headers, b"x" * 200)))
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*asked)
    foreign = []
    for answer in answers:
        # What is left of the body without its events belongs to no answer.
        rest = EVENT.sub(b"", answer["body"])
        if answer["status"] == 200 and rest:
            foreign.append(answer["request"])
            fleet.record.say("bytes that are no answer", request=answer["request"],
                             events=answer["events"], complete=answer["complete"],
                             count=len(rest), begin=rest[:60].decode("latin-1"))
    spoiled = {line["request"] for line in fleet.record.lines if line["what"] == "worker spoils"}
    whole = sum(1 for answer in answers if answer["events"] == list(range(1, EVENTS + 1)))
    fleet.record.say("judged", streams=len(answers), spoiled_at_a_worker=len(spoiled),
                     clients_with_foreign_bytes=len(foreign), whole=whole)
    return not foreign


run_case(case)
