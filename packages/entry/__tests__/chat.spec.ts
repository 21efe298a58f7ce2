import { createHasher } from "@ibislanding/core";
import { answerTokens } from "@ibislanding/standins";
import type { ChatMessage } from "@ibislanding/upstreams";
import OpenAI from "openai";
import { startTestSystem, TEST_KEY, type TestSystem } from "./startTestSystem";

const messages: ChatMessage[] = [{ role: "user", content: "When do I feed a lawn on clay soil?" }];
const body = JSON.stringify({ model: "advisor", messages, stream: true });

const post = (url: string, headers: Record<string, string> = {}) =>
    fetch(`${url}/v1/chat/completions`, {
        method: "POST",
        body,
        headers: { authorization: `Bearer ${TEST_KEY}`, ...headers },
    });

interface ReadTokens {
    readonly texts: readonly string[];
    readonly ids: readonly string[];
}

/** Reads server-sent events up to the given number of tokens, then closes the connection. */
const readTokens = async (
    response: Response,
    count: number,
    onProgress: (ids: readonly string[]) => Promise<void> = async () => undefined,
): Promise<ReadTokens> => {
    const decoder = new TextDecoder();
    let text = "";
    const ids = (): string[] => [...text.matchAll(/^id: (.*)$/gm)].map(found => found[1] ?? "");
    for await (const chunk of response.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
        await onProgress(ids());
        if (ids().length >= count) {
            break;
        }
    }
    const texts = [...text.matchAll(/^id: .*\ndata: (.*)$/gm)]
        .map(found => (JSON.parse(found[1] ?? "") as OpenAI.ChatCompletionChunk).choices[0]?.delta.content ?? "");
    return { texts: texts.slice(0, count), ids: ids().slice(0, count) };
};

describe("chat completions", () => {
    let system: TestSystem;
    let expected: string;

    beforeEach(async () => {
        system = await startTestSystem();
        expected = answerTokens("advisor", messages, await createHasher()).join("");
    });
    afterEach(() => system[Symbol.asyncDispose]());

    it("serves the OpenAI client library, streamed and buffered", async () => {
        const client = new OpenAI({ apiKey: TEST_KEY, baseURL: `${system.entry.url}/v1`, maxRetries: 0 });
        const whole = await client.chat.completions.create({ model: "advisor", messages: messages as never });
        expect(whole.choices[0]?.message.content).toBe(expected);
        const stream = await client.chat.completions.create({
            model: "advisor",
            messages: messages as never,
            stream: true,
        });
        const parts: string[] = [];
        for await (const chunk of stream) {
            parts.push(chunk.choices[0]?.delta.content ?? "");
        }
        expect(parts.join("")).toBe(expected);
        expect((await client.models.list()).data.map(({ id }) => id)).toEqual(["advisor"]);
    });

    it("continues on another engine when one dies in the middle of a stream", async () => {
        const response = await post(system.entry.url);
        const killed: number[] = [];
        const { texts } = await readTokens(response, Infinity, async ids => {
            const engine = Number(/engine-(\d)/.exec(ids[0] ?? "")?.[1]);
            if (ids.length >= 3 && killed.length === 0) {
                killed.push(engine);
                await system.engines[engine]?.kill();
            }
        });
        expect(killed).toHaveLength(1);
        expect(texts.join("")).toBe(expected);
    });

    it("resumes at another entry host after the last event", async () => {
        const first = await readTokens(await post(system.entry.url), 4);
        await system.entry[Symbol.asyncDispose]();
        const second = await system.addEntry();
        const rest = await readTokens(await post(second.url, { "last-event-id": first.ids[3] ?? "" }), Infinity);
        expect([...first.texts, ...rest.texts].join("")).toBe(expected);
    });

    it("resumes at another entry host after the engine died too", async () => {
        const first = await readTokens(await post(system.entry.url), 4);
        const engine = Number(/engine-(\d)/.exec(first.ids[3] ?? "")?.[1]);
        await system.entry[Symbol.asyncDispose]();
        await system.engines[engine]?.kill();
        const second = await system.addEntry();
        const rest = await readTokens(await post(second.url, { "last-event-id": first.ids[3] ?? "" }), Infinity);
        expect([...first.texts, ...rest.texts].join("")).toBe(expected);
    });

    it("rejects an event id of another client account", async () => {
        const first = await readTokens(await post(system.entry.url), 2);
        const answer = await post(system.entry.url, {
            authorization: "Bearer other-key",
            "last-event-id": first.ids[1] ?? "",
        });
        expect(answer.status).toBe(404);
        expect(await answer.json()).toMatchObject({ code: "unknown_event" });
    });
});
