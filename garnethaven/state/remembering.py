"""The engine's hook for keyed requests, over this process's table and those of earlier processes.

At the start, the unexpired records of a dead process are copied into this process's table. The table of a
process that is still alive, as during an upgrade, is read in place, for that process goes on writing to it.
"""

from __future__ import annotations

from collections.abc import Callable

from garnethaven.brain import Balancer
from garnethaven.engine.calls import Call
from garnethaven.interface import Idempotency, PriorAttempt, Settings
from garnethaven.state.files import StateFiles, boottime
from garnethaven.state.keyed import KeyedError, KeyedTable, hash_key, table_size


def retention_by_class(settings: Settings) -> tuple[int, ...]:
    """By class, how long a key's first attempt matters: dedup window plus deadline; 0 if not keyed."""
    return tuple(
        request_class.dedup_window + request_class.deadline
        if request_class.effect is Idempotency.DEDUP
        else 0
        for request_class in settings.request_classes
    )


class KeyedAttempts:
    """Implements the engine's `KeyedSends`; writes only to this process's table."""

    def __init__(self, own_table: KeyedTable, other_tables: list[KeyedTable], balancer: Balancer) -> None:
        self.own_table = own_table
        self.other_tables = other_tables
        self.balancer = balancer
        self.found_count = 0  # requests with an earlier attempt in a table

    def prior(self, call: Call) -> PriorAttempt | None:
        if not self.own_table.retention[call.class_index]:
            return None
        now = boottime()
        key_hash = hash_key(call.dedup_key, call.class_index)
        for table in (self.own_table, *self.other_tables):
            record = table.find(key_hash, now)
            if record is not None:
                self.found_count += 1
                return PriorAttempt(-1, record.zone, record.cell, now - record.first_sent)
        return None

    def sends(self, call: Call, endpoint: int) -> None:
        server = self.balancer.servers.get(endpoint)
        if server is not None and self.own_table.retention[call.class_index]:
            key_hash = hash_key(call.dedup_key, call.class_index)
            self.own_table.record_attempt(key_hash, call.class_index, server.zone, server.cell, boottime())

    def never_ran(self, call: Call) -> None:
        if self.own_table.retention[call.class_index]:
            self.own_table.undo_attempt(hash_key(call.dedup_key, call.class_index))


def open_tables(
    files: StateFiles,
    name: str,
    boot_id: str,
    max_records: int,
    balancer: Balancer,
    log: Callable[[str], None],
) -> tuple[KeyedAttempts, int]:
    """Create this process's table and import the records of dead processes; also returns their number.

    Raises OSError if the table can't be created.
    """
    retention = retention_by_class(balancer.settings)
    size = table_size(max_records)
    own_table = KeyedTable(files.create_table(size), name, boot_id, retention)
    own_table.initialize()
    other_tables: list[KeyedTable] = []
    imported = 0
    now = boottime()
    for path, data, is_alive in files.other_tables():
        try:
            table = KeyedTable(data, name, boot_id, retention)
            table.verify()
        except KeyedError as problem:
            log(f"state: {path.name} is not used: {problem}")
            files.remove(path)
            continue
        if is_alive:
            other_tables.append(table)
            continue
        for key_hash, record in table.open_records(now):
            own_table.insert(key_hash, record)
            imported += 1
        files.remove(path)
    return KeyedAttempts(own_table, other_tables, balancer), imported
