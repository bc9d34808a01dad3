"""The duties that there are. One more is a file with a class and its line here."""

from __future__ import annotations

from gladegw.control.duties.base import Work
from gladegw.control.duties.config_drift import Compare
from gladegw.control.duties.fleet_summary import Digest
from gladegw.control.duties.member_cleanup import Sweeper

ALL: tuple[type[Work], ...] = (Digest, Sweeper, Compare)
