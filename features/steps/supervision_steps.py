"""Steps for background tasks."""

import asyncio
import json
from io import StringIO

import attrs
from behave import given, then, when

from camphorspread.process.events import Event, make_event_log
from camphorspread.process.supervision import start_supervised
from features.fixtures.platform_fleet import ZONES
from features.steps.platform_fault_steps import send


def start_task(context, name, work):
    """Start a supervised task and count its starts."""
    context.starts = 0
    context.log_text = StringIO()
    log = make_event_log("vm", context.clock, context.log_text)

    async def counted():
        context.starts += 1
        await work(context.starts)

    async def start():
        context.task = start_supervised(counted, name, log)

    context.loop.run_until_complete(start())


@given('a background task "{name}" that fails twice and then runs')
def step_failing(context, name):
    async def work(start):
        if start <= 2:
            raise ZeroDivisionError
        await asyncio.Event().wait()

    start_task(context, name, work)


@given('a background task "{name}" that returns')
def step_returning(context, name):
    async def work(_start):
        pass

    start_task(context, name, work)


@when("{seconds:g} s go by")
def step_time(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("the task was started {count:d} times and still runs")
def step_runs(context, count):
    assert context.starts == count, context.starts
    assert not context.task.done()


@then("the task was started {count:d} time and has ended")
def step_ended(context, count):
    assert context.starts == count, context.starts
    assert context.task.done()


def count_errors(text, name):
    """Return the number of errors of a task in a log."""
    lines = [json.loads(line) for line in text.splitlines()]
    return sum(line["number"] == Event.TASK_FAILED.value and line["task"] == name for line in lines)


@then('the log has {count:d} errors of the task "{name}"')
def step_errors(context, count, name):
    assert count_errors(context.log_text.getvalue(), name) == count, context.log_text.getvalue()


@attrs.define(eq=False)
class FailingClock:
    """A clock that fails once in each supervised task of the VM.

    Attributes:
        failed: Tasks in which it has failed.
    """

    clock: object
    failed: set = attrs.field(factory=set)

    def monotonic(self):
        """Return the time, or raise an unexpected error."""
        task = asyncio.current_task()
        if task.get_coro().__name__ == "run_supervised" and task not in self.failed:
            self.failed.add(task)
            raise ZeroDivisionError
        return self.clock.monotonic()


@when('an unexpected error occurs once in each background task of the entry VM of "{zone}"')
def step_fail_all(context, zone):
    context.vm = f"front-{zone}-2"
    state = context.fleet.entries[context.vm].state
    state.clock = FailingClock(state.clock)


@then('a client of "{zone}" gets 200 for {count:d} "{kind}" requests')
def step_served(context, zone, count, kind):
    answers = send(context, zone, kind, count)
    assert [answer[0] for answer in answers] == [200] * count, answers


@then("each task of that VM that reads the clock was started again")
def step_started_again(context):
    text = context.fleet.logs[context.vm].getvalue()
    polls = [f"poll of {address}" for address in context.fleet.entries[context.vm].state.controls]
    names = ["summaries", "state_watch", *polls]
    errors = {name: count_errors(text, name) for name in names}
    assert len(polls) == len(ZONES)
    assert errors == dict.fromkeys(names, 1), errors
