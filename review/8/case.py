"""A new connection to an exchange is reset under a call that was just answered on it: is the call set up twice?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

ROUNDS = 8  # in each, a call is placed while the connection to its exchange is new
ROUND_S = 2.0  # so the pair has half a call a second; the brief's figures give each pair about 1.4
HOLD_S = 6.0  # a call stands for this long


async def case(rig: r.Rig) -> list[str]:
    """Place a call on each new connection, and reset that connection with the answer if the disruption is on."""
    exchange = await rig.exchange("s-1", 1)
    proxy = r.Proxy(rig, exchange)
    await proxy.start()
    bulletin = await rig.bulletin([r.endpoint("s-1", proxy.address, 1)])
    router = rig.router("n0", bulletin)
    await router.start()
    await router.ready()
    callers = r.CallerSide(rig, router, confirms_releases=True)

    async def end_calls() -> None:
        while True:
            await asyncio.sleep(0.02)
            now = r.time.time()
            for call in [c for c in exchange.standing if now - exchange.set_ups[c][0] > HOLD_S]:
                exchange.release(call)

    rig.spawn(end_calls())
    for number in range(ROUNDS):
        connection = await callers.connect()
        new_pair: asyncio.Future[r.Pair] = asyncio.get_running_loop().create_future()
        proxy.on_connection = new_pair.set_result
        for pair in list(proxy.pairs):
            pair.exchange.close()  # the idle connection ends; the router opens a new one
        pair = await asyncio.wait_for(new_pair, 5.0)
        proxy.on_connection = None

        def on_message(kind: int, call: str, raw: bytes, pair: r.Pair = pair) -> bytes | None:
            if kind == r.ANSWER:
                rig.record.write("network", "answer lost", call=call)
                pair.reset("new, under a request")
                return None
            return raw

        if rig.trouble:
            pair.from_exchange = on_message
        connection.invite(f"{5_220_000 + number}", 1)
        await asyncio.sleep(ROUND_S)
        connection.close()
    await asyncio.sleep(1.0)
    rig.record.say(f"calls {len(callers.offered)}, answered {len(callers.answered_at)}, set-ups at the exchange "
                   f"{sum(map(len, exchange.set_ups.values()))}")
    if len(exchange.set_ups) < ROUNDS:
        raise r.CannotRun("a call did not reach the exchange")
    return [f"call {call}: set up again at s-1 while its first attempt, which was answered, had neither ended nor been "
            f"given up; set-ups {len(exchange.set_ups[call])}" for call in exchange.overlaps]


r.main(case, __file__)
