"""A process loads only the libraries that its settings ask for."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.loopback import ROOT, Backend, proxy, run

from gladegw.net import lean_start


@pytest.mark.parametrize(
    "features", ["", (ROOT / "deploy" / "malabar.hcl").read_text()], ids=["none", "deployed"]
)
def test_a_process_without_tls_in_its_settings_does_not_load_openssl(features: str) -> None:
    """Guards against memory that is gone before the first client (report 9346bc): 5 MB of 32."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}, features=features) as node:
            mapped = Path(f"/proc/{node.process.pid}/maps").read_text()
            assert "libssl" not in mapped
            assert "libcrypto" not in mapped

    run(test())


def test_tls_is_loaded_where_a_block_may_need_it() -> None:
    assert not lean_start.omit_tls(frozenset(("figures", "tls")))
    assert not lean_start.omit_tls(frozenset(("routes", "coordination")))


def test_the_placeholder_refuses_to_make_a_context() -> None:
    with pytest.raises(lean_start.TlsNotLoadedError):
        lean_start.placeholder().create_default_context()
