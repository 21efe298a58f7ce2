import { createHttpClient } from "@ibislanding/platform";
import { setTimeout as pause } from "node:timers/promises";
import type { DriverContext } from "./driverContext";

const PERIOD_MS = 250;
const TIMEOUT_MS = 1_000;
const METRIC_PATTERN = /^ibis_configuration_revision (\d+)$/m;

/** Polls the metrics of each entry host and records which configuration revision is in force there. */
export const runRevisionObserver = async (context: DriverContext): Promise<void> => {
    const { system, history } = context;
    await using http = createHttpClient();

    const observe = async (target: string, url: string): Promise<void> => {
        const answer = await http.send({ method: "GET", url: `${url}/metrics`, timeoutMs: TIMEOUT_MS });
        const revision = answer.ok ? METRIC_PATTERN.exec(answer.val.body)?.[1] : undefined;
        // Revision 0 means that the host has no configuration and serves no requests yet.
        if (revision !== undefined && revision !== "0") {
            history.write("observer", { type: "observe", subject: "revision", target, revision: Number(revision) });
        }
    };

    while (!context.signal.aborted) {
        await Promise.all(
            system.ofProgram("ibis-entry").map(({ name, urls }) => observe(name, urls["operations"] ?? "")),
        );
        await pause(PERIOD_MS);
    }
};
