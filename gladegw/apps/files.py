"""Reads folders of application descriptions and writes generated files."""

from __future__ import annotations

import os
from pathlib import Path

from gladegw.apps.model import Landscape
from gladegw.apps.read import read_texts
from gladegw.routing.findings import Finding, Place

MAX_FILES = 10_000


class FolderError(Exception):
    """A folder or file can't be read or written. The message is one line."""


def read_hcl_texts(folder: str | Path) -> dict[str, str]:
    """Texts of a folder's HCL files by path. Raises FolderError."""
    directory = Path(folder)
    if not directory.is_dir():
        raise FolderError(f"{directory}: no such folder")
    texts: dict[str, str] = {}
    for path in sorted(directory.glob("*.hcl"))[:MAX_FILES]:
        try:
            texts[str(path)] = path.read_bytes().decode("utf-8")
        except UnicodeDecodeError:
            raise FolderError(f"{path}: not UTF-8") from None
        except OSError as fault:
            raise FolderError(f"{path}: {fault.strerror or fault}") from None
    if not texts:
        raise FolderError(f"{directory}: holds no .hcl file")
    return texts


def read_folder(
    folder: str | Path, findings: list[Finding], endpoints: str | Path | None = None
) -> Landscape:
    """Reads the descriptions and the endpoint list to check their selectors against.

    `endpoints` names a file with the list in discovery's form; without it, the folder's `endpoints.json` is
    used if there is one.
    """
    endpoints_path = Path(endpoints) if endpoints is not None else Path(folder) / "endpoints.json"
    endpoints_file: tuple[str, str] | None = None
    if endpoints is not None or endpoints_path.is_file():
        try:
            endpoints_file = str(endpoints_path), endpoints_path.read_bytes().decode("utf-8")
        except UnicodeDecodeError:
            findings.append(Finding("R001", Place(str(endpoints_path), 1), "not UTF-8"))
        except OSError as fault:
            raise FolderError(f"{endpoints_path}: {fault.strerror or fault}") from None
    return read_texts(read_hcl_texts(folder), findings, endpoints_file)


def write_files(folder: str | Path, files: dict[str, str], stale_pattern: str = "*.routes.hcl") -> list[str]:
    """Replaces each changed file atomically, and removes files left from an earlier build: those that match
    `stale_pattern` but are not in `files`. Returns the names of all changed and removed files."""
    directory = Path(folder)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        changed = []
        for name, text in files.items():
            path = directory / name
            if path.is_file() and path.read_text(encoding="utf-8") == text:
                continue
            temporary = path.with_name(path.name + ".part")
            with temporary.open("w", encoding="utf-8") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(path)
            changed.append(name)
        for path in directory.glob(stale_pattern):
            if path.name not in files:
                path.unlink()
                changed.append(path.name)
    except OSError as fault:
        raise FolderError(f"{fault.filename or directory}: {fault.strerror or fault}") from None
    return sorted(changed)
