"""The platform's store, as a stand-in that speaks its wire."""

__all__ = ["Store"]

import asyncio
import base64
import collections
import json
import time

from aiohttp import web

PAGE_SIZE = 50
"""Items of one answer."""


class Store:
    """The platform's store, with switches for its troubles.

    Attributes:
        unavailable: Answers 503 to everything.
        suppress_events: Watches hear nothing.
        read_counts: Reads served, by path.
    """

    def __init__(self):
        self.items: dict[str, tuple[str, int, int]] = {}
        self.changes: list[tuple[int, str]] = []
        self.revision = 1
        self.oldest_revision = 0
        self.unavailable = False
        self.suppress_events = False
        self.read_counts: collections.Counter = collections.Counter()

    def put(self, key: str, value: object) -> None:
        """Writes a key."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        made = self.items.get(key, ("", 0, self.revision))[2]
        self.items[key] = (text, self.revision, made)
        self.changes.append((self.revision, key))

    def delete(self, key: str) -> None:
        """Deletes a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.changes.append((self.revision, key))

    def discard_history(self) -> None:
        """Answers 410 to watches from before now."""
        self.oldest_revision = self.revision

    def _describe(self, key: str) -> dict:
        value, revision, made = self.items[key]
        return {
            "Key": key,
            "Value": value,
            "Revision": revision,
            "CreateRev": made,
        }

    async def answer(self, request: web.Request) -> web.Response:
        """Answers a read."""
        self.read_counts[request.path] += 1
        if self.unavailable:
            return web.Response(status=503)
        query = request.query
        match request.path:
            case "/kv-key":
                if query["Key"] not in self.items:
                    return web.Response(status=404)
                found = self._describe(query["Key"])
                return web.json_response(found | {"CurrentRev": self.revision})
            case "/kv-range":
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["Prefix"])
                    and key > query.get("After", "")
                )
                page = [self._describe(key) for key in keys[:PAGE_SIZE]]
                more = len(keys) > len(page)
                answer = {"Items": page, "MorePages": more}
                answer["CurrentRev"] = self.revision
                return web.json_response(answer)
        return await self._watch(query)

    async def _watch(self, query) -> web.Response:
        after, end = int(query["After"]), int(query["WaitMs"]) / 1000
        end += time.monotonic()
        while time.monotonic() < end:
            if after < self.oldest_revision:
                return web.Response(status=410)
            news = [
                c
                for c in self.changes
                if c[0] > after and not self.suppress_events
            ]
            if news or self.unavailable:
                break
            await asyncio.sleep(0.02)
        else:
            news = []
        events = [{"Key": key, "Revision": rev} for rev, key in news]
        answer = {"events": events, "CurrentRev": self.revision}
        return web.json_response(answer)
