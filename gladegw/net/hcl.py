"""The operators' settings file: HCL blocks, read to plain values.

The parser needs more memory and time than a starting proxy has. Hence it runs in a process of its own, and
its result is cached in the environment's folder under a digest of the text. The build fills this cache, so
that a start of the proxy parses nothing. A file that was changed since is parsed again.
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

LARGEST = 256 * 1024  # bytes of a settings file
CACHE_FOLDER = "gladegw-settings"  # folder below the environment's
BLOCK = "__is_block__"  # by which the parser marks what is no attribute

MARKS = re.compile(r'"(?:\\.|[^"\\])*"|#[^\n]*|//[^\n]*|/\*.*?\*/|[][{},]', re.S)

Blocks = dict[str, dict[str, Any]]


def one_a_line(text: str) -> str:
    """Put each setting of a block on a line of its own, as HCL requires.

    Operators also write a block on one line, with commas between its settings.
    """
    lists = 0

    def line(mark: re.Match[str]) -> str:
        nonlocal lists
        sign = mark[0]
        lists += (sign == "[") - (sign == "]")
        return {"{": "{\n", "}": "\n}", ",": "\n"}.get(sign, sign) if not lists else sign

    return MARKS.sub(line, text)


@dataclass(frozen=True, slots=True)
class Block:
    """One block of a file: `name "label" { ... }`; the label is empty if there is none."""

    name: str
    label: str
    values: dict[str, Any]
    line: int  # of its head; 0 where it was not found

    def line_of(self, text: str, key: str) -> int:
        """The line number of a setting of this block, or of the block itself."""
        lines = text.splitlines()
        for number in range(max(1, self.line), len(lines) + 1):
            code = lines[number - 1].split("#", 1)[0]
            if re.search(rf"(?:^|[{{,\s]){re.escape(key)}\s*=", code):
                return number
            if number > self.line and code.lstrip().startswith("}"):
                break
        return self.line


def _heads(text: str) -> list[int]:
    """The line numbers on which blocks of the file begin, in order."""
    depth, found = 0, []
    for mark in MARKS.finditer(text):
        if mark[0] == "{":
            if depth == 0:
                found.append(text.count("\n", 0, mark.start()) + 1)
            depth += 1
        elif mark[0] == "}":
            depth -= 1
    return found


def blocks_of(text: str) -> list[Block]:
    """All blocks of a file, grouped by name.

    Raises ValueError with a message of one line.
    """
    import hcl2
    from hcl2.utils import SerializationOptions
    from lark.exceptions import LarkError

    wanted = SerializationOptions(with_comments=False, strip_string_quotes=True, preserve_heredocs=False)
    raw: dict[str, Any]
    try:
        try:
            raw = hcl2.loads(text, serialization_options=wanted)
        except LarkError as fault:
            try:
                raw = hcl2.loads(one_a_line(text), serialization_options=wanted)
            except LarkError:
                raise fault from None
    except LarkError as fault:
        line, column = getattr(fault, "line", 0), getattr(fault, "column", 0)
        place = f" at line {line}, column {column}" if line > 0 else ""
        raise ValueError(f"not HCL{place}") from None
    named = re.compile(r"(\w+)[ \t]*(?:\"[^\"]*\")?[ \t]*\{?")
    heads: dict[str, list[int]] = {}
    lines = text.splitlines()
    for head in _heads(text):
        match = named.match(lines[head - 1].strip())
        if match is not None:
            heads.setdefault(match[1], []).append(head)
    found = []
    for name, items in raw.items():
        if not (isinstance(items, list) and items and all(isinstance(item, dict) for item in items)):
            raise ValueError(f"{name} is no block")
        lines_of = heads.get(name, [])
        for number, item in enumerate(items):
            head = lines_of[number] if number < len(lines_of) else 0
            label, values = "", item
            if BLOCK not in item:
                if len(item) != 1 or not isinstance(next(iter(item.values())), dict):
                    raise ValueError(f"{name} is no block")
                ((label, values),) = item.items()
            if BLOCK not in values:
                raise ValueError(f"{name} has more than one label")
            own = {key: value for key, value in values.items() if key != BLOCK}
            found.append(Block(name, label, own, head))
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


def _in_a_process(path: str) -> Blocks:
    import subprocess

    command = [sys.executable, "-m", __name__, path]
    done = subprocess.run(command, capture_output=True, check=False, cwd=Path(__file__).parents[2])
    if done.returncode:
        fault = done.stderr.decode(errors="replace").strip().splitlines() or ["the parser failed"]
        raise ValueError(fault[-1])
    blocks: Blocks = json.loads(done.stdout)
    return blocks


def read(path: str) -> Blocks:
    """The blocks of a settings file by name, from the cache if possible.

    Raises ConfigError.
    """
    try:
        text = Path(path).read_bytes()
        if len(text) > LARGEST:
            raise ValueError("too large")
        cached = _cache_path(text)
        if cached.exists():
            blocks: Blocks = json.loads(cached.read_bytes())
            return blocks
        return _in_a_process(str(Path(path).resolve()))
    except OSError as fault:
        raise ConfigError(f"bad settings: {path}: {fault.strerror or fault}") from None
    except ValueError as fault:
        raise ConfigError(" ".join(f"bad settings: {path}: {fault}".split())) from None


def main() -> int:
    """Parse the file named on the command line, print the result and cache it if possible."""
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
        pass  # a file system that can't be written: parsed at each start
    print(found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
