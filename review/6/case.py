"""One answer of an exchange arrives with a wrong length: do the releases that follow on its connection reach their
callers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

CALLS = 12  # that stand when the answer is spoilt
WRONG_LENGTH = 16_000  # octets that the spoilt answer claims to have; less than the 16 KiB of a message
STATE_S = 0.2  # the free circuits of the group change so often, by the calls of its other end
CALL_S = 0.5  # a new call to each exchange so often
END_S = 2.0  # after the spoilt answer the standing calls end
OBSERVED_S = 12.0  # after that; more than the 8 s of the rule


async def case(rig: r.Rig) -> list[str]:
    """Set calls up, spoil the length of one further answer, end the calls, and look for their releases."""
    first, second = await rig.exchange("s-1", 1), await rig.exchange("s-2", 2)
    network = r.Proxy(rig, first)
    await network.start()
    bulletin = await rig.bulletin([r.endpoint("s-1", network.address, 1), r.endpoint("s-2", second.address, 2)])
    router = rig.router("n0", bulletin)
    await router.start()
    await router.ready()
    callers = r.CallerSide(rig, router, confirms_releases=True)

    async def states() -> None:
        while True:
            await asyncio.sleep(STATE_S)
            first.taken_by_others = (first.taken_by_others + 1) % 10
            first.tell_state()

    rig.spawn(states())
    connection = await callers.connect()
    for number in range(CALLS):
        connection.invite(f"52{number:05}", 1)
        await asyncio.sleep(0.1)
    await r.wait_until(lambda: len(callers.finals) == CALLS, 4.0)
    standing = [call for call, statuses in callers.finals.items() if statuses == [200] and call in first.standing]
    if len(standing) < CALLS:
        raise r.CannotRun(f"only {len(standing)} calls stand")
    spoilt: list[str] = []

    def spoil(kind: int, call: str, raw: bytes) -> bytes:
        if kind == r.ANSWER and not spoilt:
            spoilt.append(call)
            rig.record.write("network", "answer spoilt", call=call, length=len(raw) - 2, claimed=WRONG_LENGTH)
            return WRONG_LENGTH.to_bytes(2) + raw[2:]
        return raw

    if rig.trouble:
        for pair in network.pairs:
            pair.from_exchange = spoil

    async def calls_go_on() -> None:
        while True:
            for number in (1, 2):
                connection.invite(f"53{len(callers.offered):05}", number)
            await asyncio.sleep(CALL_S)

    rig.spawn(calls_go_on())
    if rig.trouble and not await r.wait_until(lambda: bool(spoilt), 3.0):
        raise r.CannotRun("no answer was spoilt")
    spoilt_at = r.time.time()
    await asyncio.sleep(END_S)
    if any(call not in first.standing for call in standing):
        raise r.CannotRun("a call ended before its time")
    for call in standing:
        first.release(call)
    ended = r.time.time()
    await asyncio.sleep(OBSERVED_S)
    lost = [call for call in standing
            if callers.released_at.get(call, r.time.time()) > ended + r.LOST_RELEASE_S + r.SLACK_S]
    new = {dest: [call for call, at in callers.offered.items() if call not in standing and callers.dests[call] == dest
                  and spoilt_at + 0.1 < at < ended + OBSERVED_S - 4.0] for dest in (1, 2)}
    served = {dest: sum(callers.finals.get(call) == [200] for call in calls) for dest, calls in new.items()}
    rig.record.say(f"calls that ended at s-1 {CALLS}; not released towards their callers within 8.05 s {len(lost)}; "
                   f"connections of the router to s-1 so far {first.opened}")
    rig.record.say(f"later calls that were answered: to s-1 {served[1]} of {len(new[1])}, to s-2 {served[2]} of "
                   f"{len(new[2])}; s-1 answered {sum(call in first.descriptions for call in new[1])} of those to it")
    return [f"call {call}: ended at its exchange, no release towards its caller within {r.LOST_RELEASE_S} s"
            for call in lost]


r.main(case, __file__)
