"""Fake engine that accepts orders through the target link's contract."""

import anyio
import attrs
import result

from cardamomfork._internal.models import targets


def make_target(name, checks_fencing):
    return targets.Target(
        name, targets.TargetKind.ENGINE, "127.0.0.1", 1, "dc", checks_fencing
    )


@attrs.define
class OrderEngine:
    """Fake engine whose loads take time; it may check fencing numbers."""

    target: targets.Target
    load_s: float = 3.0
    latest_fencing: int = 0
    models: dict = attrs.field(factory=dict)
    role: str = "mixed"
    loading: int = 0
    log: list = attrs.field(factory=list)

    async def apply_order(self, action, arguments, fencing):
        if self.target.checks_fencing and fencing < self.latest_fencing:
            return self.refuse("old fencing number")
        self.latest_fencing = max(self.latest_fencing, fencing)
        self.log.append((action, dict(arguments), fencing))
        if action == "role":
            self.role = arguments["role"]
        elif action == "unload":
            self.models.pop(arguments["model"], None)
        elif self.models.get(arguments["model"]) != arguments["version"]:
            self.models.pop(arguments["model"], None)
            self.loading += 1
            # The engine completes the load after its caller has disconnected.
            with anyio.CancelScope(shield=True):
                await anyio.sleep(self.load_s)
            self.loading -= 1
            self.models[arguments["model"]] = arguments["version"]
        return result.Ok(None)

    def refuse(self, reason):
        kind = targets.FaultKind.REFUSED
        fault = targets.TargetFault(kind, self.target.target_id, reason, 412)
        return result.Err(fault)

    def report(self):
        return targets.LoadReport(
            self.target.target_id,
            "boot",
            0.0,
            0,
            0,
            0,
            tuple(self.models),
            versions=tuple(self.models.values()),
            role=self.role,
        )


@attrs.define
class OrderLink:
    """Link of one lease holder to an engine; `gate` delays its orders."""

    engine: OrderEngine
    gate: anyio.Event | None = None
    answers_to_lose: int = 0
    blocked_count: int = 0

    @property
    def target(self):
        return self.engine.target

    async def load(self):
        return result.Ok(self.engine.report())

    async def order(self, action, arguments, fencing):
        if self.gate is not None:
            self.blocked_count += 1
            # Simulates a paused process: the order is sent after the pause.
            with anyio.CancelScope(shield=True):
                await self.gate.wait()
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            fault = targets.TargetFault(
                targets.FaultKind.LOST, self.target.target_id, "lost"
            )
            await self.engine.apply_order(action, arguments, fencing)
            return result.Err(fault)
        return await self.engine.apply_order(action, arguments, fencing)


@attrs.define
class Links:
    links: dict

    def find(self, target_id):
        return self.links.get(target_id)


@attrs.define
class Lease:
    held_lease: object = None
