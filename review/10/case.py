"""A router is killed and started again while calls stand through a server of the call-control API: do their callers
get the releases?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

CALLS = 10  # that stand when the router is killed
RESTART_S = 1.0  # until the platform starts it again
HOLD_S = 3.0  # after the new process is ready the calls stand on for this long
OBSERVED_S = 10.0  # after the calls have ended; more than the 8 s of the rule


async def case(rig: r.Rig) -> list[str]:
    """near -> far -> exchange: both routers are the project's own, and far is a destination of near."""
    exchange = await rig.exchange("s-1", 1)
    bulletin = await rig.bulletin([r.endpoint("s-1", exchange.address, 1)])
    far_port = r.free_port()
    far = rig.router("far", bulletin, gateway=f'[front]\nlisten = "{r.HOST}:{far_port}"\n')
    empty = await rig.bulletin([])
    near = rig.router("near", empty, gateway=(
        f'[[destination]]\nname = "w-1"\naddress = "{r.HOST}:{far_port}"\nnumber = 1\nzone = "fes"\n'))
    await far.start()
    await far.ready()
    await near.start()
    await near.ready()
    await asyncio.sleep(0.5)
    callers = r.CallerSide(rig, near, confirms_releases=True)
    connection = await callers.connect()
    for number in range(CALLS):
        connection.invite(f"{5_220_000 + number}", 1)
        await asyncio.sleep(0.1)
    await r.wait_until(lambda: len(callers.finals) == CALLS, 4.0)
    standing = [call for call, statuses in callers.finals.items() if statuses == [200]]
    if len(standing) < CALLS:
        raise r.CannotRun(f"only {len(standing)} calls stand")

    if rig.trouble:
        near.signal(r.signal.SIGKILL)
        await near.exited(5.0)
        await asyncio.sleep(RESTART_S)
        await near.start()
        await near.ready()
    kept = await callers.connect()

    async def calls_go_on() -> None:
        while True:
            kept.invite("5230000", 1)
            await asyncio.sleep(1.0)

    rig.spawn(calls_go_on())
    await asyncio.sleep(HOLD_S)
    if any(call not in exchange.standing for call in standing):
        raise r.CannotRun("a call ended before its time")
    for call in standing:
        exchange.release(call)
        await asyncio.sleep(0.05)
    ended = r.time.time()
    await asyncio.sleep(OBSERVED_S)
    lost = [call for call in standing
            if callers.released_at.get(call, r.time.time()) > ended + r.LOST_RELEASE_S + r.SLACK_S]
    others = [s for call, s in callers.finals.items() if call not in standing]
    rig.record.say(f"calls that stood and ended at the exchange: {CALLS}; released towards their callers within "
                   f"8.05 s {CALLS - len(lost)}; other calls answered {sum(s == [200] for s in others)} of "
                   f"{len(others)}")
    return [f"call {call}: ended at its exchange, no release towards its caller within {r.LOST_RELEASE_S} s"
            for call in lost]


r.main(case, __file__)
