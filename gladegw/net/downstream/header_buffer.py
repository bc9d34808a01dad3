"""The header fields of a request that is being received, held as bytes until the head is complete."""

from __future__ import annotations

SEPARATOR = b"\0"  # the parser rejects it in header fields


class HeaderBuffer:
    """Holds header fields without an object for each, which would take many times a short field."""

    __slots__ = ("_buffer", "_count")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._count = 0

    def __len__(self) -> int:
        """Bytes held."""
        return len(self._buffer)

    def append(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        self._buffer += name + SEPARATOR + value + SEPARATOR
        self._count += 1

    def clear(self) -> None:
        """Discard all fields."""
        self._buffer = bytearray()
        self._count = 0

    def fields(self) -> list[tuple[bytes, bytes]]:
        """Return the fields in order; raises ValueError if one contains the separator."""
        parts = bytes(self._buffer).split(SEPARATOR)
        if len(parts) != 2 * self._count + 1:
            raise ValueError("a header field contains a NUL byte")
        return list(zip(parts[0:-1:2], parts[1::2], strict=True))
