"""Case 3: the bulletin answers slowly. Nothing new may go to an exchange once its drain counts as told."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    BROKEN,
    HELD,
    TROUBLE,
    Bulletin,
    Exchange,
    Record,
    Router,
    SipConnection,
    endpoint,
    new_call_id,
    run_case,
)

SLOW_ANSWER_S = 3.0  # from a request to the first byte of the bulletin's response
CALLS_PER_S = 10.0
DRAINED_AFTER_S = 10.0
LOAD_S = 30.0
TOLD_S = 7.0  # what the bulletin has to tell counts as told after this at the latest, arrived or not
GRACE_S = 2.0 + 0.05  # nothing new later than this after the router was told; each time limit is 50 ms longer


async def case(record: Record, folder: Path) -> int:
    """Place calls to three exchanges; after a while the bulletin tells that one of them drains."""
    bulletin = await Bulletin(record, SLOW_ANSWER_S if TROUBLE else 0.0).start()
    exchanges = [await Exchange(f"s-{number}", number, record, hold_s=lambda _: random.expovariate(1 / 10)).start()
                 for number in (1, 2, 3)]
    bulletin.publish([endpoint(exchange) for exchange in exchanges], snapshot=True)
    router = Router(folder, record, bulletin, exchanges)
    await router.start()
    caller = await SipConnection("caller", record).open(router.port)
    start, told = time.monotonic(), float("inf")
    while time.monotonic() - start < LOAD_S:
        if told == float("inf") and time.monotonic() - start >= DRAINED_AFTER_S:
            told = bulletin.publish([endpoint(exchanges[0], "terminating")]) + TOLD_S
        if not caller.is_open:
            caller = await SipConnection("caller", record).open(router.port)
        caller.invite(new_call_id(), new_call_id(), random.choice((1, 2, 3)), random.randint(2_700, 3_600))
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await asyncio.sleep(1.0)

    late = [(at, call) for at, call in exchanges[0].set_ups if at > told + GRACE_S]
    for at, call in late:
        record.write("check", f"call={call} was sent to s-1 {at - told:.3f} s after the router counts as told")
    record.write("check", f"the bulletin was asked {bulletin.requests} times; set-ups to s-1 too late: {len(late)}")
    await router.stop()
    return BROKEN if late else HELD


run_case(case, __file__)
