"""Encode in fencing tokens who issued them and how long the agent's lease may be renewed.

    epoch (44 bits) | holder + 1 (5) | count (7) | renewal grant (8)

An agent keeps the highest token it has seen and drops messages with lower ones. `holder` is the
dense index of the controller that issued the token. The field is 0 in tokens that name no holder:
releases before this layout issued them, with a count of 20 bits. `count` is incremented to fence
commands that may still be in flight. `restart_recovery.RenewalGrants` encodes the renewal grant.
Shard owners and the restart recovery call this module; docs/design.md, "Fencing tokens", explains
the design. No I/O.
"""

from __future__ import annotations

# Number of bits below the epoch. Earlier layouts had the same number, since releases that differ in
# it would read each other's tokens as tokens of a different epoch
TOKEN_BITS = 20
RENEWAL_GRANT_BITS = 8
COUNT_BITS = 7
HOLDER_BITS = 5
RENEWAL_GRANT_MASK = (1 << RENEWAL_GRANT_BITS) - 1
COUNT_MASK = ((1 << COUNT_BITS) - 1) << RENEWAL_GRANT_BITS
UNNAMED_HOLDER_MASK = (1 << (RENEWAL_GRANT_BITS + COUNT_BITS)) - 1
HOLDER_MASK = (1 << HOLDER_BITS) - 1


def initial_token(epoch: int, holder: int | None) -> int:
    """Return an epoch's lowest token, which names the holder if its index fits into the field."""
    encoded_holder = holder + 1 if holder is not None and 0 <= holder < HOLDER_MASK else 0
    return epoch << TOKEN_BITS | encoded_holder << (RENEWAL_GRANT_BITS + COUNT_BITS)


def epoch_of(token: int) -> int:
    """Return the epoch in which a token was issued."""
    return token >> TOKEN_BITS


def holder_of(token: int) -> int | None:
    """Return the index of the controller that issued a token; None if the token does not say."""
    encoded_holder = token >> (RENEWAL_GRANT_BITS + COUNT_BITS) & HOLDER_MASK
    return encoded_holder - 1 if encoded_holder else None


def renewal_grant_of(token: int) -> int:
    """Return a token's renewal grant, as encoded by `RenewalGrants`."""
    return token & RENEWAL_GRANT_MASK


def next_token(token: int) -> int | None:
    """Return the next token, which fences messages with this one; None if no more exist."""
    if holder_of(token) is None:
        return token + 1 if token & UNNAMED_HOLDER_MASK < UNNAMED_HOLDER_MASK else None
    return token + (1 << RENEWAL_GRANT_BITS) if token & COUNT_MASK < COUNT_MASK else None


def with_renewal_grant(token: int, renewal_grant: int) -> int | None:
    """Return the lowest token that is not below `token` and holds this grant.

    Returns `token` itself if it names no holder, and None if the epoch has no tokens left.
    """
    if holder_of(token) is None or renewal_grant_of(token) == renewal_grant:
        return token
    if renewal_grant > renewal_grant_of(token):
        return token - renewal_grant_of(token) + renewal_grant
    raised_token = next_token(token)
    if raised_token is None:
        return None
    return raised_token - renewal_grant_of(raised_token) + renewal_grant
