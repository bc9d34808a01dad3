"""Folders of descriptions, read and written."""

from __future__ import annotations

import os
from pathlib import Path

from gladegw.apps.model import Landscape
from gladegw.apps.read import read_texts
from gladegw.routing.findings import Finding, Place

MOST_FILES = 10_000


class FolderError(Exception):
    """A folder or file can't be used; the message is one line."""


def texts_of(folder: str | Path) -> dict[str, str]:
    """The HCL files of a folder, by their paths; raises FolderError."""
    where = Path(folder)
    if not where.is_dir():
        raise FolderError(f"{where}: no such folder")
    found: dict[str, str] = {}
    for path in sorted(where.glob("*.hcl"))[:MOST_FILES]:
        try:
            found[str(path)] = path.read_bytes().decode("utf-8")
        except UnicodeDecodeError:
            raise FolderError(f"{path}: not UTF-8") from None
        except OSError as fault:
            raise FolderError(f"{path}: {fault.strerror or fault}") from None
    if not found:
        raise FolderError(f"{where}: holds no .hcl file")
    return found


def read_folder(
    folder: str | Path, findings: list[Finding], endpoints: str | Path | None = None
) -> Landscape:
    """`endpoints` is a list in discovery's form; `endpoints.json` in the folder, if none is named."""
    listed = Path(endpoints) if endpoints is not None else Path(folder) / "endpoints.json"
    told: tuple[str, str] | None = None
    if endpoints is not None or listed.is_file():
        try:
            told = str(listed), listed.read_bytes().decode("utf-8")
        except UnicodeDecodeError:
            findings.append(Finding("R001", Place(str(listed), 1), "not UTF-8"))
        except OSError as fault:
            raise FolderError(f"{listed}: {fault.strerror or fault}") from None
    return read_texts(texts_of(folder), findings, told)


def write_all(folder: str | Path, files: dict[str, str], old: str = "*.routes.hcl") -> list[str]:
    """Each file is put in its place whole; files of an earlier build that are no longer made go. Returns the
    names of what was changed."""
    where = Path(folder)
    try:
        where.mkdir(parents=True, exist_ok=True)
        changed = []
        for name, text in files.items():
            path = where / name
            if path.is_file() and path.read_text(encoding="utf-8") == text:
                continue
            part = path.with_name(path.name + ".part")
            with part.open("w", encoding="utf-8") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            part.replace(path)
            changed.append(name)
        for path in where.glob(old):
            if path.name not in files:
                path.unlink()
                changed.append(path.name)
    except OSError as fault:
        raise FolderError(f"{fault.filename or where}: {fault.strerror or fault}") from None
    return sorted(changed)
