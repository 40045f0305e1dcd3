"""After a planned restart one connection to an exchange never comes up: do the releases of that exchange's calls still
reach their callers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

EXCHANGES = 6  # with the router's own, seven ledger nodes
IDLE_CLOSES, IDLE_CLOSE_S = 8, 0.4  # each exchange closes its idle connection so often, and is dialled again
SHARE = 50  # at most one in so many connections may never come up
CALLS = 6  # that stand at each exchange when the router is restarted
DIAL_LIMIT_S = 0.5  # dialTimeoutUs of the settings
AFTER_LIMIT_S = 0.2  # the exchange can be reached again so long after that limit
HOLD_S = 3.0  # after the exchange can be reached again its calls stand on for this long
OBSERVED_S = 11.0  # after the calls have ended; more than the 8 s of the rule


async def case(rig: r.Rig) -> list[str]:
    """Set calls up, restart the router, let its first connection to s-1 fail, and end the calls."""
    exchanges = {number: await rig.exchange(f"s-{number}", number) for number in range(1, EXCHANGES + 1)}
    first = exchanges[1]
    network = r.CutProxy(rig, first)
    await network.start()
    bulletin = await rig.bulletin([
        r.endpoint(e.name, network.address if e is first else e.address, number) for number, e in exchanges.items()])
    router = rig.router("n0", bulletin)
    await router.start()
    await router.ready()
    for _ in range(IDLE_CLOSES):
        await asyncio.sleep(IDLE_CLOSE_S)
        for exchange in exchanges.values():
            for writer in list(exchange.connections):
                writer.close()
    await asyncio.sleep(IDLE_CLOSE_S)
    callers = r.CallerSide(rig, router, confirms_releases=True)
    connection = await callers.connect()
    for _ in range(CALLS):
        for number in exchanges:
            connection.invite(f"52{len(callers.offered):05}", number)
        await asyncio.sleep(0.1)
    await r.wait_until(lambda: len(callers.finals) == len(callers.offered), 4.0)
    standing = [call for call, statuses in callers.finals.items() if statuses == [200]]
    if len(first.standing) < CALLS or len(standing) < CALLS * EXCHANGES:
        raise r.CannotRun(f"only {len(standing)} calls stand")

    router.signal(r.signal.SIGTERM)
    if not await router.exited(9.7):  # SIGKILL comes the longest deadline plus 0.7 s later
        router.signal(r.signal.SIGKILL)
        await router.exited(5.0)
    if rig.trouble:
        await network.cut()
    await router.start()
    await router.ready()
    await asyncio.sleep(DIAL_LIMIT_S + AFTER_LIMIT_S)
    if rig.trouble:
        network.heal()  # from now on every connection to s-1 comes up
    came_up = sum(e.opened for e in exchanges.values())
    if came_up < SHARE:
        raise r.CannotRun(f"only {came_up} connections came up")

    async def calls_go_on() -> None:
        """The callers keep a connection, and calls to two exchanges come in."""
        kept = await callers.connect()
        while True:
            kept.invite(f"53{len(callers.offered):05}", 1 + len(callers.offered) % 2)
            await asyncio.sleep(0.5)

    rig.spawn(calls_go_on())
    await asyncio.sleep(HOLD_S)
    by_exchange = {name: [call for call in standing if call in e.standing] for name, e in exchanges.items()}
    if sum(map(len, by_exchange.values())) < len(standing):
        raise r.CannotRun("a call ended before its time")
    for number, calls in by_exchange.items():
        for call in calls:
            exchanges[number].release(call)
    ended = r.time.time()
    await asyncio.sleep(OBSERVED_S)
    lost = [call for call in standing
            if callers.released_at.get(call, r.time.time()) > ended + r.LOST_RELEASE_S + r.SLACK_S]
    new = {dest: [call for call in callers.offered if call not in standing and callers.dests[call] == dest
                  and ended - 2.0 < callers.offered[call] < ended + OBSERVED_S - 4.0] for dest in (1, 2)}
    served = {dest: sum(callers.finals.get(call) == [200] for call in calls) for dest, calls in new.items()}
    rig.record.say(f"connections to exchanges that came up {came_up}, that did not {int(rig.trouble)}")
    rig.record.say(f"calls from before the restart that ended: at s-1 {CALLS}, elsewhere {len(standing) - CALLS}; not "
                   f"released towards their callers within 8.05 s: {sum(call in first.ended for call in lost)} and "
                   f"{sum(call not in first.ended for call in lost)}")
    rig.record.say(f"later calls that were answered: to s-1 {served[1]} of {len(new[1])}, to s-2 {served[2]} of "
                   f"{len(new[2])}")
    return [f"call {call}: ended at its exchange, no release towards its caller within {r.LOST_RELEASE_S} s"
            for call in lost]


r.main(case, __file__)
