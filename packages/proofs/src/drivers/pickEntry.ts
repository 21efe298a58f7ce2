import { createHttpClient } from "@ibislanding/platform";
import type { DriverContext } from "./driverContext";

const READY_TIMEOUT_MS = 300;

/** Picks a ready entry host, starting at a random one, as a load balancer does; returns undefined when none is ready. */
export const pickEntry = async ({ system, random }: DriverContext): Promise<string | undefined> => {
    await using http = createHttpClient();
    const start = random.nextInt(1_000);
    const entries = system.ofProgram("ibis-entry");
    const ordered = entries.map((_, index) => entries[(start + index) % entries.length]);
    for (const entry of ordered) {
        const url = `${entry?.urls["operations"]}/readyz`;
        const answer = await http.send({ method: "GET", url, timeoutMs: READY_TIMEOUT_MS });
        if (answer.ok && answer.val.status === 200) {
            return entry?.urls["callers"];
        }
    }
    return undefined;
};
