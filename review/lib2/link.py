"""A link to a worker that can be cut, as a proxy in front of the worker."""

__all__ = ["Link"]

import asyncio
import contextlib

READ_SIZE = 1 << 16


class Link:
    """Passes bytes on in both directions, and holds them while it is cut.

    Connections stay open and silent meanwhile, as behind a partition. What was
    sent arrives once the link is whole again.

    Attributes:
        port: Port of the worker.
    """

    def __init__(self, port: int):
        """Creates a link that is whole."""
        self.port = port
        self._whole = asyncio.Event()
        self._whole.set()

    def cut(self) -> None:
        """Holds all bytes from now on."""
        self._whole.clear()

    def mend(self) -> None:
        """Passes on what was held, and all bytes from now on."""
        self._whole.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects a caller with the worker."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._whole.wait()
            answers, requests = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
            await asyncio.gather(
                self._pump(reader, requests), self._pump(answers, writer)
            )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_SIZE):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
            await self._whole.wait()
        writer.close()
