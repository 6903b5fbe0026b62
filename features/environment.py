"""Hooks of the test run: each `@fixture.NAME` tag sets up a shared fixture."""

from behave.fixture import use_fixture_by_tag

from features.fixtures.audit import start_audit
from features.fixtures.command_line import settings_folder
from features.fixtures.control_group import control_group
from features.fixtures.data_folder import data_folder
from features.fixtures.entry_fleet import entry_fleet
from features.fixtures.platform_fleet import platform_fleet
from features.fixtures.quota_simulation import quota_simulation
from features.fixtures.session import session
from features.fixtures.virtual_time import virtual_loop

FIXTURES = {
    "fixture.entry_fleet": entry_fleet,
    "fixture.control_group": control_group,
    "fixture.data_folder": data_folder,
    "fixture.audit": start_audit,
    "fixture.session": session,
    "fixture.platform_fleet": platform_fleet,
    "fixture.quota_simulation": quota_simulation,
    "fixture.settings_folder": settings_folder,
    "fixture.virtual_loop": virtual_loop,
}


def before_tag(context, tag):
    """Set up the fixture that the tag names."""
    if tag.startswith("fixture."):
        use_fixture_by_tag(tag, context, FIXTURES)
