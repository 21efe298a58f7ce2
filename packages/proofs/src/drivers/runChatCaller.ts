import type { Hasher } from "@ibislanding/core";
import { answerTokens } from "@ibislanding/standins";
import type { ChatMessage } from "@ibislanding/upstreams";
import { setTimeout as pause } from "node:timers/promises";
import type { ChatPart } from "./chatPart";
import type { DriverContext } from "./driverContext";
import { pickEntry } from "./pickEntry";
import { readChatPart } from "./readChatPart";

const ANSWER_TIMEOUT_MS = 30_000;
const SILENCE_TIMEOUT_MS = 8_000;
const RETRY_PAUSE_MS = 200;
const PAUSE_BETWEEN_QUESTIONS_MS = 50;

const createMessages = (context: DriverContext, name: string, count: number): readonly ChatMessage[] => [
    { role: "system", content: "You advise on lawns. ".repeat(context.random.nextInt(40)) },
    { role: "user", content: `Question ${count} of ${name}: ${context.random.nextHex(8)}` },
];

/** Runs a caller that sends chat requests one at a time and resumes answers whose connection breaks. */
export const runChatCaller = async (context: DriverContext, name: string, hasher: Hasher): Promise<void> => {
    const { system, history, random } = context;
    const { model, clientAccounts } = system.deployment;

    const ask = async (count: number): Promise<void> => {
        const id = `${name}-${count}`;
        const messages = createMessages(context, name, count);
        const expected = answerTokens(model, messages, hasher).join("");
        const key = clientAccounts[random.nextInt(2)]?.key ?? "";
        const body = JSON.stringify({ model, messages, stream: true });
        const untilMs = performance.now() + ANSWER_TIMEOUT_MS;
        let text = "";
        let last: ChatPart | undefined;
        history.write(name, { type: "invoke", operation: "chat", id, expected, mustSucceed: context.mustSucceed });
        while (performance.now() < untilMs) {
            const url = await pickEntry(context);
            if (url !== undefined) {
                last = await readChatPart({
                    url,
                    key,
                    body,
                    lastEventId: last?.lastEventId,
                    silenceTimeoutMs: SILENCE_TIMEOUT_MS,
                });
                text += last.text;
                if (last.end === "done") {
                    history.write(name, { type: "ok", operation: "chat", id, text });
                    return;
                }
            }
            await pause(Math.max(RETRY_PAUSE_MS, last?.retryAfterMs ?? 0));
        }
        history.write(name, { type: "info", operation: "chat", id, code: last?.code ?? "no entry host", text });
    };

    for (let count = 0; !context.signal.aborted; count++) {
        await ask(count);
        await pause(PAUSE_BETWEEN_QUESTIONS_MS);
    }
};
