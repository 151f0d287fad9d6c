"""Starts the real daemon program for functional tests."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import httpcore

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
KEY = "demo-key"


@attrs.frozen
class Daemon:
    """A running daemon program and its ports."""

    process: subprocess.Popen
    port: int
    operators_port: int = 0

    def url(self, path):
        return f"http://127.0.0.1:{self.port}{path}"

    def request(self, method, path, body=None, key=KEY, headers=()):
        """Sends one request and returns status, headers and body."""
        request_headers = [("Authorization", f"Bearer {key}"), *headers]
        content = None if body is None else json.dumps(body).encode()
        response = httpcore.request(
            method, self.url(path), headers=request_headers, content=content
        )
        response_headers = {k.lower(): v for k, v in response.headers}
        return response.status, response_headers, response.content

    def terminate(self):
        """Sends SIGTERM and returns the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


def read_until(process, message):
    """Reads JSON log lines until a message starts with `message`.

    Returns the record of that line.
    """
    for line in process.stderr:
        record = json.loads(line)
        if record["message"].startswith(message):
            return record
    raise AssertionError(f"the daemon ended without the line {message!r}")


@contextlib.contextmanager
def starting(*arguments, embedded=True):
    """Runs a daemon process without waiting until it serves."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cardamomfork._internal.daemon",
            *(("--embedded",) if embedded else ()),
            *arguments,
        ],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()


def wait_until_loaded(process, library):
    """Waits until a process has loaded a library of an import."""
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while library not in maps.read_text():
        if process.poll() is not None or time.monotonic() > give_up_at:
            raise AssertionError(f"{library} not loaded: {process.returncode}")
        time.sleep(0.002)


@contextlib.contextmanager
def running(*arguments):
    """Runs a daemon with the embedded components on a free port."""
    with starting("--port", "0", *arguments) as process:
        operators = read_until(process, "serving operators on ")["message"]
        callers = read_until(process, "serving callers on ")["message"]
        yield Daemon(
            process,
            int(callers.rsplit(":", 1)[1]),
            int(operators.rsplit(" ", 1)[1]),
        )
