"""Layout of fencing tokens: who issued a token, and how long its agent's lease may be renewed.

    epoch (44 bits) | holder + 1 (5) | count (7) | renewal grant (8)

An agent keeps the highest token it has seen and drops messages with lower ones. `holder` is the
dense index of the controller that issued the token; the field is 0 in tokens that do not say, which
releases before this layout issued, with a count of 20 bits. `count` rises to fence commands that
may still be on their way. The renewal grant is encoded by `restart_recovery.RenewalGrants`. Shard
owners and the restart recovery call this module; docs/design.md, "Fencing tokens", has the reasons.
No I/O.
"""

from __future__ import annotations

# Bits below the epoch: the same as before this layout, since a release with another number would
# take tokens of the other for tokens of a different epoch
TOKEN_BITS = 20
RENEWAL_GRANT_BITS = 8
COUNT_BITS = 7
HOLDER_BITS = 5
RENEWAL_GRANT_MASK = (1 << RENEWAL_GRANT_BITS) - 1
COUNT_MASK = ((1 << COUNT_BITS) - 1) << RENEWAL_GRANT_BITS
UNNAMED_HOLDER_MASK = (1 << (RENEWAL_GRANT_BITS + COUNT_BITS)) - 1
HOLDER_MASK = (1 << HOLDER_BITS) - 1


def initial_token(epoch: int, holder: int | None) -> int:
    """Return an epoch's lowest token; it names the holder if the field can hold its index."""
    encoded_holder = holder + 1 if holder is not None and 0 <= holder < HOLDER_MASK else 0
    return epoch << TOKEN_BITS | encoded_holder << (RENEWAL_GRANT_BITS + COUNT_BITS)


def epoch_of(token: int) -> int:
    """Return the epoch in which a token was issued."""
    return token >> TOKEN_BITS


def holder_of(token: int) -> int | None:
    """Return the index of the controller that issued a token; None: it does not say."""
    encoded_holder = token >> (RENEWAL_GRANT_BITS + COUNT_BITS) & HOLDER_MASK
    return encoded_holder - 1 if encoded_holder else None


def renewal_grant_of(token: int) -> int:
    """Return a token's renewal grant, as encoded by `RenewalGrants`."""
    return token & RENEWAL_GRANT_MASK


def next_token(token: int) -> int | None:
    """Return the next token, which fences messages with this one; None: the epoch has no more."""
    if holder_of(token) is None:
        return token + 1 if token & UNNAMED_HOLDER_MASK < UNNAMED_HOLDER_MASK else None
    return token + (1 << RENEWAL_GRANT_BITS) if token & COUNT_MASK < COUNT_MASK else None


def with_renewal_grant(token: int, renewal_grant: int) -> int | None:
    """Return the lowest token that is no lower and has this grant; None: the epoch has no more."""
    if holder_of(token) is None or renewal_grant_of(token) == renewal_grant:
        return token
    if renewal_grant > renewal_grant_of(token):
        return token - renewal_grant_of(token) + renewal_grant
    raised_token = next_token(token)
    if raised_token is None:
        return None
    return raised_token - renewal_grant_of(raised_token) + renewal_grant
