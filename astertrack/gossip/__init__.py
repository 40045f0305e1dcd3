"""Gossip between instances: group membership, and what the instances observed of servers.

The package does no I/O and takes the clock and the random source as arguments. It decides which instances are alive
(SWIM with Lifeguard's local health), which updates to send next (least-transmitted first), whether a datagram is a
replay (the sliding window of RFC 6479), and how much weight the claims of an instance carry.

Invariants:

- No claim of one instance can declare another one alive or dead.
- A suspicion ends when its subject refutes it.
- The memory used for a member does not grow with the amount that it sends.
- No datagram is longer than 1,400 bytes.
"""

from astertrack.gossip.membership import Membership
from astertrack.gossip.model import Alive, ClaimSigner, GossipSettings, Leave, Message, ServerReport, State, Suspect

__all__ = ["Alive", "ClaimSigner", "GossipSettings", "Leave", "Membership", "Message", "ServerReport", "State",
           "Suspect"]
