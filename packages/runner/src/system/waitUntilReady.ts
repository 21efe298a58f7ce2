import { createHttpClient } from "@ibislanding/platform";
import type { ManagedProcess } from "../processes/managedProcess";

const POLL_MS = 50;
const TIMEOUT_MS = 30_000;

/** Polls a process's readiness endpoint until it reports ready; throws after the timeout. */
export const waitUntilReady = async (process: ManagedProcess): Promise<void> => {
    await using http = createHttpClient();
    const untilMs = performance.now() + TIMEOUT_MS;
    while (performance.now() < untilMs) {
        const answer = await http.send({
            method: "GET",
            url: `${process.urls["operations"]}/readyz`,
            timeoutMs: 1_000,
        });
        if (answer.ok && answer.val.status === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    throw new Error(`${process.name} is not ready after ${TIMEOUT_MS} ms`);
};
