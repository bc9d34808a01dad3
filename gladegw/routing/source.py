"""Parses HCL blocks to a tree that records the line and column of each block and key.

The parser of the settings keeps no positions and takes tens of seconds for thousands of routes. This one
supports the part of HCL that descriptions use (blocks with labels and literal values, no expressions) and one
extension: a word before a string, as in `goes_to = pool "south"`.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, NoReturn

from gladegw.routing.findings import Finding, Place, RoutingError

MAX_FILE_LENGTH = 16 << 20  # characters
MAX_NESTING = 16  # nested blocks and lists

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
class Reference:
    """A word before a string, as in `pool "south"`."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Attribute:
    key: str
    value: Any
    place: Place


@dataclass(slots=True)
class Block:
    """`name "label" { ... }`; the label is empty if the block has none."""

    name: str
    label: str
    place: Place
    attributes: dict[str, Attribute] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    end_line: int = 0

    def of(self, *names: str) -> Iterator[Block]:
        return (block for block in self.blocks if block.name in names)

    def place_of(self, key: str) -> Place:
        attribute = self.attributes.get(key)
        return attribute.place if attribute is not None else self.place


@dataclass(frozen=True, slots=True)
class Document:
    file: str
    digest: str  # of the file's text
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
    """The tokens except blanks and comments; raises RoutingError at text that is not a token."""
    line, line_start, offset = 1, 0, 0
    match = TOKEN.match
    while offset < len(text):
        token = match(text, offset)
        if token is None:
            place = Place(file, line, offset - line_start + 1)
            raise RoutingError([Finding("R001", place, f"unexpected {text[offset]!r}")])
        kind, token_text = token.lastgroup or "", token[0]
        if kind not in ("blank", "comment"):
            yield Token(kind, token_text, line, offset - line_start + 1)
        offset = token.end()
        count = token_text.count("\n") if kind in ("line", "comment") else 0
        if count:
            line += count
            line_start = token.start() + token_text.rindex("\n") + 1
    yield Token("end", "", line, offset - line_start + 1)


class Reader:
    """Recursive-descent parser of one file."""

    def __init__(self, text: str, file: str, findings: list[Finding]) -> None:
        self.file, self.findings = file, findings
        self.remaining = tokens(text, file)
        self.current = next(self.remaining)

    def place(self) -> Place:
        return Place(self.file, self.current.line, self.current.column)

    def fail(self, wanted: str) -> NoReturn:
        got = {"line": "the end of the line", "end": "the end of the file"}.get(
            self.current.kind, self.current.text
        )
        raise RoutingError([Finding("R001", self.place(), f"expected {wanted}, found {got}")])

    def advance(self) -> Token:
        token = self.current
        if token.kind != "end":
            self.current = next(self.remaining)
        return token

    def skip_lines(self) -> None:
        while self.current.kind == "line":
            self.advance()

    def expect(self, mark: str) -> None:
        if self.current.text != mark:
            self.fail(f"{mark!r}")
        self.advance()

    def read_body(self, parent: Block, depth: int) -> None:
        """Reads attributes and blocks up to the closing brace or the end of the file."""
        while True:
            while self.current.kind == "line" or self.current.text == ",":
                self.advance()
            if self.current.kind == "end" or self.current.text == "}":
                parent.end_line = self.current.line
                return
            if self.current.kind != "word":
                self.fail("a name")
            place, name = self.place(), self.advance().text
            if self.current.text in ("=", ":"):
                self.advance()
                value = self.value(depth)
                if self.current.kind not in ("line", "end") and self.current.text not in ("}", ","):
                    self.fail("the end of the line")
                first = parent.attributes.get(name)
                if first is None:
                    parent.attributes[name] = Attribute(name, value, place)
                else:
                    duplicate = Finding("R004", place, f"{name} is set twice", first.place, "remove one")
                    self.findings.append(duplicate)
                continue
            label = self.string() if self.current.kind == "text" else ""
            if self.current.text != "{":
                self.fail("'=' or a block")
            if depth >= MAX_NESTING:
                self.fail(f"at most {MAX_NESTING} nested blocks")
            self.advance()
            block = Block(name, label, place)
            self.read_body(block, depth + 1)
            self.expect("}")
            parent.blocks.append(block)

    def string(self) -> str:
        raw = self.current.text[1:-1]
        if "\\" not in raw:
            self.advance()
            return raw

        def unescape(escape: re.Match[str]) -> str:
            char = escape[1]
            if char[0] == "u" and len(char) == 5:
                return chr(int(char[1:], 16))
            if char not in ESCAPES:
                self.fail(f"a known escape, not \\{char}")
            return ESCAPES[char]

        text = ESCAPE.sub(unescape, raw)
        self.advance()
        return text

    def value(self, depth: int) -> Any:
        if depth >= MAX_NESTING:
            self.fail(f"at most {MAX_NESTING} nested lists")
        token = self.current
        if token.kind == "text":
            return self.string()
        if token.kind == "number":
            self.advance()
            return float(token.text) if any(char in token.text for char in ".eE") else int(token.text)
        if token.kind == "word":
            self.advance()
            if self.current.kind == "text":
                return Reference(token.text, self.string())
            if token.text not in WORDS:
                raise RoutingError(
                    [
                        Finding(
                            "R001",
                            Place(self.file, token.line, token.column),
                            f"{token.text} is not a value",
                            hint="a string needs quotes",
                        )
                    ]
                )
            return WORDS[token.text]
        if token.text == "[":
            return self.read_list(depth)
        if token.text == "{":
            return self.read_object(depth)
        self.fail("a value")

    def read_list(self, depth: int) -> list[Any]:
        self.advance()
        values: list[Any] = []
        self.skip_lines()
        while self.current.text != "]":
            values.append(self.value(depth + 1))
            self.skip_lines()
            if self.current.text == ",":
                self.advance()
                self.skip_lines()
            elif self.current.text != "]":
                self.fail("',' or ']'")
        self.advance()
        return values

    def read_object(self, depth: int) -> dict[str, Any]:
        self.advance()
        pairs: dict[str, Any] = {}
        self.skip_lines()
        while self.current.text != "}":
            if self.current.kind not in ("text", "word"):
                self.fail("a key")
            place = self.place()
            key = self.string() if self.current.kind == "text" else self.advance().text
            if self.current.text not in ("=", ":"):
                self.fail("'='")
            self.advance()
            value = self.value(depth + 1)
            if key in pairs:
                self.findings.append(Finding("R004", place, f"{key} is set twice", hint="remove one"))
            pairs.setdefault(key, value)
            while self.current.kind == "line" or self.current.text == ",":
                self.advance()
        self.advance()
        return pairs


def read_source(text: str, file: str, findings: list[Finding]) -> Document:
    """Parses a file. Duplicate keys become findings; text that is not HCL raises RoutingError."""
    if len(text) > MAX_FILE_LENGTH:
        raise RoutingError([Finding("R001", Place(file, 1), "the file is too large")])
    reader = Reader(text, file, findings)
    root = Block("", "", Place(file, 1))
    reader.read_body(root, 0)
    if reader.current.kind != "end":
        reader.fail("a block")
    return Document(
        file, digest_of(text), tuple(root.blocks) if not root.attributes else _fail_outside_block(root)
    )


def _fail_outside_block(root: Block) -> NoReturn:
    stray = min(root.attributes.values(), key=lambda attribute: attribute.place)
    raise RoutingError([Finding("R002", stray.place, f"{stray.key} is outside any block")])
