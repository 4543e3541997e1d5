"""Fake of the platform's key-value store, with its HTTP protocol."""

__all__ = ["Store"]

import asyncio
import base64
import collections
import json
import time

from aiohttp import web

PAGE_SIZE = 50
"""Maximum number of items in a response to a range read."""


class Store:
    """A key-value store with revisions, watches and fault injection.

    Attributes:
        items: By key: the encoded value, the revision of its last change, and
            the revision at which it was created.
        changes: Revision and key of each change.
        revision: Revision of the last change.
        oldest_revision: Oldest revision from which a watch can start.
        unavailable: Whether every request gets status 503.
        suppress_events: Whether watches report no changes.
        read_counts: Number of requests so far, by path.
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
        """Writes the value of a key as JSON, in a new revision."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        created = self.items.get(key, ("", 0, self.revision))[2]
        self.items[key] = (text, self.revision, created)
        self.changes.append((self.revision, key))

    def delete(self, key: str) -> None:
        """Deletes a key, in a new revision."""
        self.revision += 1
        self.items.pop(key, None)
        self.changes.append((self.revision, key))

    def discard_history(self) -> None:
        """Discards the history, so that watches from before now get 410."""
        self.oldest_revision = self.revision

    def _describe_item(self, key: str) -> dict:
        value, revision, created = self.items[key]
        return {
            "Key": key,
            "Value": value,
            "Revision": revision,
            "CreateRev": created,
        }

    async def handle_request(self, request: web.Request) -> web.Response:
        """Responds to a read of a key, a range read or a watch."""
        self.read_counts[request.path] += 1
        if self.unavailable:
            return web.Response(status=503)
        query = request.query
        match request.path:
            case "/kv-key":
                if query["Key"] not in self.items:
                    return web.Response(status=404)
                item = self._describe_item(query["Key"])
                return web.json_response(item | {"CurrentRev": self.revision})
            case "/kv-range":
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["Prefix"])
                    and key > query.get("After", "")
                )
                page = [self._describe_item(key) for key in keys[:PAGE_SIZE]]
                more = len(keys) > len(page)
                body = {"Items": page, "MorePages": more}
                body["CurrentRev"] = self.revision
                return web.json_response(body)
        return await self._watch(query)

    async def _watch(self, query) -> web.Response:
        after, deadline = int(query["After"]), int(query["WaitMs"]) / 1000
        deadline += time.monotonic()
        while time.monotonic() < deadline:
            if after < self.oldest_revision:
                return web.Response(status=410)
            new_changes = [
                change
                for change in self.changes
                if change[0] > after and not self.suppress_events
            ]
            if new_changes or self.unavailable:
                break
            await asyncio.sleep(0.02)
        else:
            new_changes = []
        events = [{"Key": key, "Revision": rev} for rev, key in new_changes]
        body = {"events": events, "CurrentRev": self.revision}
        return web.json_response(body)
