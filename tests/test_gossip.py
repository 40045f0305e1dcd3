"""Gossip's machines: in a world of their own in virtual time, and their structures against plain ones."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from astertrack.gossip import Alive, Leave, Message, State, Suspect
from astertrack.gossip.dissemination import NewsQueue, PlainQueue
from astertrack.gossip.model import Claim, Ping, Send, sign_claim
from astertrack.gossip.replay import SKEW_US, WINDOW, Heard, Replays, ReplayWindow
from astertrack.gossip.trust import HEEDED_LEAST, RECOVERS_US, Trust
from laboratory.gossip_world import GossipWorld, Instance, Network, octets_a_second

SUBJECTS = st.integers(0, 8)


# ---- structures


@given(st.lists(st.tuples(st.sampled_from("pt"), SUBJECTS, st.integers(1, 5)), max_size=60), st.integers(1, 4))
def test_news_is_told_least_sent_first_and_only_the_latest_of_each_subject(steps: Any, times: int) -> None:
    queue: NewsQueue[tuple[int, int]] = NewsQueue()
    sent: Counter[int] = Counter()
    latest: dict[int, int] = {}
    waiting: set[int] = set()
    for at, (what, subject, count) in enumerate(steps):
        if what == "p":
            queue.put(subject, (subject, at), 40)
            sent[subject], latest[subject] = 0, at
            waiting.add(subject)
            continue
        taken = queue.take(40 * count, times)
        assert len(taken) == min(count, len(waiting))
        rest = waiting - {s for s, _ in taken}
        for subject_taken, news in taken:
            assert latest[subject_taken] == news
            assert all(sent[subject_taken] <= sent[other] for other in rest)
        for subject_taken, _ in taken:
            sent[subject_taken] += 1
            if sent[subject_taken] == times:
                waiting.discard(subject_taken)
        assert len(queue) == len(waiting)


@given(st.lists(st.tuples(SUBJECTS, st.integers(30, 90)), max_size=30), st.integers(1, 4))
def test_all_news_is_told_as_often_as_by_the_plain_queue(puts: Any, times: int) -> None:
    ours: NewsQueue[int] = NewsQueue()
    plain: PlainQueue[int] = PlainQueue()
    for at, (subject, octets) in enumerate(puts):
        ours.put(subject, at, octets)
        plain.put(subject, at, octets)
    told = [Counter(news for _ in range(400) for news in queue.take(100, times)) for queue in (ours, plain)]
    assert told[0] == told[1]
    assert len(ours) == len(plain) == 0


def test_a_full_queue_lets_go_of_what_was_told_most_often() -> None:
    queue: NewsQueue[int] = NewsQueue(most=3)
    queue.put("old", 1, 40)
    queue.take(40, 9)
    for at, subject in enumerate("abc"):
        queue.put(subject, at, 40)
    assert sorted(queue.take(1000, 9)) == [0, 1, 2]
    assert queue.lost == 1


@given(st.lists(st.integers(0, 3 * WINDOW), max_size=200))
def test_a_number_is_new_once_and_what_is_behind_the_window_never(numbers: list[int]) -> None:
    window, heard, highest = ReplayWindow(), set[int](), -1
    for number in numbers:
        expected = (Heard.TOO_OLD if number <= highest - WINDOW else
                    Heard.AGAIN if number in heard else Heard.NEW)
        assert window.hear(number) is expected
        heard.add(number)
        highest = max(highest, number)


def test_skewed_clocks_are_borne_within_a_bound_and_an_earlier_process_is_not_heard_again() -> None:
    replays = Replays(most=3)
    assert replays.hear("a", 5, 1, 1_000, 1_000) is Heard.NEW
    assert replays.hear("a", 5, 1, 1_000, 1_000) is Heard.AGAIN
    assert replays.hear("a", 5, 2, 1_000, 1_000 + SKEW_US) is Heard.NEW
    assert replays.hear("a", 5, 3, 1_000, 1_001 + SKEW_US) is Heard.SKEWED
    assert replays.hear("a", 6, 1, 1_000, 1_000) is Heard.NEW
    assert replays.hear("a", 5, 9, 1_000, 1_000) is Heard.TOO_OLD
    for name in "bcdefg":
        assert replays.hear(name, 1, 1, 0, 0) is Heard.NEW
    assert len(replays) == 3


def test_a_word_weighs_less_with_each_refuted_claim_and_recovers() -> None:
    trust = Trust()
    for _ in range(4):
        assert trust.heeded("liar", 0)
        trust.refuted("liar", 0)
    assert trust.weight("liar", 0) < HEEDED_LEAST
    assert not trust.heeded("liar", 0)
    assert trust.heeded("liar", 2 * RECOVERS_US)
    assert trust.weight("sound", 0) == 1.0


# ---- membership


def state(world: GossipWorld, by: str, of: str) -> State | None:
    """How one holds another."""
    member = world.instances[by].machine.members.get(of)
    return member.state if member is not None else None


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_death_is_found_by_all_and_nobody_else_dies(loss: float) -> None:
    world = GossipWorld(10, 3, network=Network(loss=loss, doubled=0.05))
    world.run(30)
    assert not world.false_deaths()
    died = world.now
    world.instances["n4"].down = True
    assert world.until(world.agree, 40) is not None
    world.run(30)
    assert not world.false_deaths({"n4": died})


def test_a_suspicion_is_refuted_by_its_subject_and_by_nobody_else() -> None:
    world = GossipWorld(5, 1)
    accused, accuser = world.instances["n1"].machine, world.instances["n2"].machine
    claim = sign_claim(Suspect("n1", accused.me.incarnation, "n2"), accuser._claim_signer)
    for instance in world.running():
        instance.machine.heard("n2", "n2", Ping(1, instance.name, 0, [claim]), world.local(instance))
    assert state(world, "n3", "n1") is State.SUSPECT
    forged = sign_claim(Alive("n1", accused.me.incarnation + 9, "elsewhere", "z"), accuser._claim_signer)
    world.instances["n3"].machine.heard("n2", "n2", Ping(2, "n3", 0, [forged]), world.now)
    assert state(world, "n3", "n1") is State.SUSPECT
    assert world.instances["n3"].machine.counts["claims_unsigned"] == 1
    world.run(10)
    assert state(world, "n3", "n1") is State.ALIVE
    assert world.instances["n3"].machine.members["n1"].claim.address == "n1"
    assert not world.false_deaths()
    assert world.instances["n3"].machine.trust.weight("n2", world.now) < 1.0


def liar(world: GossipWorld, names: set[str], victims: Any) -> None:
    """These instances suspect every victim in every message that they send, signed and well-formed."""
    def lie(sender: Instance, address: str, message: Message) -> Message:
        if sender.name not in names or not hasattr(message, "claims"):
            return message
        held = {m.name: m.claim.incarnation for m in sender.machine.alive()}
        claims: list[Claim] = [sign_claim(Suspect(name, held[name], sender.name), sender.machine._claim_signer)
                  for name in victims(sender) if name in held]
        told: Message = msgspec.structs.replace(message, claims=claims[:8])
        return told
    world.hook = lie


@pytest.mark.parametrize("liars", [{"n7"}, {"n1", "n3"}])
def test_liars_who_report_everybody_dead_kill_nobody_and_are_heeded_no_more(liars: set[str]) -> None:
    world = GossipWorld(10, 5)
    liar(world, liars, lambda sender: [n for n in world.instances if n != sender.name])
    world.run(120)
    assert not world.false_deaths()
    sound = [i for i in world.running() if i.name not in liars]
    assert all(not i.machine.trust.heeded(name, world.now) for i in sound for name in liars)
    assert sum(i.machine.counts["suspicions_unheeded"] for i in sound) > 0
    assert max(i.machine.health for i in sound) <= 2


def test_a_liar_that_reports_a_truly_dead_one_as_well_does_not_hide_it() -> None:
    world = GossipWorld(10, 6)
    liar(world, {"n7"}, lambda sender: [n for n in world.instances if n != sender.name])
    world.run(20)
    died = world.now
    world.instances["n2"].down = True
    sound = [i for i in world.running() if i.name != "n7"]
    found = world.until(lambda: all(state(world, i.name, "n2") is State.DEAD for i in sound), 40)
    assert found is not None
    assert not [d for d in world.false_deaths({"n2": died}) if d[1] != "n7"]


def test_one_paused_for_20_s_comes_back_and_buries_nobody() -> None:
    world = GossipWorld(10, 7)
    world.run(5)
    world.instances["n6"].paused_until_us = world.now + 20_000_000
    world.run(19)
    assert all(state(world, i.name, "n6") is State.DEAD for i in world.running() if i.name != "n6")
    assert world.until(world.agree, 30) is not None
    assert not [d for d in world.false_deaths() if d[2] != "n6"]


def test_a_partition_along_the_sites_heals_by_itself() -> None:
    world = GossipWorld(10, 8)
    zones = {i.name: i.zone for i in world.running()}
    world.network.cut = lambda sender, receiver: zones[sender] != zones[receiver]
    world.run(15)
    world.network.cut = lambda sender, receiver: False
    took = world.until(world.agree, 60)
    assert took is not None
    assert took < 30


def test_a_one_way_link_does_not_kill_whom_others_reach() -> None:
    world = GossipWorld(10, 9)
    world.network.cut = lambda sender, receiver: (sender, receiver) == ("n1", "n2")
    world.run(60)
    assert not world.false_deaths()


def test_who_leaves_is_gone_at_once_and_an_old_farewell_sent_again_means_nothing() -> None:
    world = GossipWorld(10, 10)
    world.run(3)
    leaving = world.instances["n5"]
    old = sign_claim(Leave("n5", leaving.machine.me.incarnation), leaving.machine._claim_signer)
    leaving.machine.leave(world.now)
    world.carry_out(leaving)
    leaving.down = True
    assert world.until(lambda: all(state(world, i.name, "n5") is State.LEFT for i in world.running()), 8) is not None
    again = world.add("n5", leaving.zone, ["n0", "n1"])
    assert world.until(world.agree, 30) is not None
    for instance in world.running():
        instance.machine.heard("n9", "n9", Ping(1, instance.name, 0, [old]), world.now)
    assert world.agree()
    assert again.machine.me.incarnation > old.incarnation


def test_a_hundred_join_at_once_through_three_seeds() -> None:
    world = GossipWorld(100, 11, joined=False)
    assert world.until(world.agree, 120, step=1.0) is not None
    assert not world.false_deaths()


def test_clocks_far_apart_and_stragglers_change_nothing() -> None:
    world = GossipWorld(10, 12, network=Network(loss=0.05, straggle=0.1, doubled=0.1), skew_us=20_000_000)
    world.run(60)
    assert not world.false_deaths()
    assert world.agree()


def test_what_one_sends_does_not_grow_with_the_members() -> None:
    rates = []
    for count in (10, 60):
        world = GossipWorld(count, 13, network=Network(loss=0.1))
        world.run(20)
        rates.append(octets_a_second(world.instances.values(), 20))
    assert rates[1] < 1.5 * rates[0]


def test_dead_members_are_forgotten() -> None:
    world = GossipWorld(5, 14)
    world.instances["n3"].down = True
    world.run(30)
    assert state(world, "n1", "n3") is State.DEAD
    world.run(130)
    assert state(world, "n1", "n3") is None
    assert "n3" not in world.instances["n1"].machine._gone


def test_no_datagram_is_longer_than_a_path_takes_however_much_there_is_to_tell() -> None:
    world = GossipWorld(40, 15)
    for at in range(40, 70):  # thirty come at once: the world checks the length of all that is sent
        world.add(f"n{at}", "z0", ["n0", "n1", "n2"])
    world.run(20)
    assert world.instances["n0"].sent > 20


def test_the_machine_is_the_same_for_the_same_seed() -> None:
    def trace(seed: int) -> list[Any]:
        world = GossipWorld(8, seed, network=Network(loss=0.2))
        world.run(15)
        return [(i.name, i.sent, i.octets) for i in world.running()]
    assert trace(4) == trace(4)
    assert trace(4) != trace(5)
    assert Send("a", Ping(1, "b", 2)) == Send("a", Ping(1, "b", 2))
