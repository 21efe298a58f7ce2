import type { JsonRequest, JsonResponse } from "@ibislanding/platform";
import type { ManagedProcess } from "@ibislanding/runner";
import type { Result } from "ts-results";
import type { Sample } from "./sample";

const TIMEOUT_MS = 5_000;

type SendRequest = (request: JsonRequest) => Promise<Result<JsonResponse, unknown>>;

interface EntryState {
    readonly membership: { readonly counters: Readonly<Record<string, number>>; };
}

const readMetric = (text: string, name: string): number =>
    Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1] ?? 0);

/**
 * Reads a sample from the metrics and state endpoints of one process; throws when one does not respond. A metric that is
 * not exported counts as 0.
 */
export const takeSample = async (sendRequest: SendRequest, { urls }: ManagedProcess): Promise<Sample> => {
    const read = async (path: string): Promise<string> =>
        (await sendRequest({ method: "GET", url: `${urls["operations"]}${path}`, timeoutMs: TIMEOUT_MS })).unwrap()
            .body;
    const metrics = await read("/metrics");
    const { membership } = JSON.parse(await read("/state")) as EntryState;
    const sumCounters = (pattern: RegExp): number =>
        Object.entries(membership.counters).filter(([name]) => pattern.test(name)).reduce(
            (sum, [, value]) => sum + value,
            0,
        );
    return {
        atMs: performance.now(),
        cpuSeconds: readMetric(metrics, "process_cpu_seconds_total"),
        residentBytes: readMetric(metrics, "process_resident_memory_bytes"),
        gossipBytes: sumCounters(/bytes/i),
        gossipMessages: sumCounters(/messages/i),
    };
};
