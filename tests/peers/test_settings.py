"""The tables `[peers]` and `[tenants]`: validation, no imports while off, and the `bound` command."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnethaven.__main__ import main
from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.peers.table import Peers
from garnethaven.tenants.table import Tenants
from tests.rigs.test_rigs import imported_at_start

ROOT = Path(__file__).parent.parent.parent
KEY = 'key = "000102030405060708090a0b0c0d0e0f"\n'


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert imported_at_start("garnethaven.peers", "garnethaven.gossip", "garnethaven.tenants") == "[]"


def test_the_example_is_good() -> None:
    tables = read_operator(str(ROOT / "deploy" / "examples" / "peers.toml"))
    peers, tenants = tables["peers"], tables["tenants"]
    assert isinstance(peers, Peers) and isinstance(tenants, Tenants)
    assert peers.members[1].name == "n1" and peers.members[1].at == ("127.0.0.2", 7946)
    assert tenants.allowances[0].per_s == 100


@pytest.mark.parametrize(
    ("text", "field", "word"),
    [
        ('[peers]\nlisten = "127.0.0.1:1"\n', "peers.key", "missing"),
        ('[peers]\nlisten = "there"\n' + KEY, "peers.listen", "address"),
        ('[peers]\nkey = "0102"\n', "peers.key", "16 bytes"),
        ('[peers]\nmembers = ["n1"]\n', "peers.members", "n1"),
        ('[peers]\nmembers = ["n1=127.0.0.1:1", "n1=127.0.0.1:2"]\n', "peers.members", "twice"),
        ('[peers]\nmembers = ["=127.0.0.1:1"]\n', "peers.members", "name"),
        ("[peers]\nperiod_s = 0.01\n", "peers.period_s", "0.05 to 10"),
        ("[peers]\nloss_most = 0.9\n", "peers.loss_most", "0 to 0.5"),
        ("[peers]\nforget_s = nan\n", "peers.forget_s", "10 to 86,400"),
        (
            '[peers]\nmembers_most = 2\nmembers = ["a=127.0.0.1:1", "b=127.0.0.1:2"]\n',
            "peers.members_most",
            "2",
        ),
        ("[tenants]\nothers_per_s = -1\n", "tenants.others_per_s", "0 to"),
        ("[tenants]\nslots = 0\n", "tenants.slots", "1 to"),
        ('[[tenants.allowances]]\nname = "a"\n', "tenants.allowances", "per_s"),
        ('[[tenants.allowances]]\nname = ""\nper_s = 1\n', "tenants.allowances", "name"),
        (
            '[[tenants.allowances]]\nname = "a"\nper_s = 1\n[[tenants.allowances]]\nname = "a"\nper_s = 2\n',
            "tenants.allowances",
            "twice",
        ),
    ],
)
def test_a_bad_field_is_named(text: str, field: str, word: str, tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text(text)
    with pytest.raises(OperatorError) as caught:
        read_operator(str(path))
    assert f"'{field}'" in str(caught.value) and word in str(caught.value)


def test_the_bound_is_told_by_a_command(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["peers", "bound", "--members", "24", "--per-s", "100", "--burst", "100"]
    assert main(arguments) == 0
    output = capsys.readouterr().out
    assert "124.0 requests at the most, in any span" in output and "4.17" in output
    assert main([*arguments, "--loss", "0.999"]) == 0
    assert "does not reach all" in capsys.readouterr().out
    assert main([*arguments, "--cut", "2"]) == 2
    assert "--cut" in capsys.readouterr().err
    assert main(["peers", "bound", "--members", "0", "--per-s", "1"]) == 2
