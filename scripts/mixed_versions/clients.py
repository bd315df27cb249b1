"""Send requests to the controllers by name."""

from __future__ import annotations

from typing import Any, NamedTuple

from ploverhall.errors import UnreachableError
from ploverhall.transport.http_client import Client

REQUEST_TIMEOUT_S = 3.0
NO_ANSWER = 0


class Answer(NamedTuple):
    """A controller's answer; the status is `NO_ANSWER` if there was none."""

    status: int
    body: Any = None


class ControllerClients:
    """Holds an HTTP client for each controller."""

    def __init__(self, addresses: dict[str, tuple[str, int]]) -> None:
        self._clients = {name: Client(*address) for name, address in addresses.items()}

    async def request(self, name: str, method: str, path: str, body: Any = None) -> Answer:
        """Send one request to a controller and return its answer."""
        try:
            status, answer = await self._clients[name].call(method, path, body, REQUEST_TIMEOUT_S)
        except UnreachableError:
            return Answer(NO_ANSWER)
        return Answer(status, answer)
