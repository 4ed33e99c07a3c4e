"""The platform's metadata store, after the protocol page: objects, revisions, watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from . import http


class Store:
    """Hold objects by kind and name; every change takes the next revision."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def write(self, kind, name, specification):
        """Write an object as the operator or another writer does."""
        known = self.objects.get((kind, name))
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "deletionPending": False,
        }
        written = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[(kind, name)] = written
        self.history.append((self.revision, kind, written))
        self.changed.set()
        self.changed = asyncio.Event()
        return written

    async def _serve(self, reader, writer):
        try:
            while (message := await http.read_message(reader)) is not None:
                status, answer = await self._answer(*message)
                body = json.dumps(answer).encode()
                writer.write(http.answer_bytes(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, start, _headers, body):
        method, target, _ = start.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        if method == "GET" and len(parts) == 1:
            return await self._list(parts[0], query)
        if method == "GET":
            found = self.objects.get((parts[0], parts[1]))
            return (200, found) if found else (404, {})
        content = json.loads(body) if body else {}
        metadata = content.get("metadata") or {}
        name = metadata.get("name") if method == "POST" else parts[1]
        known = self.objects.get((parts[0], name))
        if method == "POST":
            return (
                (409, known)
                if known
                else (200, self.write(parts[0], name, content.get("specification")))
            )
        if known is None:
            return 404, {}
        revision = metadata.get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            del self.objects[(parts[0], name)]
            return 200, known
        if known["specification"] == content.get("specification"):
            return 200, known
        return 200, self.write(parts[0], name, content.get("specification"))

    async def _list(self, kind, query):
        if "watch" not in query:
            after = query.get("after", "")
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"items": items, "hasMore": False, "at": self.revision}
        since, until = (
            int(query["watch"]),
            asyncio.get_running_loop().time() + int(query.get("waitMs", 0)) / 1000,
        )
        while True:
            events = [
                {"object": o, "deleted": False}
                for r, k, o in self.history
                if r > since and k == kind
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
