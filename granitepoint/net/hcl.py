"""The operators' settings file: HCL blocks, read to plain values.

The parser costs more memory and time than a proxy has when it starts. So it runs in a process of its own, and
what it read is kept in the environment's folder under a digest of the text: the build leaves it there, and a
start of the proxy then parses nothing. A file that was changed since is parsed again.
"""

from __future__ import annotations

import json
import re
import sys
from hashlib import blake2b
from pathlib import Path
from typing import Any

from granitepoint.net.config import ConfigError

LARGEST = 256 * 1024  # bytes of a settings file
KEPT = "gladegw-settings"  # folder below the environment's
BLOCK = "__is_block__"  # by which the parser marks what is no attribute

MARKS = re.compile(r'"(?:\\.|[^"\\])*"|#[^\n]*|//[^\n]*|/\*.*?\*/|[][{},]', re.S)

Blocks = dict[str, dict[str, Any]]


def one_a_line(text: str) -> str:
    """The operators also write a block on one line, with commas between its settings. HCL wants lines."""
    lists = 0

    def line(mark: re.Match[str]) -> str:
        nonlocal lists
        sign = mark[0]
        lists += (sign == "[") - (sign == "]")
        return {"{": "{\n", "}": "\n}", ",": "\n"}.get(sign, sign) if not lists else sign

    return MARKS.sub(line, text)


def parse(text: str) -> Blocks:
    """The blocks by name; raises ValueError in one line."""
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
    blocks: Blocks = {}
    for name, found in raw.items():
        if not (isinstance(found, list) and found and all(isinstance(b, dict) and BLOCK in b for b in found)):
            raise ValueError(f"{name} is no block without a label")
        if len(found) > 1:
            raise ValueError(f"more than one block {name}")
        blocks[name] = {key: value for key, value in found[0].items() if key != BLOCK}
    return blocks


def _kept(text: bytes) -> Path:
    return Path(sys.prefix) / KEPT / (blake2b(text, digest_size=16).hexdigest() + ".json")


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
    """Raises ConfigError."""
    try:
        text = Path(path).read_bytes()
        if len(text) > LARGEST:
            raise ValueError("too large")
        kept = _kept(text)
        if kept.exists():
            blocks: Blocks = json.loads(kept.read_bytes())
            return blocks
        return _in_a_process(str(Path(path).resolve()))
    except OSError as fault:
        raise ConfigError(f"bad settings: {path}: {fault.strerror or fault}") from None
    except ValueError as fault:
        raise ConfigError(" ".join(f"bad settings: {path}: {fault}".split())) from None


def main() -> int:
    """Parses the file that is named, prints what it holds, and keeps that for later starts where it may."""
    try:
        text = Path(sys.argv[1]).read_bytes()
        found = json.dumps(parse(text.decode("utf-8")))
    except (OSError, ValueError) as fault:
        print(" ".join(str(fault).split()), file=sys.stderr)
        return 2
    try:
        kept = _kept(text)
        kept.parent.mkdir(exist_ok=True)
        part = kept.with_suffix(".part")
        part.write_text(found, encoding="utf-8")
        part.replace(kept)
    except OSError:
        pass  # a file system that can't be written: parsed at each start
    print(found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
