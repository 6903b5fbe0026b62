"""How long polls of control VMs are held, and when contact to them counts as lost."""

from datetime import timedelta

__all__ = ["contact_limit", "poll_hold"]

# Long-poll time: a control VM responds immediately after a change, or else after this time. With
# many control VMs it grows, so that a VM sends about five polls a second.
POLL_HOLD = timedelta(milliseconds=900)
POLL_HOLD_STEP = timedelta(milliseconds=200)
MAX_POLL_HOLD = timedelta(seconds=2)
# Longer than a round trip between regions that loses a packet.
CONTACT_MARGIN = timedelta(milliseconds=500)


def poll_hold(controls: int) -> timedelta:
    """Return for how long a poll may be held.

    Args:
        controls: Number of control VMs, each of which is polled.
    """
    return min(max(POLL_HOLD, POLL_HOLD_STEP * controls), MAX_POLL_HOLD)


def contact_limit(controls: int) -> timedelta:
    """Return the time within which a VM in contact gets a response to one of its polls."""
    return poll_hold(controls) + CONTACT_MARGIN
