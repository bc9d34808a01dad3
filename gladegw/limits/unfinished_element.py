"""The limit of the bytes that a message parser takes without completing an element of the message.

An element is a header or trailer field, a part of a body, or the end of a head or a message. The HTTP parser
retains an unfinished field, and a peer that never ends an element makes no progress towards a whole message.
"""

from __future__ import annotations

MAX_ELEMENT_BYTES = 32 * 1024


class ElementTooLongError(ValueError):
    """A peer has sent more than MAX_ELEMENT_BYTES without completing an element."""

    def __init__(self) -> None:
        super().__init__(f"an element of the message is longer than {MAX_ELEMENT_BYTES} bytes")


class UnfinishedElement:
    """Counts the bytes of one connection that were parsed since an element was last completed.

    Bytes that follow a completed element in the same read are not counted, so that a connection retains at
    most MAX_ELEMENT_BYTES and two reads.
    """

    __slots__ = ("_completed", "_size")

    def __init__(self) -> None:
        self._size = 0
        self._completed = False

    @property
    def size(self) -> int:
        """Bytes parsed since an element was last completed, as far as they are counted."""
        return self._size

    def on_completed(self) -> None:
        """Note that the parser has completed an element of the bytes that it is being given."""
        self._completed = True

    def on_parsed(self, size: int) -> None:
        """Count a read of `size` bytes once it has been parsed; raises ElementTooLongError."""
        self._size = 0 if self._completed else self._size + size
        self._completed = False
        if self._size > MAX_ELEMENT_BYTES:
            raise ElementTooLongError
