"""Calls with idempotency keys, over the whole request path with a store."""

import unittest

import anyio

from cardamomfork._internal.models import identifiers
from tests.lib import serving

CALLS = "/v1/services/ledger/calls"


def new_key():
    return identifiers.new_time_ordered_id()


class ClaimedCallTest(unittest.TestCase):
    """A call runs at most once per key, even if it is repeated."""

    def test_repeat_gets_the_first_answer(self):
        async def test():
            async with serving.site() as site:
                key = new_key()
                first = await site.post(CALLS, {}, Idempotency_Key=key)
                again = await site.post(CALLS, {}, Idempotency_Key=key)
                self.assertEqual(first.json, {"run": 1})
                self.assertEqual(again.json, {"run": 1})
                other = await site.post(
                    CALLS, {"other": 1}, Idempotency_Key=key
                )
                self.assertEqual(other.status, 422)
                self.assertEqual(site.ledger.runs, 1)

        serving.run(test)

    def test_unknown_outcome_stays_unknown(self):
        async def test():
            async with serving.site() as site:
                site.ledger.faults.lose_answers = 1
                key = new_key()
                for _ in range(2):
                    answer = await site.post(CALLS, {}, Idempotency_Key=key)
                    self.assertEqual(answer.json["outcome"], "unknown")
                self.assertEqual(site.ledger.runs, 1)

        serving.run(test)

    def test_call_continues_after_caller_disconnects(self):
        async def test():
            async with serving.site() as site:
                site.ledger.faults.delay_s = 0.1
                key = new_key()
                stream = await anyio.connect_tcp(serving.HOST, site.port)
                head = (
                    f"POST {CALLS} HTTP/1.1\r\nhost: x\r\n"
                    f"authorization: Bearer {site.keys['first']}\r\n"
                    f"idempotency-key: {key}\r\ncontent-length: 2\r\n\r\n"
                )
                await stream.send(head.encode() + b"{}")
                await serving.until(lambda: site.daemon.record_table.open_count)
                await stream.aclose()
                await serving.until(
                    lambda: not site.daemon.record_table.open_count
                )
                again = await site.post(CALLS, {}, Idempotency_Key=key)
                self.assertEqual(again.json, {"run": 1})
                self.assertEqual(site.ledger.runs, 1)

        serving.run(test)

    def test_call_is_not_run_without_store(self):
        async def test():
            async with serving.site() as site:
                site.store.faults.down = True
                answer = await site.post(
                    CALLS,
                    {},
                    Idempotency_Key=new_key(),
                    Request_Timeout="0.3",
                )
                self.assertEqual(answer.json["outcome"], "not_run")
                self.assertEqual(answer.json["reason"], "store_unavailable")
                self.assertEqual(site.ledger.runs, 0)

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
