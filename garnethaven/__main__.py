"""Command line of the sidecar: configuration, event loop, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from garnethaven.app.operator import Operator, OperatorError, operator_path, read_operator
from garnethaven.app.sidecar import Sidecar
from garnethaven.config import Config, ConfigError, read_config

GC_THRESHOLD = 10_000  # young-generation threshold; reference counts free nearly all objects
CHECK, TABLES, CERTS, PEERS = "check", "tables", "certs", "peers"


async def serve(config: Config, operator: Operator, path: str | None) -> None:
    loop = asyncio.get_running_loop()
    sidecar = Sidecar(config, operator, loop)
    await sidecar.start()
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar, path)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.drain)
    tune_garbage_collector()
    await sidecar.finished()


def tune_garbage_collector() -> None:
    """Make garbage collections rare and short: reference counts free nearly all objects of this process."""
    gc.collect()
    gc.freeze()  # objects that exist now stay: exclude them from collections
    gc.set_threshold(GC_THRESHOLD, 10, 10)


def reload(sidecar: Sidecar, path: str | None) -> None:
    """Read both files again and apply the changes; if either is invalid, nothing changes."""
    try:
        config = read_config(os.environ, reload=True)
        operator = read_operator(path)
    except (ConfigError, OperatorError) as problem:
        sidecar.engine.log(f"the old configuration is kept: {problem}")
        return
    needing_restart = sidecar.reload(config, operator)
    message = "configuration read anew, discovery at {}:{}".format(*config.discovery)
    sidecar.engine.log(message + "".join(f"; {name} waits for a restart" for name in needing_restart))


def check(path: str) -> int:
    """Validate an operator's file and print every problem; returns the exit code."""
    try:
        read_operator(path)
    except OperatorError as error:
        for problem in error.problems:
            print(f"garnethaven: {problem}", file=sys.stderr)
        return 2
    print(f"{path} is good")
    return 0


def show_tables(names: list[str]) -> int:
    """Print the tables of the named features, or of all, as Markdown for the operators' pages."""
    from garnethaven.app.registry import PACKAGES, table_type
    from garnethaven.tables import markdown_tables

    unknown = [name for name in names if name not in PACKAGES]
    if unknown:
        raise OperatorError([f"there is no table {name!r}" for name in unknown])
    print("\n\n".join("\n".join(markdown_tables(table_type(name), name)) for name in names or PACKAGES))
    return 0


def main(arguments: list[str] | None = None) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the event loop handles it
    argv = sys.argv[1:] if arguments is None else arguments
    try:
        if argv[:1] == [CHECK] and len(argv) == 2:
            return check(argv[1])
        if argv[:1] == [CERTS]:
            from garnethaven.keys.command import main as certs

            return certs(argv[1:])
        if argv[:1] == [PEERS]:
            from garnethaven.peers.command import main as peers

            return peers(argv[1:])
        if argv[:1] == [TABLES]:
            return show_tables(argv[1:])
        path = operator_path(argv, os.environ)
        operator = read_operator(path)
        uvloop.run(serve(read_config(os.environ), operator, path))
    except (ConfigError, OperatorError) as problem:
        print(f"garnethaven: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"garnethaven: cannot start: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
