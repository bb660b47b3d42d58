"""Requests that arrive at a stopping VM."""

import asyncio
import random
from types import SimpleNamespace

from peridot_gateway.ingress import Ingress


class ClosingTransport:
    """A transport that was closed before its request was handled."""

    def is_closing(self) -> bool:
        return True


def test_a_request_on_a_closing_connection_is_not_routed():
    """Such a request ran at its target, and its response was lost."""
    source = SimpleNamespace()
    ingress = Ingress(None, source, None, None, None, random.Random(1))
    for transport in (None, ClosingTransport()):
        request = SimpleNamespace(
            transport=transport, arrival=SimpleNamespace(run=None)
        )
        response = asyncio.run(ingress.handle(request))
        assert response.status == 503
