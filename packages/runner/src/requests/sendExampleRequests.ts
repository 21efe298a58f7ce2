import { createHasher } from "@ibislanding/core";
import { createHttpClient, type JsonResponse } from "@ibislanding/platform";
import { answerTokens } from "@ibislanding/standins";
import type { ChatMessage } from "@ibislanding/upstreams";
import { randomUUID } from "node:crypto";
import type { RunningSystem } from "../system/runningSystem";
import type { ExampleResult } from "./exampleResult";
import { readStreamedText } from "./readStreamedText";

const TIMEOUT_MS = 30_000;
const DETAIL_LENGTH = 100;

const QUESTIONS = [
    "When should I feed a lawn on clay soil in autumn?",
    "My soil test shows a pH of 5.4. What does that mean?",
    "How much seed do I need for 300 square metres?",
];

/** Sends a chat request and an action through each entry host, one after another, and verifies the answers. */
export const sendExampleRequests = async (system: RunningSystem): Promise<readonly ExampleResult[]> => {
    await using http = createHttpClient();
    const hasher = await createHasher();
    const { deployment } = system;
    const account = deployment.clientAccounts[0];
    const authorization = { authorization: `Bearer ${account?.key}` };

    const post = async (url: string, body: unknown, headers: Record<string, string> = {}): Promise<JsonResponse> => {
        const request = { method: "POST", url, body: JSON.stringify(body), timeoutMs: TIMEOUT_MS } as const;
        const result = await http.send({ ...request, headers: { ...authorization, ...headers } });
        return result.ok ? result.val : { status: 0, headers: {}, body: "no answer", delimiter: "none" };
    };

    const runExample = async (
        title: string,
        action: () => Promise<{ correct: boolean; detail: string; }>,
    ): Promise<ExampleResult> => {
        const startMs = performance.now();
        const { correct, detail } = await action();
        return {
            title,
            correct,
            detail: detail.slice(0, DETAIL_LENGTH),
            durationMs: Math.round(performance.now() - startMs),
        };
    };

    const chat = (entryName: string, url: string, question: string, stream: boolean) =>
        runExample(`chat through ${entryName}${stream ? ", streamed" : ""}`, async () => {
            const messages: readonly ChatMessage[] = [{ role: "user", content: question }];
            const answer = await post(`${url}/v1/chat/completions`, { model: deployment.model, messages, stream });
            if (answer.status !== 200) {
                return { correct: false, detail: `${answer.status} ${answer.body}` };
            }
            const expected = answerTokens(deployment.model, messages, hasher).join("");
            const readContent = (): string =>
                (JSON.parse(answer.body) as { choices: { message: { content: string; }; }[]; }).choices[0]?.message
                    .content ?? "";
            const text = stream ? readStreamedText(answer.body).text : readContent();
            return { correct: text === expected, detail: text };
        });

    const sendAction = (entryName: string, url: string) =>
        runExample(`action through ${entryName}, sent twice with one key`, async () => {
            const key = { "idempotency-key": randomUUID() };
            const path = `${url}/services/${deployment.plainService}/orders`;
            const first = await post(path, { amount: 120 }, key);
            const second = await post(path, { amount: 120 }, key);
            const correct = first.status === 200 && second.status === 200 && first.body === second.body;
            return { correct, detail: `${first.status} ${first.body}` };
        });

    const entries = system.ofProgram("ibis-entry");
    const requests = entries.map(({ name, urls }, index) => [
        () => chat(name, urls["callers"] ?? "", QUESTIONS[index % QUESTIONS.length] ?? "", index % 2 === 0),
        () => sendAction(name, urls["callers"] ?? ""),
    ]).flat();
    return requests.reduce<Promise<readonly ExampleResult[]>>(
        async (earlier, send) => [...await earlier, await send()],
        Promise.resolve([]),
    );
};
