"""The supervisor's settings file: one block `supervise` and a block `program "VERSION"` for each version."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from gladegw.coordination.supervision import Timeouts
from gladegw.net.config import ConfigError
from gladegw.net.hcl import MAX_FILE_BYTES, Block, blocks_of


class Program(msgspec.Struct, frozen=True, kw_only=True):
    """An installed version: `run` is a shell command line ending in `exec`, run in directory `dir`."""

    dir: str
    run: str


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of the block `supervise`, and the programs by version.

    All times are in seconds. `version` runs until the store requests a version. `most_failed` is the maximum
    increase of the fraction of failed requests over that of the previous process. `state` is the path of the
    state file; empty: a file named after the proxy in the directory of temporary files.
    """

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
        """The timeouts of a replacement."""
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
    """Read and check a settings file.

    Raises ConfigError, whose message is one line with path, line number and reason.
    """
    text, blocks = _read_blocks(path)
    programs: dict[str, Program] = {}
    settings: tuple[Block, Settings] | None = None
    for block in blocks:
        position = f"{path}:{block.line}"
        if block.name == "program":
            if not VERSION_PATTERN.fullmatch(block.label or ""):
                raise ConfigError(
                    f"{position}: the label of a program block must be a version: letters, digits, . _ + -"
                )
            if block.label in programs:
                raise ConfigError(f"{position}: duplicate program block {block.label}")
            programs[block.label] = _program(path, text, block)
        elif block.name == "supervise" and settings is None:
            settings = block, _convert_block(path, text, block, Settings)
        else:
            raise ConfigError(
                f"{position}: unexpected block {block.name}; expected one supervise block and program blocks"
            )
    if settings is None:
        raise ConfigError(f"{path}:1: there is no supervise block")
    block, checked = settings
    _check_ranges(path, text, block, checked)
    if checked.version not in programs:
        raise ConfigError(f"{path}:{block.line_of(text, 'version')}: there is no program {checked.version}")
    return msgspec.structs.replace(checked, programs=programs)


def _read_blocks(path: str) -> tuple[str, list[Block]]:
    """Return a file's text and its blocks; raises ConfigError."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > MAX_FILE_BYTES:
            raise ConfigError(f"{path}:1: the file is too large")
        text = raw.decode("utf-8")
        return text, blocks_of(text)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise ConfigError(" ".join(f"{path}: {error}".split())) from None


def _check_ranges(path: str, text: str, block: Block, settings: Settings) -> None:
    """Raise ConfigError for a number out of its range."""
    for key, (minimum, maximum) in RANGES.items():
        value = getattr(settings, key)
        if not minimum <= value <= maximum:
            reason = f"{key} must be {minimum:g} to {maximum:g}, not {value:g}"
            raise ConfigError(f"{path}:{block.line_of(text, key)}: {reason}")


def _convert_block(path: str, text: str, block: Block, struct: type[Any]) -> Any:
    """Check a block's keys and types and convert it to `struct`; raises ConfigError."""
    for key, value in block.values.items():
        position = f"{path}:{block.line_of(text, key)}"
        if key not in struct.__struct_fields__ or key == "programs":
            raise ConfigError(f"{position}: unknown setting {key}")
        annotation = struct.__annotations__[key]
        valid = isinstance(value, str) if annotation == "str" else isinstance(value, int | float)
        if not valid or isinstance(value, bool):
            raise ConfigError(
                f"{position}: {key} must be {'a string' if annotation == 'str' else 'a number'}"
            )
    for field in msgspec.structs.fields(struct):
        if field.required and field.name not in block.values:
            raise ConfigError(f"{path}:{block.line}: {block.name} needs {field.name}")
    return msgspec.convert(block.values, struct)


def _program(path: str, text: str, block: Block) -> Program:
    """Return the program of a block, with the absolute path of its directory; raises ConfigError."""
    program: Program = _convert_block(path, text, block, Program)
    directory = Path(path).parent / program.dir
    if not directory.is_dir():
        raise ConfigError(f"{path}:{block.line_of(text, 'dir')}: dir {program.dir}: no such directory")
    if not re.search(r"(^|[;&|]\s*)exec\s", program.run):
        raise ConfigError(
            f"{path}:{block.line_of(text, 'run')}: run must end with exec, so that it is a single process"
        )
    return msgspec.structs.replace(program, dir=str(directory.resolve()))
