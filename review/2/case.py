"""Case 2: a client of the call-control API repeats its set-ups after a restart. None may be set up a second time."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    ApiClient,
    Bulletin,
    Exchange,
    Record,
    Router,
    endpoint,
    free_port,
    new_call_id,
    run_case,
    wait_for,
)

CALLS = 6
HOLDING_S = 10.0  # of each call; the site's calls last 8 to 12 s on average
KILLED_AFTER_S = 2.0  # after the answers
DOWN_S = 0.5  # from the kill to the start
WAIT_MS = 2_700  # a caller of this class gives a try up after 2.7 to 3.6 s


async def case(record: Record, folder: Path) -> int:
    """Place calls; the router is killed and started again; the client connects again and repeats its set-ups."""
    bulletin = await Bulletin(record).start()
    exchanges = [await Exchange(f"s-{number}", number, record, hold_s=lambda _: HOLDING_S).start()
                 for number in (1, 2, 3)]
    bulletin.publish([endpoint(exchange) for exchange in exchanges], snapshot=True)
    api_port = free_port()
    (folder / "gateway.toml").write_text(f'[front]\nlisten = "127.0.0.1:{api_port}"\n')
    router = Router(folder, record, bulletin, exchanges, {"ASTERTRACK_GATEWAY": str(folder / "gateway.toml")})
    await router.start()

    client = await ApiClient("client", record).open(api_port)
    set_ups = [{"type": "setup", "id": new_call_id(), "class": "ledger-read", "number": new_call_id(),
                "dest": 1 + index % 3, "description": "c=IN IP4 127.0.0.1"} for index in range(CALLS)]
    for set_up in set_ups:
        client.send(**set_up, deadline=int(time.time() * 1000) + WAIT_MS)
    if not await wait_for(lambda: all(client.about(str(s["id"]), "answer") for s in set_ups), WAIT_MS / 1000):
        record.write("check", "the calls were not answered")
        return COULD_NOT_RUN
    await asyncio.sleep(KILLED_AFTER_S)

    if TROUBLE:
        router.signal(signal.SIGKILL)
        await router.wait()
        await asyncio.sleep(DOWN_S)
        await router.start()
    else:
        client.close()
    again = ApiClient("client-2", record)
    with contextlib.suppress(OSError):
        await again.open(api_port)
    if not again.is_open:
        return COULD_NOT_RUN
    for set_up in set_ups:  # the same fields: only the deadline may differ
        again.send(**set_up, deadline=int(time.time() * 1000) + WAIT_MS)
    await asyncio.sleep(2.0)

    second = [call for exchange in exchanges for call in exchange.overlaps]
    for exchange in exchanges:
        for call in exchange.overlaps:
            record.write("check", f"call={call} was set up a second time at {exchange.name}, where it stood")
    record.write("check", f"{CALLS} calls stood, {len(second)} of them were set up a second time")
    again.close()
    await router.stop()
    return BROKEN if second else HELD


run_case(case, __file__)
