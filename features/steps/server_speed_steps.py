"""Steps for endpoints that report the speed of their machines."""

from behave import given, then

from camphorspread.process.learned_metrics import format_learned_runs
from camphorspread.request.placement_board import has_scarce_capacity


def list_states(context):
    """Return the states of all entry VMs."""
    return [node.state for node in context.fleet.entries.values()]


@then('each entry VM has learned the run times of "{service}" and no others')
def step_learned(context, service):
    for state in list_states(context):
        assert set(state.board.work) == {service}, state.board.work
        work = state.board.work[service]
        assert {route for route, _ in work.runs} == {"read"}, work.runs
        assert work.speed_reports >= sum(item.runs for item in work.runs.values()) > 0, work


@then("no entry VM keeps the start of a run")
def step_no_runs(context):
    for state in list_states(context):
        kept = [item.name for item in state.board.registry.instances.values() if item.runs]
        assert not kept, kept


@then("the metrics of each entry VM show the mean, the percentiles and the age of the reports")
def step_metrics(context):
    for state in list_states(context):
        text = format_learned_runs(state.board.work, state.clock.monotonic())
        values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
        prefix = "camphorspread_steering_"
        assert float(values[prefix + 'speed_age_seconds{service="status"}']) < 2, text
        assert int(values[prefix + 'speed_reports_total{service="status"}']) > 0, text
        # The endpoints take 0.1 s.
        for run in ("warm", "cold"):
            labels = f'service="status",route="read",run="{run}"'
            mean = values.get(f"{prefix}run_mean_seconds{{{labels}}}")
            if mean is not None:
                assert 0.09 < float(mean) < 0.2, text
                median = values[f'{prefix}run_seconds{{{labels},quantile="0.5"}}']
                assert 0.09 < float(median) < 0.2, text
        assert "run_mean_seconds{" in text, text


@then("no entry VM has learned run times")
def step_nothing(context):
    for state in list_states(context):
        assert not state.board.work, state.board.work
        assert format_learned_runs(state.board.work, state.clock.monotonic()) == ""


@given('settings that name "{service}" as a scarce service')
def step_scarce_setting(context, service):
    context.fleet.more_settings = (f"camphorspread.scarceServices={service}",)


def list_scarce_services(state):
    """Return the services with admission under scarce capacity at an entry VM."""
    return [item for item in ("status", "filing") if has_scarce_capacity(state.board, item)]


@then("no service has admission under scarce capacity")
def step_none_scarce(context):
    assert not any(map(list_scarce_services, list_states(context)))


@then('only "{service}" has admission under scarce capacity')
def step_only_scarce(context, service):
    for state in list_states(context):
        assert list_scarce_services(state) == [service], state.board.scarce_services
