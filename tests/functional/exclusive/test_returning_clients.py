"""Clients that come back when they are refused leave room for others."""

import unittest

from tests.lib import client_crowd
from tests.lib import crowd_case


class ReturningClientsTest(crowd_case.CrowdTestCase):
    async def test_short_header_lines(self):
        await self.check_returning(client_crowd.HEADS["short header lines"])

    async def test_one_trailer_value(self):
        await self.check_returning(client_crowd.TRAILERS["one trailer value"])

    async def test_bare_requests(self):
        await self.check_returning(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def test_bare_requests_with_answers_read(self):
        await self.check_returning(
            client_crowd.REQUESTS_AHEAD["bare requests, answers read"]
        )

    async def test_routed_requests(self):
        await self.check_returning(
            client_crowd.REQUESTS_AHEAD["routed requests"]
        )

    async def test_body_over_the_limit(self):
        await self.check_returning(client_crowd.BODIES["a body over the limit"])

    async def test_empty_lines(self):
        await self.check_returning(client_crowd.OTHERS["empty lines"])

    async def test_garbage(self):
        await self.check_returning(client_crowd.OTHERS["garbage"])

    async def test_idle(self):
        await self.check_returning(
            client_crowd.IDLE["nothing"], client_crowd.IDLE_CROWD
        )

    async def test_half_heads(self):
        await self.check_returning(
            client_crowd.IDLE["half a head"], client_crowd.IDLE_CROWD
        )

    async def test_unfinished_bodies(self):
        await self.check_returning(
            client_crowd.BOUNDED["bodies of 1 MB"], client_crowd.BOUNDED_CROWD
        )


if __name__ == "__main__":
    unittest.main()
