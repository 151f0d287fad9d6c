"""Tests that any answer of the store is a value or a fault of its call."""

import asyncio
import json
import unittest

from cardamomfork._internal.contracts import store
from cardamomfork._internal.models import settings
from cardamomfork._internal.platform import store_calls
from cardamomfork._internal.platform import store_client

SCAN = {"items": [], "storeRevision": 7}
HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n" % (b"9" * 5000),
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\n{}",
    b"HTTP/1.1 99999 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s\r\n"
    % (b"f" * 400),
    b"HTTP/1.1 200 OK\r\n\xff\xfe: \xff\r\n\r\n",
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"\0" * 4096,
    b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n\0",
)
ODD_NUMBERS = (b"9" * 20, b"-1", b"1e400", b"1.5", b"9" * 5000, b"[" * 20_000)


class Transport:
    """Answers each call with the next of some bodies."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)

    async def exchange(self, endpoint, call, progress):
        del endpoint, call
        progress.headers_started = True
        return store_calls.Response(200, self.bodies.pop(0))

    async def close(self):
        pass


def make_client(*bodies):
    """Returns a client of a store with these answers."""
    return store_client.PlatformStore(
        settings.StoreSettings(("store:1",), 1.5, prefix=""),
        Transport(*bodies),
    )


def make_page(number, size, *, more):
    """Returns a page of one entry with a value of a size in bytes."""
    value = "AAAA" * (size // 3)
    item = {"key": f"servers/{number:05}", "value": value, "revision": 5}
    return json.dumps(SCAN | {"items": [item], "morePages": more}).encode()


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_odd_heads_of_answers_are_faults(self):
        for head in HEADS:

            async def answer(reader, writer, head=head):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                writer.close()

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = store_client.PlatformStore(
                settings.StoreSettings((f"127.0.0.1:{port}",), 1.0, prefix="")
            )
            with self.subTest(head=head[:60]):
                self.assertTrue((await client.scan("servers/")).is_err())
                waited = await client.changes("servers/", 0, 0.2)
                self.assertTrue(waited.is_err())
            await client.close()
            server.close()

    async def test_numbers_out_of_range_are_faults(self):
        for odd in ODD_NUMBERS:
            with self.subTest(odd=odd[:30]):
                client = make_client(b'{"storeRevision":%b}' % odd)
                fault = (await client.scan("servers/")).unwrap_err()
                self.assertLess(len(fault.detail), 400)
            client = make_client(b'{"lease":%b,"ttlMs":%b}' % (odd, odd))
            self.assertTrue((await client.grant_lease(5.0)).is_err())
            client = make_client(
                *[b'{"storeRevision":7,"revision":%b}' % odd] * 3
            )
            written = await client.put("k", b"v", expected=store.ABSENT)
            self.assertTrue(written.is_err())

    async def test_item_with_numbers_out_of_range_does_not_hide_others(self):
        for odd in (b"9" * 20, b"-1", b"9" * 400):
            client = make_client(
                b'{"storeRevision":7,"items":[{"key":"servers/a",'
                b'"revision":%b,"lease":%b},{"key":"servers/b","revision":5}]}'
                % (odd, odd)
            )
            first, second = (await client.scan("servers/")).unwrap().entries
            self.assertLess(first.version, store.REVISIONS_PER_ERA)
            self.assertEqual(second.version, 5)

    async def test_scan_holds_few_large_values_and_all_small_ones(self):
        large, small = 16_000, 1_000
        pages = [make_page(number, large, more=True) for number in range(4000)]
        pages.append(make_page(4000, small, more=False))
        scan = (await make_client(*pages).scan("servers/")).unwrap()
        held = sum(len(entry.value) for entry in scan.entries)
        self.assertLess(held, store_client.MAX_SCAN_BYTES + 2 * large)
        self.assertEqual(len(scan.entries), 4001)
        self.assertGreaterEqual(len(scan.entries[-1].value), small - 3)

    async def test_page_that_repeats_does_not_continue_a_scan_forever(self):
        page = make_page(1, 3, more=True)
        client = make_client(*[page] * 5)
        self.assertTrue((await client.scan("servers/")).is_err())

    async def test_wrong_revision_of_one_answer_leads_to_another_scan(self):
        client = make_client(b'{"events":[],"storeRevision":7}')
        fault = (await client.changes("servers/", 10**11, 2.0)).unwrap_err()
        self.assertEqual(fault.kind, store.StoreFaultKind.COMPACTED)

    async def test_pages_that_take_turns_do_not_continue_a_scan_forever(self):
        pages = [make_page(number % 2, 3, more=True) for number in range(6)]
        client = make_client(*pages, make_page(2, 3, more=False))
        self.assertTrue((await client.scan("servers/")).is_err())


if __name__ == "__main__":
    unittest.main()
