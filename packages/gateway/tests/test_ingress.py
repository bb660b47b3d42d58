"""Requests at the border of a stopping VM."""

import asyncio
import random
from types import SimpleNamespace

from peridot_gateway.ingress import Ingress


class ClosingTransport:
    """Act as a transport that was closed before its request was handled."""

    def is_closing(self) -> bool:
        return True


def test_a_request_that_crossed_the_close_of_its_connection_is_not_passed_on():
    """Seen on the bench: it ran at its target, and nobody got the answer (LOST)."""
    source = SimpleNamespace()
    ingress = Ingress(None, source, None, None, None, random.Random(1))
    for transport in (None, ClosingTransport()):
        request = SimpleNamespace(transport=transport)
        response = asyncio.run(ingress.handle(request))
        assert response.status == 503
