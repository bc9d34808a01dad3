"""The duties that there are. One more is a file with a class and its line here."""

from __future__ import annotations

from granitepoint.control.duties.base import Work
from granitepoint.control.duties.compare import Compare
from granitepoint.control.duties.digest import Digest
from granitepoint.control.duties.sweeper import Sweeper

ALL: tuple[type[Work], ...] = (Digest, Sweeper, Compare)
