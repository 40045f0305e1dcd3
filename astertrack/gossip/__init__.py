"""Gossip between instances: who is there, and what others have seen of servers.

Decides, on a clock and a random source that it is given: which instances live (SWIM with Lifeguard's local health),
what is told to whom next (least-sent news first), which datagram was heard before (RFC 6479's window), and how much
an instance's word weighs.

What may never happen: another's word revives or buries a member; a suspicion outlives its refutation; what is kept
of a member grows with what it sends; a datagram is longer than 1,400 octets.
"""

from astertrack.gossip.membership import Membership
from astertrack.gossip.model import Alive, ClaimSigner, GossipSettings, Leave, Message, ServerReport, State, Suspect

__all__ = ["Alive", "ClaimSigner", "GossipSettings", "Leave", "Membership", "Message", "ServerReport", "State",
           "Suspect"]
