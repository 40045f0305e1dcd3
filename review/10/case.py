"""The store of record stalls for less than ten seconds while the router is restarted: are records lost?"""

import asyncio
import sqlite3
import sys
import threading
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

STALL_S = 9.5  # the page names ten seconds
CALLS_PER_S = 10
BEFORE_S, DURING_S = 2.0, 2.0  # calls before the stall, and between its beginning and SIGTERM
HOLD_S = 0.5  # a call stands for this long


def stall(database: Path, begun: threading.Event, end: threading.Event) -> None:
    """Hold the write lock of the database for STALL_S, or until the end of the case."""
    connection = sqlite3.connect(database, isolation_level=None, timeout=5.0)
    connection.execute("BEGIN IMMEDIATE")
    begun.set()
    end.wait(STALL_S)
    connection.execute("ROLLBACK")
    connection.close()


def read_records(database: Path) -> dict[str, Counter[str]]:
    """Return the events of each call in the store, with how often each is there."""
    records: dict[str, Counter[str]] = {}
    connection = sqlite3.connect(database, timeout=5.0)
    for call, event in connection.execute("SELECT call, event FROM call_records"):
        records.setdefault(call, Counter())[event] += 1
    connection.close()
    return records


async def case(rig: r.Rig) -> list[str]:
    """Place calls, stall the store, restart the router as planned, and compare the records with the answers."""
    exchange = await rig.exchange("s-1", 1)
    bulletin = await rig.bulletin([r.endpoint("s-1", exchange.address, 1)])
    database = rig.folder / "records.sqlite"
    router = rig.router("n0", bulletin, gateway=f'[store]\nkind = "sqlite"\ndatabase = "{database}"\n')
    await router.start()
    await router.ready()
    callers = r.CallerSide(rig, router, confirms_releases=True)

    async def end_calls() -> None:
        while True:
            await asyncio.sleep(0.02)
            now = r.time.time()
            for call in [c for c in exchange.standing if now - exchange.set_ups[c][0] > HOLD_S]:
                exchange.release(call)

    async def place(seconds: float) -> None:
        connection = await callers.connect()
        for number in range(int(seconds * CALLS_PER_S)):
            connection.invite(f"{5_220_000 + number}", 1)
            await asyncio.sleep(1 / CALLS_PER_S)

    rig.spawn(end_calls())
    await place(BEFORE_S)
    begun, end = threading.Event(), threading.Event()
    stalled_at = r.time.time()
    if rig.trouble:
        threading.Thread(target=stall, args=(database, begun, end), daemon=True).start()
        if not await r.wait_until(begun.is_set, 6.0):
            raise r.CannotRun("the store could not be stalled")
        stalled_at = r.time.time()
        rig.record.write("store", "stalls", seconds=STALL_S)
    await place(DURING_S)
    await asyncio.sleep(HOLD_S + 0.5)  # the last of these calls has ended
    router.signal(r.signal.SIGTERM)
    if not await router.exited(9.7):  # SIGKILL comes the longest deadline plus 0.7 s later
        router.signal(r.signal.SIGKILL)
        await router.exited(5.0)
    await asyncio.sleep(max(0.0, stalled_at + STALL_S + 0.5 - r.time.time()) if rig.trouble else 0.0)
    end.set()
    await router.start()
    await router.ready()
    await place(1.0)
    await asyncio.sleep(HOLD_S + 2.0)
    router.signal(r.signal.SIGTERM)
    if not await router.exited(9.7):
        raise r.CannotRun("the second process did not end")
    records = await asyncio.to_thread(read_records, database)
    lost = [call for call, statuses in callers.finals.items()
            if statuses == [200] and not records.get(call, Counter())["answered"]]
    doubled = [call for call in callers.finals if any(count > 1 for count in records.get(call, Counter()).values())]
    rig.record.say(f"calls answered {len(callers.answered_at)}; without a record of it {len(lost)}, "
                   f"with a doubled one {len(doubled)}")
    return ([f"call {call}: answered to its caller, and no record of it" for call in lost]
            + [f"call {call}: a doubled record" for call in doubled])


r.main(case, __file__)
