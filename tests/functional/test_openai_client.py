"""The official client library, unchanged, against the callers' side."""

import unittest

import openai

from tests.lib import serving

MESSAGES = [{"role": "user", "content": "Which board is cracked?"}]
TEXT = "".join(f"word{index} " for index in range(5))


def make_client(site, key=None):
    return openai.AsyncOpenAI(
        base_url=site.url("/v1"),
        api_key=key or site.keys["first"],
        max_retries=0,
    )


class OpenaiClientTest(unittest.TestCase):
    """Answers and errors arrive as the library's own types."""

    def test_chat_without_stream(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                answer = await client.chat.completions.create(
                    model=serving.MODEL, messages=MESSAGES, max_tokens=5
                )
                self.assertEqual(answer.choices[0].message.content, TEXT)
                self.assertEqual(answer.usage.completion_tokens, 5)
                record = await site.get(f"/v1/requests/{answer._request_id}")
                self.assertEqual(record.json["state"], "ended")

        serving.run(test)

    def test_chat_stream(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                stream = await client.chat.completions.create(
                    model=serving.MODEL,
                    messages=MESSAGES,
                    max_completion_tokens=5,
                    stream=True,
                )
                pieces = [
                    chunk.choices[0].delta.content or ""
                    async for chunk in stream
                ]
                self.assertEqual("".join(pieces), TEXT)

        serving.run(test)

    def test_completion_stream_and_body(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                ask = {
                    "model": serving.MODEL,
                    "prompt": "Hello",
                    "max_tokens": 5,
                }
                body = await client.completions.create(**ask)
                stream = await client.completions.create(**ask, stream=True)
                pieces = [chunk.choices[0].text async for chunk in stream]
                self.assertEqual(body.choices[0].text, TEXT)
                self.assertEqual("".join(pieces), TEXT)

        serving.run(test)

    def test_errors_are_the_library_s_own(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                create = client.chat.completions.create
                with self.assertRaises(openai.BadRequestError) as caught:
                    await create(model=serving.MODEL, messages=[])
                self.assertIn("$.messages", str(caught.exception))
                with self.assertRaises(openai.NotFoundError):
                    await create(model="nothing", messages=MESSAGES)
                async with make_client(site, "wrong") as stranger:
                    with self.assertRaises(openai.AuthenticationError):
                        await stranger.chat.completions.create(
                            model=serving.MODEL, messages=MESSAGES
                        )

        serving.run(test)

    def test_stream_without_its_rest_raises(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                site.engines[0].faults.cut_after_bytes = 500
                site.engines[0].faults.forget_cut_runs = True
                stream = await client.chat.completions.create(
                    model=serving.MODEL,
                    messages=MESSAGES,
                    max_tokens=20,
                    stream=True,
                )
                with self.assertRaises(openai.APIError) as caught:
                    async for _ in stream:
                        pass
                self.assertEqual(caught.exception.type, "unknown")

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
