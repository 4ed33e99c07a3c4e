"""Peers that send endless bytes until the other side closes the connection."""

import asyncio
import contextlib

from daisywharf._topology import Address

HOST = "127.0.0.1"
# A sender that reaches this amount was not stopped by the receiver.
MAX_SENT_BYTES = 40_000_000
PIECE_BYTES = 16_384


class EndlessTarget:
    """Answer each request with a head and then the same piece over and over."""

    def __init__(self, head: bytes, piece: bytes, *, max_bytes: int = MAX_SENT_BYTES) -> None:
        self.head = head
        self.piece = piece * max(1, PIECE_BYTES // len(piece))
        self.max_bytes = max_bytes
        self.sent_by_connection: list[int] = []
        self.unstopped = 0
        # Whether to keep the connection open after an incomplete answer.
        self.holds_open = False
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return Address(HOST, self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        index = len(self.sent_by_connection)
        self.sent_by_connection.append(0)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while self.sent_by_connection[index] < self.max_bytes:
                writer.write(self.piece)
                await writer.drain()
                self.sent_by_connection[index] += len(self.piece)
            self.unstopped += 1
            if self.holds_open:
                await reader.read()
        writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


async def send_without_end(address: Address, head: bytes, piece: bytes) -> tuple[int, bytes]:
    """Send to a server until it closes; return the number of bytes sent and the answer."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(head)
    piece *= max(1, PIECE_BYTES // len(piece))
    sent = 0
    with contextlib.suppress(ConnectionError):
        while sent < MAX_SENT_BYTES and not reader.at_eof():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
            sent += len(piece)
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await reader.read(PIECE_BYTES)
    writer.close()
    return sent, answer
