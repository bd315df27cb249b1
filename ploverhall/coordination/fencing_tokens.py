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

TOKEN_BITS = 20  # below the epoch; the same in the releases before this layout, or they could not follow one another
RIGHT_BITS, COUNT_BITS, HOLDER_BITS = 8, 7, 5
RIGHT = (1 << RIGHT_BITS) - 1
COUNT = ((1 << COUNT_BITS) - 1) << RIGHT_BITS
PLAIN = (1 << (RIGHT_BITS + COUNT_BITS)) - 1
HOLDERS = (1 << HOLDER_BITS) - 1


def first(epoch: int, holder: int | None) -> int:
    """The lowest token of an epoch; a holder beyond what the field holds does not say who it is."""
    told = holder + 1 if holder is not None and 0 <= holder < HOLDERS else 0
    return epoch << TOKEN_BITS | told << (RIGHT_BITS + COUNT_BITS)


def epoch_of(token: int) -> int:
    """The epoch that a token was given under."""
    return token >> TOKEN_BITS


def holder_of(token: int) -> int | None:
    """The index of the controller that gave a token, if it says so."""
    told = token >> (RIGHT_BITS + COUNT_BITS) & HOLDERS
    return told - 1 if told else None


def right_of(token: int) -> int:
    """The right that a token carries."""
    return token & RIGHT


def raised(token: int) -> int | None:
    """The next token that fences what was sent with this one; None when the epoch has none left."""
    if holder_of(token) is None:
        return token + 1 if token & PLAIN < PLAIN else None
    return token + (1 << RIGHT_BITS) if token & COUNT < COUNT else None


def marked(token: int, right: int) -> int | None:
    """The lowest token that is no lower and carries this right; None when the epoch has none left."""
    if holder_of(token) is None or right_of(token) == right:
        return token
    if right > right_of(token):
        return token - right_of(token) + right
    up = raised(token)
    return up - right_of(up) + right if up is not None else None
