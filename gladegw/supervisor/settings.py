"""The supervisor's file: a block `supervise`, and a block `program "VERSION"` for each that is installed."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from gladegw.coordination.supervision import Timeouts
from gladegw.net.config import ConfigError
from gladegw.net.hcl import LARGEST, Block, blocks_of


class Program(msgspec.Struct, frozen=True, kw_only=True):
    """`run` is a line for the shell that ends by `exec`, begun in `dir`."""

    dir: str
    run: str


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Times in s. `version`: what is run until the store has a word on it. `most_failed`: the share of its
    requests by which a new process may fail more than the one before. `state`: what is kept for the next
    supervisor; none: beside the temporary files, by the proxy's name."""

    version: str
    ready_s: float = 30.0
    prove_s: float = 5.0
    drain_s: float = 10.0
    hang_s: float = 10.0
    most_failed: float = 0.2
    state: str = ""
    programs: dict[str, Program] = {}

    @property
    def timeouts(self) -> Timeouts:
        return Timeouts(self.ready_s, self.prove_s, self.drain_s)


RANGES = {
    "ready_s": (1, 3600),
    "prove_s": (0.5, 3600),
    "drain_s": (0.5, 3600),
    "hang_s": (1, 3600),
    "most_failed": (0, 1),
}
VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+-]{0,63}")


def read(path: str) -> Settings:
    """Raises ConfigError: one line with file, line and reason."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > LARGEST:
            raise ConfigError(f"{path}:1: too large")
        text = raw.decode("utf-8")
        blocks = blocks_of(text)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror or fault}") from None
    except ValueError as fault:
        raise ConfigError(" ".join(f"{path}: {fault}".split())) from None
    programs: dict[str, Program] = {}
    settings: tuple[Block, Settings] | None = None
    for block in blocks:
        at = f"{path}:{block.line}"
        if block.name == "program":
            if not VERSION_PATTERN.fullmatch(block.label or ""):
                raise ConfigError(f"{at}: a program is named by its version: letters, digits, . _ + -")
            if block.label in programs:
                raise ConfigError(f"{at}: program {block.label} stands twice")
            programs[block.label] = _program(path, text, block)
        elif block.name == "supervise" and settings is None:
            settings = block, _checked(path, text, block, Settings, {})
        else:
            raise ConfigError(f"{at}: one block supervise and blocks program, not {block.name}")
    if settings is None:
        raise ConfigError(f"{path}:1: no block supervise")
    block, found = settings
    for key, (least, most) in RANGES.items():
        if not least <= getattr(found, key) <= most:
            why = f"{key} must be {least:g} to {most:g}, not {getattr(found, key):g}"
            raise ConfigError(f"{path}:{block.line_of(text, key)}: {why}")
    if found.version not in programs:
        raise ConfigError(f"{path}:{block.line_of(text, 'version')}: there is no program {found.version}")
    return msgspec.structs.replace(found, programs=programs)


def _checked(path: str, text: str, block: Block, form: type[Any], more: dict[str, Any]) -> Any:
    for key, value in block.values.items():
        at = f"{path}:{block.line_of(text, key)}"
        if key not in form.__struct_fields__ or key == "programs":
            raise ConfigError(f"{at}: unknown setting {key}")
        types = form.__annotations__[key]
        good = isinstance(value, str) if types == "str" else isinstance(value, int | float)
        if not good or isinstance(value, bool):
            raise ConfigError(f"{at}: {key} must be {'a text' if types == 'str' else 'a number'}")
    for field in msgspec.structs.fields(form):
        if field.required and field.name not in block.values:
            raise ConfigError(f"{path}:{block.line}: {block.name} needs {field.name}")
    return msgspec.convert({**block.values, **more}, form)


def _program(path: str, text: str, block: Block) -> Program:
    found: Program = _checked(path, text, block, Program, {})
    folder = Path(path).parent / found.dir
    if not folder.is_dir():
        raise ConfigError(f"{path}:{block.line_of(text, 'dir')}: dir {found.dir}: no such folder")
    if not re.search(r"(^|[;&|]\s*)exec\s", found.run):
        raise ConfigError(f"{path}:{block.line_of(text, 'run')}: run must end by exec, in one process")
    return msgspec.structs.replace(found, dir=str(folder.resolve()))
