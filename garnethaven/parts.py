"""What a program is made of, for its features. Made in `app/`, in this order; nothing is imported for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from garnethaven.addresses import Address
    from garnethaven.config import Config
    from garnethaven.engine.engine import Engine
    from garnethaven.interface import Endpoint, ListKind
    from garnethaven.limits.lists import FreshList
    from garnethaven.net.listener import Listener
    from garnethaven.net.transport import HttpTransport, MakePool

    Learn = Callable[[ListKind, list[tuple[Endpoint, Address | None]]], None]


class Discovery(Protocol):
    """The platform's list."""

    fresh: FreshList


@dataclass
class Parts:
    """`make_pool` and `learn` may be replaced by a feature before they are used."""

    config: Config
    loop: asyncio.AbstractEventLoop
    engine: Engine
    make_pool: MakePool
    figures: Callable[[], dict[str, object]]
    transport: HttpTransport = field(init=False)
    learn: Learn = field(init=False)
    discovery: Discovery = field(init=False)
    listener: Listener = field(init=False)
