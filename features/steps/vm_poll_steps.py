"""Steps for the polls of entry VMs."""

from datetime import timedelta

from behave import then

from camphorspread.process.vm_poll import ALIVE_TTL, poll_hold


@then(
    "a VM that polls {controls:d} control VMs sends at most {polls:g} polls a second to all of them"
)
def step_poll_rate(context, controls, polls):
    rate = controls / poll_hold(controls).total_seconds()
    assert rate <= polls, rate


@then(
    "with {first:d} to {last:d} control VMs a poll is held at least {seconds:g} s less than a "
    "listed VM stays alive"
)
def step_poll_hold(context, first, last, seconds):
    for controls in range(first, last + 1):
        assert ALIVE_TTL - poll_hold(controls) >= timedelta(seconds=seconds), controls
