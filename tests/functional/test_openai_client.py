"""Tests the callers' API with the official OpenAI client library."""

import unittest

import openai

from tests.lib import serving

MESSAGES = [{"role": "user", "content": "Which board is cracked?"}]
EXPECTED_TEXT = "".join(f"word{index} " for index in range(5))


def make_client(site, key=None):
    return openai.AsyncOpenAI(
        base_url=site.url("/v1"),
        api_key=key or site.keys["first"],
        max_retries=0,
    )


class OpenaiClientTest(unittest.TestCase):
    """Responses and errors are parsed into the types of the library."""

    def test_chat_without_stream(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                completion = await client.chat.completions.create(
                    model=serving.MODEL, messages=MESSAGES, max_tokens=5
                )
                self.assertEqual(
                    completion.choices[0].message.content, EXPECTED_TEXT
                )
                self.assertEqual(completion.usage.completion_tokens, 5)
                record = await site.get(
                    f"/v1/requests/{completion._request_id}"
                )
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
                chunks = [
                    chunk.choices[0].delta.content or ""
                    async for chunk in stream
                ]
                self.assertEqual("".join(chunks), EXPECTED_TEXT)

        serving.run(test)

    def test_completion_with_and_without_stream(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                arguments = {
                    "model": serving.MODEL,
                    "prompt": "Hello",
                    "max_tokens": 5,
                }
                completion = await client.completions.create(**arguments)
                stream = await client.completions.create(
                    **arguments, stream=True
                )
                chunks = [chunk.choices[0].text async for chunk in stream]
                self.assertEqual(completion.choices[0].text, EXPECTED_TEXT)
                self.assertEqual("".join(chunks), EXPECTED_TEXT)

        serving.run(test)

    def test_errors_have_library_types(self):
        async def test():
            async with serving.site() as site, make_client(site) as client:
                create = client.chat.completions.create
                with self.assertRaises(openai.BadRequestError) as caught:
                    await create(model=serving.MODEL, messages=[])
                self.assertIn("$.messages", str(caught.exception))
                with self.assertRaises(openai.NotFoundError):
                    await create(model="nothing", messages=MESSAGES)
                async with make_client(site, "wrong") as unauthorized_client:
                    with self.assertRaises(openai.AuthenticationError):
                        await unauthorized_client.chat.completions.create(
                            model=serving.MODEL, messages=MESSAGES
                        )

        serving.run(test)

    def test_truncated_stream_raises_api_error(self):
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
