"""What a worker's token says: whose it is, and for how long the worker may be answered by one who knows nothing.

A worker keeps the highest token it has seen and drops lower ones; a response with an equal token is accepted from any node. So
the token is the one thing that outlives a controller's process inside a zone that is cut off from the state service:

    epoch (44 bits) | holder + 1 (5) | count (7) | right (8)

`count` rises to fence commands that may still be on their way. `holder` is the controller's dense index: a new life knows its
earlier one's tokens from another's. `right` says until when the worker may be answered with this token (see
coordination.afterlife). A holder of 0 is one that doesn't say: a release before this layout, whose count takes all 20 bits.

No I/O.
"""

from __future__ import annotations

# Below the epoch; the same in the releases before this layout, or they could not follow one
# another
TOKEN_BITS = 20
RENEWAL_GRANT_BITS = 8
COUNT_BITS = 7
HOLDER_BITS = 5
RENEWAL_GRANT_MASK = (1 << RENEWAL_GRANT_BITS) - 1
COUNT_MASK = ((1 << COUNT_BITS) - 1) << RENEWAL_GRANT_BITS
UNNAMED_HOLDER_MASK = (1 << (RENEWAL_GRANT_BITS + COUNT_BITS)) - 1
HOLDER_MASK = (1 << HOLDER_BITS) - 1


def initial_token(epoch: int, holder: int | None) -> int:
    """The lowest token of an epoch; a holder beyond what the field holds does not say who it is."""
    encoded_holder = holder + 1 if holder is not None and 0 <= holder < HOLDER_MASK else 0
    return epoch << TOKEN_BITS | encoded_holder << (RENEWAL_GRANT_BITS + COUNT_BITS)


def epoch_of(token: int) -> int:
    """The epoch that a token was given under."""
    return token >> TOKEN_BITS


def holder_of(token: int) -> int | None:
    """The index of the controller that gave a token, if it says so."""
    encoded_holder = token >> (RENEWAL_GRANT_BITS + COUNT_BITS) & HOLDER_MASK
    return encoded_holder - 1 if encoded_holder else None


def renewal_grant_of(token: int) -> int:
    """The right that a token carries."""
    return token & RENEWAL_GRANT_MASK


def next_token(token: int) -> int | None:
    """The next token that fences what was sent with this one; None when the epoch has none left."""
    if holder_of(token) is None:
        return token + 1 if token & UNNAMED_HOLDER_MASK < UNNAMED_HOLDER_MASK else None
    return token + (1 << RENEWAL_GRANT_BITS) if token & COUNT_MASK < COUNT_MASK else None


def with_renewal_grant(token: int, renewal_grant: int) -> int | None:
    """The lowest token that is no lower and carries this right; None when the epoch has none left."""
    if holder_of(token) is None or renewal_grant_of(token) == renewal_grant:
        return token
    if renewal_grant > renewal_grant_of(token):
        return token - renewal_grant_of(token) + renewal_grant
    raised_token = next_token(token)
    return (
        raised_token - renewal_grant_of(raised_token) + renewal_grant
        if raised_token is not None
        else None
    )
