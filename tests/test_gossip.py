"""The gossip state machines in a simulated network, and the data structures against reference implementations."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from astertrack.gossip import Alive, Leave, Message, State, Suspect
from astertrack.gossip.dissemination import SortedUpdateQueue, UpdateQueue
from astertrack.gossip.model import Claim, Ping, Send, sign_claim
from astertrack.gossip.replay import MAX_CLOCK_SKEW_US, WINDOW_SIZE, ReplayFilter, ReplayResult, ReplayWindow
from astertrack.gossip.trust import MIN_ACCEPTED_WEIGHT, REFUTATION_HALF_LIFE_US, Trust
from laboratory.gossip_world import GossipWorld, Instance, Network, bytes_per_second

SUBJECTS = st.integers(0, 8)


# ---- data structures


# p: put an update about a subject, t: take as many updates as the number says.
@given(st.lists(st.tuples(st.sampled_from("pt"), SUBJECTS, st.integers(1, 5)), max_size=60), st.integers(1, 4))
def test_updates_are_sent_least_transmitted_first_and_only_the_latest_per_subject(
        operations: Any, max_transmissions: int) -> None:
    queue: UpdateQueue[tuple[int, int]] = UpdateQueue()
    transmissions: Counter[int] = Counter()
    latest: dict[int, int] = {}
    queued: set[int] = set()
    for index, (operation, subject, count) in enumerate(operations):
        if operation == "p":
            queue.put(subject, (subject, index), 40)
            transmissions[subject], latest[subject] = 0, index
            queued.add(subject)
            continue
        sent_updates = queue.take(40 * count, max_transmissions)
        assert len(sent_updates) == min(count, len(queued))
        remaining = queued - {queued_subject for queued_subject, _ in sent_updates}
        for sent_subject, update in sent_updates:
            assert latest[sent_subject] == update
            assert all(transmissions[sent_subject] <= transmissions[other] for other in remaining)
        for sent_subject, _ in sent_updates:
            transmissions[sent_subject] += 1
            if transmissions[sent_subject] == max_transmissions:
                queued.discard(sent_subject)
        assert len(queue) == len(queued)


@given(st.lists(st.tuples(SUBJECTS, st.integers(30, 90)), max_size=30), st.integers(1, 4))
def test_the_bucket_queue_sends_each_update_as_often_as_the_sorted_queue(updates: Any, max_transmissions: int) -> None:
    queue: UpdateQueue[int] = UpdateQueue()
    sorted_queue: SortedUpdateQueue[int] = SortedUpdateQueue()
    for index, (subject, size_bytes) in enumerate(updates):
        queue.put(subject, index, size_bytes)
        sorted_queue.put(subject, index, size_bytes)
    transmissions = [Counter(update for _ in range(400) for update in tested.take(100, max_transmissions))
                     for tested in (queue, sorted_queue)]
    assert transmissions[0] == transmissions[1]
    assert len(queue) == len(sorted_queue) == 0


def test_a_full_queue_drops_the_most_transmitted_update() -> None:
    queue: UpdateQueue[int] = UpdateQueue(max_updates=3)
    queue.put("old", 1, 40)
    queue.take(40, 9)
    for index, subject in enumerate("abc"):
        queue.put(subject, index, 40)
    assert sorted(queue.take(1000, 9)) == [0, 1, 2]
    assert queue.dropped_updates == 1


@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=200))
def test_a_sequence_number_is_new_once_and_never_behind_the_window(sequence_numbers: list[int]) -> None:
    window, recorded, highest = ReplayWindow(), set[int](), -1
    for sequence_number in sequence_numbers:
        expected = (ReplayResult.TOO_OLD if sequence_number <= highest - WINDOW_SIZE else
                    ReplayResult.DUPLICATE if sequence_number in recorded else ReplayResult.NEW)
        assert window.record(sequence_number) is expected
        recorded.add(sequence_number)
        highest = max(highest, sequence_number)


def test_clock_skew_is_bounded_and_an_earlier_epoch_is_rejected() -> None:
    replay_filter = ReplayFilter(max_senders=3)
    assert replay_filter.record("a", 5, 1, 1_000, 1_000) is ReplayResult.NEW
    assert replay_filter.record("a", 5, 1, 1_000, 1_000) is ReplayResult.DUPLICATE
    assert replay_filter.record("a", 5, 2, 1_000, 1_000 + MAX_CLOCK_SKEW_US) is ReplayResult.NEW
    assert replay_filter.record("a", 5, 3, 1_000, 1_001 + MAX_CLOCK_SKEW_US) is ReplayResult.SKEWED
    assert replay_filter.record("a", 6, 1, 1_000, 1_000) is ReplayResult.NEW
    assert replay_filter.record("a", 5, 9, 1_000, 1_000) is ReplayResult.TOO_OLD
    for name in "bcdefg":
        assert replay_filter.record(name, 1, 1, 0, 0) is ReplayResult.NEW
    assert len(replay_filter) == 3


def test_refuted_claims_lower_the_weight_and_it_recovers() -> None:
    trust = Trust()
    for _ in range(4):
        assert trust.is_accepted("liar", 0)
        trust.record_refutation("liar", 0)
    assert trust.weight("liar", 0) < MIN_ACCEPTED_WEIGHT
    assert not trust.is_accepted("liar", 0)
    assert trust.is_accepted("liar", 2 * REFUTATION_HALF_LIFE_US)
    assert trust.weight("healthy", 0) == 1.0


# ---- membership


def member_state(world: GossipWorld, observer: str, subject: str) -> State | None:
    """Return the state of `subject` in the view of `observer`, None if it is unknown there."""
    member = world.instances[observer].membership.members.get(subject)
    return member.state if member is not None else None


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_all_members_detect_a_failure_and_no_other_member_is_declared_dead(loss: float) -> None:
    world = GossipWorld(10, 3, network=Network(loss_fraction=loss, duplicate_fraction=0.05))
    world.run(30)
    assert not world.false_deaths()
    death_us = world.now_us
    world.instances["n4"].is_down = True
    assert world.run_until(world.views_agree, 40) is not None
    world.run(30)
    assert not world.false_deaths({"n4": death_us})


def test_only_the_subject_can_refute_a_suspicion() -> None:
    world = GossipWorld(5, 1)
    accused, accuser = world.instances["n1"].membership, world.instances["n2"].membership
    claim = sign_claim(Suspect("n1", accused.own_claim.incarnation, "n2"), accuser._claim_signer)
    for instance in world.running_instances():
        ping = Ping(1, instance.name, 0, [claim])
        instance.membership.handle_message("n2", "n2", ping, world.local_time_us(instance))
    assert member_state(world, "n3", "n1") is State.SUSPECT
    forged = sign_claim(Alive("n1", accused.own_claim.incarnation + 9, "elsewhere", "z"), accuser._claim_signer)
    world.instances["n3"].membership.handle_message("n2", "n2", Ping(2, "n3", 0, [forged]), world.now_us)
    assert member_state(world, "n3", "n1") is State.SUSPECT
    assert world.instances["n3"].membership.counts["claims_unsigned"] == 1
    world.run(10)
    assert member_state(world, "n3", "n1") is State.ALIVE
    assert world.instances["n3"].membership.members["n1"].claim.address == "n1"
    assert not world.false_deaths()
    assert world.instances["n3"].membership.trust.weight("n2", world.now_us) < 1.0


def make_liars(world: GossipWorld, names: set[str], victims: Any) -> None:
    """Make these instances suspect every victim in every message that they send, with valid signatures."""
    def lie(sender: Instance, address: str, message: Message) -> Message:
        if sender.name not in names or not hasattr(message, "claims"):
            return message
        incarnations = {member.name: member.claim.incarnation for member in sender.membership.live_members()}
        claims: list[Claim] = [
            sign_claim(Suspect(name, incarnations[name], sender.name), sender.membership._claim_signer)
            for name in victims(sender) if name in incarnations]
        outgoing: Message = msgspec.structs.replace(message, claims=claims[:8])
        return outgoing
    world.send_hook = lie


@pytest.mark.parametrize("liars", [{"n7"}, {"n1", "n3"}])
def test_liars_that_suspect_all_members_cause_no_death_and_lose_their_weight(liars: set[str]) -> None:
    world = GossipWorld(10, 5)
    make_liars(world, liars, lambda sender: [name for name in world.instances if name != sender.name])
    world.run(120)
    assert not world.false_deaths()
    healthy = [instance for instance in world.running_instances() if instance.name not in liars]
    assert all(not instance.membership.trust.is_accepted(name, world.now_us) for instance in healthy for name in liars)
    assert sum(instance.membership.counts["suspicions_unheeded"] for instance in healthy) > 0
    assert max(instance.membership.local_health for instance in healthy) <= 2


def test_a_liar_does_not_delay_the_detection_of_a_real_failure() -> None:
    world = GossipWorld(10, 6)
    make_liars(world, {"n7"}, lambda sender: [name for name in world.instances if name != sender.name])
    world.run(20)
    death_us = world.now_us
    world.instances["n2"].is_down = True
    healthy = [instance for instance in world.running_instances() if instance.name != "n7"]
    detection_s = world.run_until(
        lambda: all(member_state(world, instance.name, "n2") is State.DEAD for instance in healthy), 40)
    assert detection_s is not None
    assert not [death for death in world.false_deaths({"n2": death_us}) if death[1] != "n7"]


def test_a_member_paused_for_20_s_rejoins_and_declares_no_member_dead() -> None:
    world = GossipWorld(10, 7)
    world.run(5)
    world.instances["n6"].paused_until_us = world.now_us + 20_000_000
    world.run(19)
    assert all(member_state(world, instance.name, "n6") is State.DEAD
               for instance in world.running_instances() if instance.name != "n6")
    assert world.run_until(world.views_agree, 30) is not None
    assert not [death for death in world.false_deaths() if death[2] != "n6"]


def test_the_views_agree_again_after_a_partition_between_zones() -> None:
    world = GossipWorld(10, 8)
    zones = {instance.name: instance.zone for instance in world.running_instances()}
    world.network.is_blocked = lambda sender, receiver: zones[sender] != zones[receiver]
    world.run(15)
    world.network.is_blocked = lambda sender, receiver: False
    healing_s = world.run_until(world.views_agree, 60)
    assert healing_s is not None
    assert healing_s < 30


def test_a_link_cut_in_one_direction_causes_no_false_death() -> None:
    world = GossipWorld(10, 9)
    world.network.is_blocked = lambda sender, receiver: (sender, receiver) == ("n1", "n2")
    world.run(60)
    assert not world.false_deaths()


def test_a_leave_takes_effect_at_once_and_its_replay_after_a_restart_is_ignored() -> None:
    world = GossipWorld(10, 10)
    world.run(3)
    leaving = world.instances["n5"]
    old_claim = sign_claim(Leave("n5", leaving.membership.own_claim.incarnation), leaving.membership._claim_signer)
    leaving.membership.leave(world.now_us)
    world.perform_actions(leaving)
    leaving.is_down = True
    assert world.run_until(lambda: all(member_state(world, instance.name, "n5") is State.LEFT
                                       for instance in world.running_instances()), 8) is not None
    restarted = world.add("n5", leaving.zone, ["n0", "n1"])
    assert world.run_until(world.views_agree, 30) is not None
    for instance in world.running_instances():
        instance.membership.handle_message("n9", "n9", Ping(1, instance.name, 0, [old_claim]), world.now_us)
    assert world.views_agree()
    assert restarted.membership.own_claim.incarnation > old_claim.incarnation


def test_a_hundred_instances_join_at_once_through_three_seeds() -> None:
    world = GossipWorld(100, 11, joined=False)
    assert world.run_until(world.views_agree, 120, step_s=1.0) is not None
    assert not world.false_deaths()


def test_skewed_clocks_and_late_datagrams_cause_no_false_death() -> None:
    network = Network(loss_fraction=0.05, late_fraction=0.1, duplicate_fraction=0.1)
    world = GossipWorld(10, 12, network=network, skew_us=20_000_000)
    world.run(60)
    assert not world.false_deaths()
    assert world.views_agree()


def test_the_traffic_of_an_instance_does_not_grow_with_the_group() -> None:
    rates = []
    for count in (10, 60):
        world = GossipWorld(count, 13, network=Network(loss_fraction=0.1))
        world.run(20)
        rates.append(bytes_per_second(world.instances.values(), 20))
    assert rates[1] < 1.5 * rates[0]


def test_dead_members_are_forgotten() -> None:
    world = GossipWorld(5, 14)
    world.instances["n3"].is_down = True
    world.run(30)
    assert member_state(world, "n1", "n3") is State.DEAD
    world.run(130)
    assert member_state(world, "n1", "n3") is None
    assert "n3" not in world.instances["n1"].membership._gone


def test_datagrams_stay_below_the_limit_when_many_updates_are_queued() -> None:
    world = GossipWorld(40, 15)
    for index in range(40, 70):  # 30 join at once; GossipWorld.send() checks each datagram's length
        world.add(f"n{index}", "z0", ["n0", "n1", "n2"])
    world.run(20)
    assert world.instances["n0"].datagrams_sent > 20


def test_the_simulation_is_deterministic_for_a_seed() -> None:
    def trace(seed: int) -> list[Any]:
        world = GossipWorld(8, seed, network=Network(loss_fraction=0.2))
        world.run(15)
        return [(instance.name, instance.datagrams_sent, instance.datagram_bytes)
                for instance in world.running_instances()]
    assert trace(4) == trace(4)
    assert trace(4) != trace(5)
    assert Send("a", Ping(1, "b", 2)) == Send("a", Ping(1, "b", 2))
