"""Fake of the platform's key-value store, with its HTTP protocol."""

__all__ = ["Store"]

import asyncio
import base64
import collections
import dataclasses
import json
import time

from aiohttp import web

PAGE_SIZE = 50
"""Maximum number of items in a response to a range read."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """A copy of a store's items, from which the store can be restored.

    Attributes:
        items: The items; see `Store`.
        revision: Revision of the last change.
    """

    items: dict[str, tuple[str, int, int]]
    revision: int


class Store:
    """A key-value store with revisions, watches and fault injection.

    Attributes:
        items: By key: the encoded value, the revision of its last change, and
            the revision at which it was created.
        era: Number of times that the store was restored from a copy, and one;
            a header of each response.
        changes: Revision and key of each change.
        revision: Revision of the last change.
        oldest_revision: Oldest revision from which a watch can start.
        unavailable: Whether every request gets status 503.
        odd_page: Body of each range read in place of its page; empty for none.
        odd_pages_sent: Number of those sent.
        suppress_events: Whether watches report no changes.
        read_counts: Number of requests so far, by path.
    """

    def __init__(self):
        self.items: dict[str, tuple[str, int, int]] = {}
        self.era = 1
        self.changes: list[tuple[int, str]] = []
        self.revision = 1
        self.oldest_revision = 0
        self.unavailable = False
        self.odd_page = b""
        self.odd_pages_sent = 0
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

    def copy(self) -> Copy:
        """Copies the items, for a later `restore`."""
        return Copy(dict(self.items), self.revision)

    def restore(self, copy: Copy) -> None:
        """Restores a copy: what was written since is lost, revisions go back.

        The history is lost as well, and the era rises.
        """
        self.items = dict(copy.items)
        self.changes, self.revision = [], copy.revision
        self.oldest_revision = copy.revision
        self.era += 1

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
        response = await self._respond(request)
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _respond(self, request: web.Request) -> web.Response:
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
            case "/kv-range" if self.odd_page:
                self.odd_pages_sent += 1
                return web.Response(
                    body=self.odd_page, content_type="application/json"
                )
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
            if after < self.oldest_revision or after > self.revision:
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
