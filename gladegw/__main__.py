"""`gladegw`: serves where nothing else is asked, and hands every other command to the command line's
package.

What serves imports none of the tools: `[-f FILE] [serve]` and `[-f FILE] replay CAPTURE` are read here, and
work in the platform's environment, which has no more than requirements.txt.
"""

from __future__ import annotations

import sys


def plain(arguments: list[str]) -> tuple[str | None, list[str]] | None:
    """The file of features and the words of a command that needs no tools; None: it is for the tools."""
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
    known = words in ([], ["serve"]) or (len(words) == 2 and words[0] == "replay")
    return (file, words) if known else None


def replay_file(file: str | None, path: str) -> int:
    from gladegw.net import features
    from gladegw.net.config import ConfigError
    from gladegw.replay import CaptureError, replay

    try:
        if file is not None:
            features.read(file)
        return replay(path)
    except (ConfigError, CaptureError) as fault:
        print(f"gladegw: {fault}", file=sys.stderr)
        return 2


def tools(arguments: list[str]) -> int:
    try:
        from gladegw.cli import run
    except ModuleNotFoundError as fault:
        if fault.name != "click":
            raise
        print("gladegw: this command needs the tools: pip install 'gladegw[rig]'", file=sys.stderr)
        return 2
    return run(arguments)


def main() -> int:
    found = plain(sys.argv[1:])
    if found is None:
        return tools(sys.argv[1:])
    file, words = found
    if words[:1] == ["replay"]:
        return replay_file(file, words[1])
    from gladegw.net.serve import run

    return run(file)


if __name__ == "__main__":
    sys.exit(main())
