"""Policy bundles: immutable sets of files, identified by digest and stored in chunks."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from pathlib import Path, PurePath

import msgspec

CHUNK_BYTES = 256 * 1024  # four chunks fit into one request to the store
MAX_BUNDLE_BYTES = 16 << 20  # all files of a bundle together
ROUTE_FILE_SUFFIX = ".routes.hcl"


class BundleError(ValueError):
    """A bundle is invalid or does not match its digest; the message is one line."""


def pack(files: Mapping[str, str]) -> bytes:
    """Encode files as a bundle, sorted by name."""
    return msgspec.json.encode({name: files[name] for name in sorted(files)})


def digest_of(raw: bytes) -> str:
    """Return the digest that identifies a bundle."""
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


def split_chunks(raw: bytes) -> list[bytes]:
    """Split a bundle into chunks of at most CHUNK_BYTES."""
    return [raw[start : start + CHUNK_BYTES] for start in range(0, len(raw), CHUNK_BYTES)]


def assemble(digest: str, chunks: Iterable[bytes]) -> dict[str, str]:
    """Return the files of a bundle by name.

    Raises BundleError if chunks are missing, or the content is invalid or does not match the digest.
    """
    raw = b"".join(chunks)
    if not raw:
        raise BundleError(f"bundle {digest} is not in the store")
    if digest_of(raw) != digest:
        raise BundleError(f"bundle {digest} is not whole: what is there has digest {digest_of(raw)}")
    try:
        return msgspec.json.decode(raw, type=dict[str, str])
    except msgspec.DecodeError as fault:
        raise BundleError(f"bundle {digest}: {fault}") from None


def read_files(folder: str) -> dict[str, str]:
    """Read the route files of a folder, or one file; raises BundleError."""
    path = Path(folder)
    files = sorted(path.glob(f"*{ROUTE_FILE_SUFFIX}")) if path.is_dir() else [path]
    if not files:
        raise BundleError(f"{folder}: no files *{ROUTE_FILE_SUFFIX}")
    texts: dict[str, str] = {}
    for file in files:
        try:
            texts[file.name] = file.read_bytes().decode("utf-8")
        except OSError as fault:
            raise BundleError(f"{file}: {fault.strerror or fault}") from None
        except UnicodeDecodeError:
            raise BundleError(f"{file}: not UTF-8") from None
    if sum(map(len, texts.values())) > MAX_BUNDLE_BYTES:
        raise BundleError(f"{folder}: more than {MAX_BUNDLE_BYTES >> 20} MiB")
    return texts


def select_file(files: Mapping[str, str], own_file: str) -> tuple[str, str]:
    """Return name and text of the file that a proxy uses.

    This is the file with the same name as the proxy's own route file, or the only file of the bundle. Raises
    BundleError if there is none.
    """
    name = PurePath(own_file).name
    if name in files:
        return name, files[name]
    if len(files) == 1:
        return next(iter(files.items()))
    raise BundleError(f"no file {name} among {', '.join(sorted(files))}")
