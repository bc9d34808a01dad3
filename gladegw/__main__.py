"""The program `gladegw`: serves by default and passes other commands to `gladegw.cli`.

`[-f FILE] [serve]` and `[-f FILE] replay CAPTURE` are parsed here and import nothing of `gladegw.cli`: they
also work in the platform's environment, which has only the packages of requirements.txt.
"""

from __future__ import annotations

import sys


def parse_serve_or_replay(arguments: list[str]) -> tuple[str | None, list[str]] | None:
    """Return the features file and the words of a `serve` or `replay` command, None for any other command."""
    file: str | None = None
    words: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        if argument == "-f":
            file = next(rest, None)
            if file is None:
                return None
        elif argument.startswith("-f") and len(argument) > 2:
            file = argument[2:]
        elif argument.startswith("-"):
            return None
        else:
            words.append(argument)
    is_parsed_here = words in ([], ["serve"]) or (len(words) == 2 and words[0] == "replay")
    return (file, words) if is_parsed_here else None


def serve(file: str | None) -> int:
    """Serve, without the libraries that the features of the settings file do not need."""
    from gladegw.net import lean_start

    lean_start.omit_openssl_from_hashlib()
    from gladegw.net import hcl
    from gladegw.net.config import ConfigError

    try:
        blocks = hcl.read(file) if file is not None else {}
    except ConfigError as error:
        print(f"gladegw: {error}", file=sys.stderr)
        return 2
    lean_start.omit_tls(frozenset(blocks))
    from gladegw.net.serve import run

    return run(file, blocks)


def replay_file(file: str | None, path: str) -> int:
    from gladegw.net import features
    from gladegw.net.config import ConfigError
    from gladegw.replay import CaptureError, replay

    try:
        if file is not None:
            features.read(file)
        return replay(path)
    except (ConfigError, CaptureError) as error:
        print(f"gladegw: {error}", file=sys.stderr)
        return 2


def run_cli(arguments: list[str]) -> int:
    try:
        from gladegw.cli import run
    except ModuleNotFoundError as error:
        if error.name != "click":
            raise
        print("gladegw: this command needs additional packages: pip install 'gladegw[rig]'", file=sys.stderr)
        return 2
    return run(arguments)


def main() -> int:
    command = parse_serve_or_replay(sys.argv[1:])
    if command is None:
        return run_cli(sys.argv[1:])
    file, words = command
    if words[:1] == ["replay"]:
        return replay_file(file, words[1])
    return serve(file)


if __name__ == "__main__":
    sys.exit(main())
