"""Test that writing log lines never blocks the process."""

import os

from logbook import INFO, LogRecord

from peridot_daemon.logs import MAX_PENDING_BYTES, BufferedLineHandler


def test_stalled_reader_neither_blocks_nor_grows_the_buffer_without_limit():
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream, os.fdopen(reader, "rb"):
        handler = BufferedLineHandler(stream, 0)
        for number in range(20_000):
            record = LogRecord("vm", INFO, f"event=request number={number:020}")
            record.heavy_init()
            handler.emit(record)
        handler.flush()
        assert 0 < len(handler.pending) < 2 * MAX_PENDING_BYTES


# Guards against lost lines and failed requests: headers may hold other bytes than text.
def test_a_line_that_is_not_text_is_written_escaped(tmp_path):
    path = tmp_path / "log"
    with path.open("w") as stream:
        handler = BufferedLineHandler(stream, 0)
        handler.lines = ["a\udcff\n"]
        handler.flush()
    assert path.read_text() == "a\\udcff\n"
