"""Which other entry VMs count as alive, from the lists of control VMs.

A VM that no control VM lists any more counts as dead. While no control VM responds at all, nothing
is known: the VMs that were alive before still count, since shares of common limits are divided
among them.
"""

from datetime import timedelta

from camphorspread.process.steering_state import ControlVm, SteeringState
from camphorspread.request.fleet_retry_budget import RetryShare

__all__ = ["find_retry_share", "hold_live_vms", "record_listed_vms"]

# An entry VM that no control VM has listed for this long is treated as dead.
ALIVE_TTL = timedelta(seconds=2.5)
# Time after a response within which each poll that is held elsewhere is answered too.
RESPONSE_MARGIN = timedelta(milliseconds=200)
# After a silence of all control VMs, their lists are complete once each entry VM has polled again.
RELIST_TIME = timedelta(seconds=1)


def record_listed_vms(state: SteeringState, control: ControlVm, now: timedelta) -> None:
    """Record that a control VM has responded, and which entry VMs it lists."""
    for name in control.listed_vms:
        peer = state.board.peers.get(name)
        if peer is not None:
            if now >= peer.alive_until:
                peer.first_alive = now
            peer.alive_until = now + ALIVE_TTL
    if state.first_listed_at is None and control.fleet_list_version:
        state.first_listed_at = now
    state.last_report_at = now
    state.held_vms = frozenset()


def hold_live_vms(state: SteeringState, poll_hold: timedelta, now: timedelta) -> None:
    """Let the VMs that were alive count as alive while no control VM responds.

    Args:
        state: State of this VM.
        poll_hold: For how long a control VM may hold a poll.
        now: Current monotonic time.
    """
    reported = state.last_report_at
    if reported is None or now - reported <= poll_hold + RESPONSE_MARGIN:
        return
    peers = state.board.peers
    if not state.held_vms:
        state.held_vms = frozenset(
            name for name, peer in peers.items() if reported < peer.alive_until
        )
    for name in state.held_vms:
        peers[name].alive_until = max(peers[name].alive_until, now + RELIST_TIME)


def find_retry_share(state: SteeringState, now: timedelta) -> RetryShare:
    """Return this VM's part of the fleet's retry budget.

    All VMs that were alive within the window of the budget may have used their parts in it, and so
    may a former process of this VM in the first window of this one.
    """
    window, listed = state.retry_budget.window, state.first_listed_at
    if listed is None or now - listed < RELIST_TIME:
        return RetryShare(None, True)
    vms = 1 + sum(now < peer.alive_until + window for peer in state.board.peers.values())
    return RetryShare(vms, now - listed < window)
