"""Duties that every fleet has. A new duty is a module with a class, which is added to `ALL`."""

from __future__ import annotations

from gladegw.control.duties.base import DutyWork
from gladegw.control.duties.config_drift import ConfigDrift
from gladegw.control.duties.fleet_summary import FleetSummary
from gladegw.control.duties.member_cleanup import MemberCleanup

ALL: tuple[type[DutyWork], ...] = (FleetSummary, MemberCleanup, ConfigDrift)
