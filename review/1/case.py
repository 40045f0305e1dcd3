"""Case 1: a SIGHUP with a plan file, under load. Every call has to get its final answer before its caller gives up."""

import asyncio
import random
import signal
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

ALIASES = 6_000  # ported numbers in the second plan; the pages allow 20,000 records other than prefixes
CALLS_PER_S = 10.0  # of one router; the site's 5 to 7 routers carry 59 together
LOAD_S = 24.0
SIGHUP_AFTER_S = 8.0
# By class: the share of calls, and the range in which a try is given up: 30 to 40% of the class's give-up time.
TRIES = {"ledger-read": (0.94, 2_700, 3_600), "declaration-save": (0.06, 1_800, 2_400)}
GRACE_S = 0.5  # an answer up to this much after its time is late, and not lost (the pages of the whole fleet)


def write_plan(path: Path, version: int, aliases: int) -> None:
    """Write the plan file, and put it in its place at once."""
    new = path.with_suffix(".new")
    with new.open("w") as out:
        out.write(f"[version]\nnumber = {version}\n")
        for exchange in (1, 2, 3):
            out.write(f'\n[[exchange]]\nnumber = {exchange}\nzone = "fes"\n')
            out.write(f'\n[[prefix]]\ndigits = "{exchange}"\nexchange = {exchange}\n')
        for number in range(aliases):
            out.write(f'\n[[alias]]\ndigits = "5{number:06d}"\nto = "{1 + number % 3}{number:06d}"\n')
    new.replace(path)


async def case(record: Record, folder: Path) -> int:
    """Place calls at a steady rate; after a while the plan file is replaced, and the router receives SIGHUP."""
    bulletin = await Bulletin(record).start()
    exchanges = [await Exchange(f"s-{number}", number, record, hold_s=lambda _: random.expovariate(1 / 10)).start()
                 for number in (1, 2, 3)]
    bulletin.publish([endpoint(exchange) for exchange in exchanges], snapshot=True)
    write_plan(folder / "plan.toml", 1, 0)
    (folder / "versions.toml").write_text('[plan]\nfile = "plan.toml"\n')
    router = Router(folder, record, bulletin, exchanges, {"ASTERTRACK_VERSIONS": str(folder / "versions.toml")})
    await router.start()
    callers = [await SipConnection(f"caller-{number}", record).open(router.port) for number in range(3)]
    calls: dict[str, tuple[float, SipConnection]] = {}  # when its caller gives up, and the connection
    start, replaced = time.monotonic(), False

    async def give_up_later(call: str, caller: SipConnection, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if call not in caller.finals and caller.is_open:
            caller.cancel(call)

    tasks = []
    while time.monotonic() - start < LOAD_S:
        if not replaced and time.monotonic() - start >= SIGHUP_AFTER_S:
            replaced = True
            write_plan(folder / "plan.toml", 2, ALIASES)
            record.write("operator", f"the plan file is replaced: version 2, with {ALIASES} aliases")
            if TROUBLE:
                router.signal(signal.SIGHUP)
        for index, caller in enumerate(callers):
            if not caller.is_open:
                callers[index] = await SipConnection(f"caller-{index}", record).open(router.port)
        tier = "ledger-read" if random.random() < TRIES["ledger-read"][0] else "declaration-save"
        _, shortest_ms, longest_ms = TRIES[tier]
        wait_ms, number = random.randint(shortest_ms, longest_ms), random.randrange(ALIASES)
        call, caller = new_call_id(), random.choice(callers)
        caller.invite(call, f"5{number:06d}{new_call_id()[:9]}", 1 + number % 3, wait_ms, tier)
        calls[call] = (time.time() + wait_ms / 1000, caller)
        tasks.append(asyncio.create_task(give_up_later(call, caller, wait_ms / 1000 + GRACE_S)))
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)

    lost = 0
    for call, (gives_up, caller) in calls.items():
        finals = caller.finals.get(call, [])
        if len(finals) != 1 or finals[0][0] > gives_up + GRACE_S:
            lost += 1
            record.write("check", f"call={call} has no final answer {GRACE_S} s after its caller's time"
                         if len(finals) < 2 else f"call={call} has {len(finals)} final answers")
    record.write("check", f"{len(calls)} calls, {lost} of them lost")
    await router.stop()
    return BROKEN if lost else HELD


run_case(case, __file__)
