"""Checks addresses that another party has written."""

from __future__ import annotations

import ipaddress

import result

MAX_ADDRESS_CHARACTERS = 64
MAX_PORT = 65_535


def parse(address: str) -> result.Result[tuple[str, int], str]:
    """Splits an `IP:PORT` text into an IP address and a port.

    The address can be connected to without resolving a name.
    """
    host, separator, digits = address[:MAX_ADDRESS_CHARACTERS].rpartition(":")
    if (
        not separator
        or len(address) > MAX_ADDRESS_CHARACTERS
        or not (digits.isascii() and digits.isdigit())
    ):
        return result.Err("the address is not IP:PORT")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    return check(host, int(digits)).map(lambda _: (host, int(digits)))


def check(host: str, port: int) -> result.Result[None, str]:
    """Checks that an address is an IP address and a port of a program."""
    if ip_version(host) is None:
        return result.Err("the host is not an IP address")
    if not 0 < port <= MAX_PORT:
        return result.Err("the port is out of range")
    return result.Ok(None)


def ip_version(host: str) -> int | None:
    """Returns the version of an IP address; None if it is none."""
    if len(host) > MAX_ADDRESS_CHARACTERS or "%" in host:
        # A zone is known only to the host that names it.
        return None
    try:
        return ipaddress.ip_address(host).version
    except ValueError:
        return None
