"""Reads HCL blocks to a tree in which each block, key and value knows its line and column.

The settings' own parser keeps no positions and takes tens of seconds for thousands of routes. This reads the
part of HCL that descriptions use (blocks with labels, and literal values; nothing is computed), and one form
more: a word before a text, as in `goes_to = pool "south"`.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, NoReturn

from gladegw.routing.findings import Finding, Place, RoutingError

LARGEST = 16 << 20  # bytes of a file
DEEPEST = 16  # blocks and lists in one another

TOKEN = re.compile(
    r"(?P<blank>[ \t\r]+)|(?P<comment>\#[^\n]*|//[^\n]*|/\*.*?\*/)|(?P<line>\n)"
    r'|(?P<text>"(?:\\.|[^"\\\n])*")|(?P<number>-?[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?(?![\w.]))'
    r"|(?P<word>[A-Za-z_][\w-]*)|(?P<mark>[{}\[\]=,:])",
    re.S,
)
ESCAPE = re.compile(r"\\(u[0-9A-Fa-f]{4}|.)", re.S)
ESCAPES = {"n": "\n", "t": "\t", "r": "\r", '"': '"', "\\": "\\"}
WORDS: dict[str, Any] = {"true": True, "false": False, "null": None}


@dataclass(frozen=True, slots=True)
class Named:
    """A word before a text: `pool "south"`."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Attribute:
    key: str
    value: Any
    place: Place


@dataclass(slots=True)
class Block:
    """`name "label" { ... }`; the label is empty where there is none."""

    name: str
    label: str
    place: Place
    attributes: dict[str, Attribute] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    end_line: int = 0

    def of(self, *names: str) -> Iterator[Block]:
        return (block for block in self.blocks if block.name in names)

    def place_of(self, key: str) -> Place:
        found = self.attributes.get(key)
        return found.place if found is not None else self.place


@dataclass(frozen=True, slots=True)
class Document:
    file: str
    digest: str  # of the text
    blocks: tuple[Block, ...]


@dataclass(frozen=True, slots=True)
class Token:
    kind: str
    text: str
    line: int
    column: int


def digest_of(text: str) -> str:
    return blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()


def tokens(text: str, file: str) -> Iterator[Token]:
    """All tokens but blanks and comments; raises RoutingError at what is none."""
    line, begun, at = 1, 0, 0
    match = TOKEN.match
    while at < len(text):
        found = match(text, at)
        if found is None:
            place = Place(file, line, at - begun + 1)
            raise RoutingError([Finding("R001", place, f"unexpected {text[at]!r}")])
        kind, word = found.lastgroup or "", found[0]
        if kind not in ("blank", "comment"):
            yield Token(kind, word, line, at - begun + 1)
        at = found.end()
        count = word.count("\n") if kind in ("line", "comment") else 0
        if count:
            line += count
            begun = found.start() + word.rindex("\n") + 1
    yield Token("end", "", line, at - begun + 1)


class Reader:
    """A descent over the tokens of one file."""

    def __init__(self, text: str, file: str, findings: list[Finding]) -> None:
        self.file, self.findings = file, findings
        self.coming = tokens(text, file)
        self.now = next(self.coming)

    def place(self) -> Place:
        return Place(self.file, self.now.line, self.now.column)

    def fail(self, wanted: str) -> NoReturn:
        got = {"line": "the end of the line", "end": "the end of the file"}.get(self.now.kind, self.now.text)
        raise RoutingError([Finding("R001", self.place(), f"wanted {wanted}, found {got}")])

    def step(self) -> Token:
        token = self.now
        if token.kind != "end":
            self.now = next(self.coming)
        return token

    def skip_lines(self) -> None:
        while self.now.kind == "line":
            self.step()

    def take(self, mark: str) -> None:
        if self.now.text != mark:
            self.fail(f"{mark!r}")
        self.step()

    def body(self, into: Block, depth: int) -> None:
        """Attributes and blocks up to the closing brace or the end of the file."""
        while True:
            while self.now.kind == "line" or self.now.text == ",":
                self.step()
            if self.now.kind == "end" or self.now.text == "}":
                into.end_line = self.now.line
                return
            if self.now.kind != "word":
                self.fail("a name")
            place, name = self.place(), self.step().text
            if self.now.text in ("=", ":"):
                self.step()
                value = self.value(depth)
                if self.now.kind not in ("line", "end") and self.now.text not in ("}", ","):
                    self.fail("the end of the line")
                before = into.attributes.get(name)
                if before is None:
                    into.attributes[name] = Attribute(name, value, place)
                else:
                    found = Finding("R004", place, f"{name} stands twice", before.place, "remove one")
                    self.findings.append(found)
                continue
            label = self.string() if self.now.kind == "text" else ""
            if self.now.text != "{":
                self.fail("'=' or a block")
            if depth >= DEEPEST:
                self.fail("fewer blocks in one another")
            self.step()
            block = Block(name, label, place)
            self.body(block, depth + 1)
            self.take("}")
            into.blocks.append(block)

    def string(self) -> str:
        raw = self.now.text[1:-1]
        if "\\" not in raw:
            self.step()
            return raw

        def plain(found: re.Match[str]) -> str:
            mark = found[1]
            if mark[0] == "u" and len(mark) == 5:
                return chr(int(mark[1:], 16))
            if mark not in ESCAPES:
                self.fail(f"a known escape, not \\{mark}")
            return ESCAPES[mark]

        text = ESCAPE.sub(plain, raw)
        self.step()
        return text

    def value(self, depth: int) -> Any:
        if depth >= DEEPEST:
            self.fail("fewer lists in one another")
        now = self.now
        if now.kind == "text":
            return self.string()
        if now.kind == "number":
            self.step()
            return float(now.text) if any(mark in now.text for mark in ".eE") else int(now.text)
        if now.kind == "word":
            self.step()
            if self.now.kind == "text":
                return Named(now.text, self.string())
            if now.text not in WORDS:
                raise RoutingError(
                    [
                        Finding(
                            "R001",
                            Place(self.file, now.line, now.column),
                            f"{now.text} is no value",
                            hint="a text stands in quotes",
                        )
                    ]
                )
            return WORDS[now.text]
        if now.text == "[":
            return self.items(depth)
        if now.text == "{":
            return self.pairs(depth)
        self.fail("a value")

    def items(self, depth: int) -> list[Any]:
        self.step()
        found: list[Any] = []
        self.skip_lines()
        while self.now.text != "]":
            found.append(self.value(depth + 1))
            self.skip_lines()
            if self.now.text == ",":
                self.step()
                self.skip_lines()
            elif self.now.text != "]":
                self.fail("',' or ']'")
        self.step()
        return found

    def pairs(self, depth: int) -> dict[str, Any]:
        self.step()
        found: dict[str, Any] = {}
        self.skip_lines()
        while self.now.text != "}":
            if self.now.kind not in ("text", "word"):
                self.fail("a key")
            place = self.place()
            key = self.string() if self.now.kind == "text" else self.step().text
            if self.now.text not in ("=", ":"):
                self.fail("'='")
            self.step()
            value = self.value(depth + 1)
            if key in found:
                self.findings.append(Finding("R004", place, f"{key} stands twice", hint="remove one"))
            found.setdefault(key, value)
            while self.now.kind == "line" or self.now.text == ",":
                self.step()
        self.step()
        return found


def read_source(text: str, file: str, findings: list[Finding]) -> Document:
    """The tree of a file. Keys that stand twice become findings; what is no HCL raises RoutingError."""
    if len(text) > LARGEST:
        raise RoutingError([Finding("R001", Place(file, 1), "the file is too large")])
    reader = Reader(text, file, findings)
    root = Block("", "", Place(file, 1))
    reader.body(root, 0)
    if reader.now.kind != "end":
        reader.fail("a block")
    return Document(file, digest_of(text), tuple(root.blocks) if not root.attributes else _only(root))


def _only(root: Block) -> NoReturn:
    stray = min(root.attributes.values(), key=lambda found: found.place)
    raise RoutingError([Finding("R002", stray.place, f"{stray.key} stands outside any block")])
