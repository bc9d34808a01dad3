"""Reads HCL files, such as the operators' settings file, into blocks of plain values.

The parser needs more memory and time than a proxy can spare at its start. Hence it runs in a process of its
own, and its result is cached in a folder of the Python environment under a digest of the text. The build
fills this cache, so that the start of a proxy needs no parsing. A file that has changed since is parsed
anew.
"""

from __future__ import annotations

import json
import re
import sys
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

from gladegw.net.config import ConfigError

MAX_FILE_BYTES = 256 * 1024  # size limit of a file
CACHE_FOLDER = "gladegw-settings"  # within the Python environment
BLOCK_MARKER_KEY = "__is_block__"  # key that the parser adds to the values of each block

TOKENS = re.compile(r'"(?:\\.|[^"\\])*"|#[^\n]*|//[^\n]*|/\*.*?\*/|[][{},]', re.S)

Blocks = dict[str, dict[str, Any]]


def put_settings_on_own_lines(text: str) -> str:
    """Put each setting of a block on a line of its own, as HCL requires.

    This accepts blocks that operators write on one line, with commas between the settings.
    """
    list_depth = 0

    def line(token: re.Match[str]) -> str:
        nonlocal list_depth
        symbol = token[0]
        list_depth += (symbol == "[") - (symbol == "]")
        return {"{": "{\n", "}": "\n}", ",": "\n"}.get(symbol, symbol) if not list_depth else symbol

    return TOKENS.sub(line, text)


@dataclass(frozen=True, slots=True)
class Block:
    """One block of a file: `name "label" { ... }`; the label is empty if there is none."""

    name: str
    label: str
    values: dict[str, Any]
    line: int  # on which the block begins; 0 if it was not found

    def line_of(self, text: str, key: str) -> int:
        """The line number of a setting of this block; that of the block if the setting is not found."""
        lines = text.splitlines()
        for number in range(max(1, self.line), len(lines) + 1):
            code = lines[number - 1].split("#", 1)[0]
            if re.search(rf"(?:^|[{{,\s]){re.escape(key)}\s*=", code):
                return number
            if number > self.line and code.lstrip().startswith("}"):
                break
        return self.line


def _block_lines(text: str) -> list[int]:
    """The line numbers on which top-level blocks of the file begin, in order."""
    depth, found = 0, []
    for token in TOKENS.finditer(text):
        if token[0] == "{":
            if depth == 0:
                found.append(text.count("\n", 0, token.start()) + 1)
            depth += 1
        elif token[0] == "}":
            depth -= 1
    return found


def blocks_of(text: str) -> list[Block]:
    """All blocks of a file, grouped by name.

    Raises ValueError with a message of one line.
    """
    import hcl2
    from hcl2.utils import SerializationOptions
    from lark.exceptions import LarkError

    options = SerializationOptions(with_comments=False, strip_string_quotes=True, preserve_heredocs=False)
    raw: dict[str, Any]
    try:
        try:
            raw = hcl2.loads(text, serialization_options=options)
        except LarkError as fault:
            try:
                raw = hcl2.loads(put_settings_on_own_lines(text), serialization_options=options)
            except LarkError:
                raise fault from None
    except LarkError as fault:
        line, column = getattr(fault, "line", 0), getattr(fault, "column", 0)
        place = f" at line {line}, column {column}" if line > 0 else ""
        raise ValueError(f"not HCL{place}") from None
    block_name = re.compile(r"(\w+)[ \t]*(?:\"[^\"]*\")?[ \t]*\{?")
    lines_by_name: dict[str, list[int]] = {}
    lines = text.splitlines()
    for block_line in _block_lines(text):
        match = block_name.match(lines[block_line - 1].strip())
        if match is not None:
            lines_by_name.setdefault(match[1], []).append(block_line)
    found = []
    for name, items in raw.items():
        if not (isinstance(items, list) and items and all(isinstance(item, dict) for item in items)):
            raise ValueError(f"{name} is no block")
        block_lines = lines_by_name.get(name, [])
        for number, item in enumerate(items):
            block_line = block_lines[number] if number < len(block_lines) else 0
            label, values = "", item
            if BLOCK_MARKER_KEY not in item:
                if len(item) != 1 or not isinstance(next(iter(item.values())), dict):
                    raise ValueError(f"{name} is no block")
                ((label, values),) = item.items()
            if BLOCK_MARKER_KEY not in values:
                raise ValueError(f"{name} has more than one label")
            settings = {key: value for key, value in values.items() if key != BLOCK_MARKER_KEY}
            found.append(Block(name, label, settings, block_line))
    return found


def parse(text: str) -> Blocks:
    """The blocks of a settings file by name.

    Raises ValueError with a message of one line.
    """
    blocks: Blocks = {}
    for block in blocks_of(text):
        if block.label:
            raise ValueError(f"{block.name} is no block without a label")
        if block.name in blocks:
            raise ValueError(f"more than one block {block.name}")
        blocks[block.name] = block.values
    return blocks


def _cache_path(text: bytes) -> Path:
    return Path(sys.prefix) / CACHE_FOLDER / (blake2b(text, digest_size=16).hexdigest() + ".json")


def _parse_in_subprocess(path: str) -> Blocks:
    import subprocess

    command = [sys.executable, "-m", __name__, path]
    completed = subprocess.run(command, capture_output=True, check=False, cwd=Path(__file__).parents[2])
    if completed.returncode:
        fault = completed.stderr.decode(errors="replace").strip().splitlines() or ["the parser failed"]
        raise ValueError(fault[-1])
    blocks: Blocks = json.loads(completed.stdout)
    return blocks


def read(path: str) -> Blocks:
    """The blocks of a settings file by name, from the cache if possible.

    Raises ConfigError.
    """
    try:
        text = Path(path).read_bytes()
        if len(text) > MAX_FILE_BYTES:
            raise ValueError("too large")
        cached = _cache_path(text)
        if cached.exists():
            blocks: Blocks = json.loads(cached.read_bytes())
            return blocks
        return _parse_in_subprocess(str(Path(path).resolve()))
    except OSError as fault:
        raise ConfigError(f"bad settings: {path}: {fault.strerror or fault}") from None
    except ValueError as fault:
        raise ConfigError(" ".join(f"bad settings: {path}: {fault}".split())) from None


def main() -> int:
    """Parse the file named on the command line, print the result as JSON and cache it if possible."""
    try:
        text = Path(sys.argv[1]).read_bytes()
        found = json.dumps(parse(text.decode("utf-8")))
    except (OSError, ValueError) as fault:
        print(" ".join(str(fault).split()), file=sys.stderr)
        return 2
    try:
        cached = _cache_path(text)
        cached.parent.mkdir(exist_ok=True)
        part = cached.with_suffix(".part")
        part.write_text(found, encoding="utf-8")
        part.replace(cached)
    except OSError:
        pass  # the file system is read-only: the file is parsed at each start
    print(found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
