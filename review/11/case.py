"""Servers leave without a report; the store cuts waiting watches once."""

from __future__ import annotations

import asyncio
import pathlib

import site3

FOLDER = pathlib.Path(__file__).resolve().parent
DRAIN_S = 2.0
CALM_S = 6.0
SECOND_LEAVES_S = 0.1
CUT_S = 0.5
EXITS_AFTER_S = 2.4
INSTANCES = 6
SERVERS = 24
ROUNDS = 4
PERIOD_S = 0.05


async def leave(server: site3.Server) -> tuple[site3.Server, float]:
    """Removes a server's entry; ends it a little after the drain time."""
    acked_at = server.remove_entry()
    await asyncio.sleep(EXITS_AFTER_S)
    server.exit()
    return server, acked_at


async def play_round(
    site: site3.Site, first: site3.Server, second: site3.Server
) -> list[tuple[site3.Server, float]]:
    """Lets two servers leave, one just after the other."""
    leaving = [asyncio.create_task(leave(first))]
    await asyncio.sleep(SECOND_LEAVES_S)
    leaving.append(asyncio.create_task(leave(second)))
    await asyncio.sleep(CUT_S - SECOND_LEAVES_S)
    if site3.TROUBLE:
        site.store.cut_watches()
    return list(await asyncio.gather(*leaving))


def judge(
    site: site3.Site,
    left: list[tuple[site3.Server, float]],
    answers: dict[str, int],
) -> bool:
    """Returns whether a request reached a server too long after the ack."""
    late_count = 0
    for server, acked_at in left:
        late = [
            (at - acked_at, request_id)
            for at, request_id in server.runs
            if at > acked_at + DRAIN_S
        ]
        late_count += len(late)
        for after_s, request_id in late:
            site.record(
                "LATE",
                server=server.id,
                id=request_id,
                after_s=f"{after_s:.3f}",
                by=site.client.sent[request_id][1],
                status=answers.get(request_id),
            )
        last_s = max((after_s for after_s, _ in late), default=0.0)
        site3.say(
            f"{server.id}: {len(late)} requests more than {DRAIN_S} s after"
            f" its leaving was acknowledged, the last after {last_s:.2f} s"
        )
    bad = sum(status != 200 for status in answers.values())
    site3.say(
        f"{late_count} late of {len(answers)} bookings; {bad} were not answered"
        " with success"
    )
    site.record("RESULT", late=late_count, not_served=bad)
    return late_count > 0


async def play(site: site3.Site) -> bool:
    """Returns whether the rule was broken."""
    config = site3.configuration(
        17,
        [site3.route("/desk/", "unsafe", "desk", 3000, 1)],
        [{"name": "desk", "maxConnections": 96}],
    )

    def make_servers(store: site3.Store) -> list[site3.Server]:
        return [
            site3.Server(store, n, "desk", site3.ZONES[n % 3], work_s=0.09)
            for n in range(1, SERVERS + 1)
        ]

    await site.start(INSTANCES, make_servers, config)
    requests = []
    is_over = asyncio.Event()

    async def load(instance: site3.Instance) -> None:
        while not is_over.is_set():
            requests.append(
                asyncio.create_task(
                    site.client.request(instance, "/desk/book", "POST", b"b")
                )
            )
            await asyncio.sleep(PERIOD_S)

    loads = [asyncio.create_task(load(one)) for one in site.instances]
    left = []
    for number in range(0, 2 * ROUNDS, 2):
        await asyncio.sleep(CALM_S)
        left += await play_round(site, *site.servers[number : number + 2])
    await asyncio.sleep(1.0)
    is_over.set()
    await asyncio.gather(*loads)
    answers = {one[3]: one[0] for one in await asyncio.gather(*requests)}
    return judge(site, left, answers)


if __name__ == "__main__":
    site3.main(FOLDER, play)
