"""Entry point of a gateway instance on the users' platform."""

from __future__ import annotations

from cardamomfork._internal.gateway import daemon

if __name__ == "__main__":
    daemon.main()
