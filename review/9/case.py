"""A planned restart in a crowd: are the releases of the calls that ended meanwhile sent to their callers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import rig as r

CALLS = 20  # that stand when the router is restarted
CROWD_PER_S = 60  # connections that never finish a request; the operating days have thousands
CROWD_S = 6.0  # the crowd comes for this long
OBSERVED_S = 10.0  # after the last call has ended; more than the 8 s of the rule


async def crowd_member(rig: r.Rig, port: int, releases: list[str]) -> None:
    """Connect, send the beginning of a request, read whatever comes, and leave when the router closes."""
    try:
        reader, writer = await asyncio.open_connection(r.HOST, port)
    except OSError:
        return
    rig.writers.append(writer)
    try:
        writer.write(b"INVITE sip:5220000@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n")
        while data := await reader.read(65536):
            for line in data.decode(errors="replace").split("\r\n"):
                if line.startswith("BYE "):
                    releases.append(line)
                    rig.record.write("crowd", "got release", line=line)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def case(rig: r.Rig) -> list[str]:
    """Set calls up, restart the router, end the calls meanwhile, and look who is sent the releases."""
    exchanges = [await rig.exchange(f"s-{number}", number) for number in (1, 2)]
    bulletin = await rig.bulletin([r.endpoint(e.name, e.address, e.number) for e in exchanges])
    router = rig.router("n0", bulletin)
    await router.start()
    await router.ready()
    callers = r.CallerSide(rig, router, confirms_releases=True)
    connection = await callers.connect()
    for number in range(CALLS):
        connection.invite(f"{5_220_000 + number}", 1 + number % 2)
        await asyncio.sleep(0.05)
    await r.wait_until(lambda: len(callers.finals) == CALLS, 4.0)
    standing = [call for call, statuses in callers.finals.items() if statuses == [200]]
    if len(standing) < CALLS:
        raise r.CannotRun(f"only {len(standing)} calls stand")

    router.signal(r.signal.SIGTERM)
    if not await router.exited(9.7):  # SIGKILL comes the longest deadline plus 0.7 s later
        router.signal(r.signal.SIGKILL)
        await router.exited(5.0)
    for exchange in exchanges:  # the calls come to their ends while the router is down
        for call in list(exchange.standing):
            exchange.release(call)
    ended = max(at for exchange in exchanges for at in exchange.ended.values())
    await router.start()
    crowd_releases: list[str] = []

    async def crowd() -> None:
        while not router_listens():
            await asyncio.sleep(0.01)
        end = r.time.monotonic() + CROWD_S
        while r.time.monotonic() < end:
            rig.spawn(crowd_member(rig, router.port, crowd_releases))
            await asyncio.sleep(1 / CROWD_PER_S)

    def router_listens() -> bool:
        with r.socket.socket() as probe:
            return probe.connect_ex((r.HOST, router.port)) == 0

    if rig.trouble:
        rig.spawn(crowd())
    await router.ready()

    async def front() -> None:
        """The callers' front keeps a connection on which it tests the router, and a call comes now and then."""
        while True:
            kept = await callers.connect()
            for _ in range(6):
                kept.options()
                await asyncio.sleep(0.5)
            kept.close()

    async def calls_go_on() -> None:
        """Every true request arrives on a new connection."""
        while True:
            await asyncio.sleep(2.0)
            (await callers.connect()).invite("5230000", 1)

    rig.spawn(front())
    rig.spawn(calls_go_on())
    await asyncio.sleep(max(0.0, ended + OBSERVED_S - r.time.time()))
    lost = [call for call in standing
            if callers.released_at.get(call, r.time.time()) > ended + r.LOST_RELEASE_S + r.SLACK_S]
    got = [call for call in standing if call in callers.released_at]
    rig.record.say(f"calls that ended at their exchanges: {CALLS}; released towards their callers {len(got)}, "
                   f"within 8.05 s {CALLS - len(lost)}; sent to the crowd instead {len(crowd_releases)}")
    return [f"call {call}: ended at its exchange, no release towards its caller within {r.LOST_RELEASE_S} s"
            for call in lost]


r.main(case, __file__)
