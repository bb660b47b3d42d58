"""Close callers' connections without losing what was sent to them."""

import asyncio
import fcntl
import select
import struct
import termios

POLL_PERIOD_S = 0.02
# Callers that read slower are cut off after this time.
MAX_LINGER_S = 30.0
SIZE = struct.Struct("i")


class LingeringTransport:
    """A transport whose socket is closed once the caller's host has all that was sent.

    Bytes that reach a closed socket reset its connection, and the caller doesn't get
    what is in the send buffer. So the sending side ends first, and nothing more is
    read: requests that cross the end of the connection count as not read.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # Called for each response.
        self.write = transport.write
        self.writelines = transport.writelines
        self.reading_ended = False
        # Until when (s, of the loop) the close may wait; None before close().
        self.closes_by: float | None = None

    def __getattr__(self, name: str) -> object:
        """Return an attribute of the transport."""
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Return whether the transport is being closed or was closed."""
        return self.closes_by is not None or self.transport.is_closing()

    def end_reading(self) -> None:
        """Read no more bytes from the caller."""
        if not self.reading_ended and not self.transport.is_closing():
            self.reading_ended = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on, unless reading has ended."""
        if not self.reading_ended:
            self.transport.resume_reading()

    def close(self) -> None:
        """End the sending side, and close the socket once all has been delivered."""
        if self.is_closing():
            return
        loop = asyncio.get_running_loop()
        self.closes_by = loop.time() + MAX_LINGER_S
        if self.is_delivered():
            self.transport.close()
            return
        self.end_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection, which wasn't noticed yet.
            self.transport.abort()
            return
        loop.call_later(POLL_PERIOD_S, self._close_when_delivered, loop)

    def _close_when_delivered(self, loop: asyncio.AbstractEventLoop) -> None:
        if self.transport.is_closing():
            # It was aborted, or the caller reset the connection.
            return
        if self.is_delivered() or loop.time() >= self.closes_by:
            self.transport.close()
            return
        loop.call_later(POLL_PERIOD_S, self._close_when_delivered, loop)

    def is_delivered(self) -> bool:
        """Return whether the caller's host has all that was sent, or can't get it."""
        if self.transport.get_write_buffer_size():
            return False
        number = self.transport.get_extra_info("socket").fileno()
        unsent = fcntl.ioctl(number, termios.TIOCOUTQ, bytes(SIZE.size))
        if not SIZE.unpack(unsent)[0]:
            return True
        poll = select.poll()
        poll.register(number, 0)
        return bool(poll.poll(0))
