import { createHttpClient } from "@ibislanding/platform";
import { applyResources, deployments, startSystem } from "@ibislanding/runner";
import { setTimeout as pause } from "node:timers/promises";
import type { Measurement } from "./measurement";
import { measurePropagation } from "./measurePropagation";
import { takeSample } from "./takeSample";

const BYTES_PER_MEGABYTE = 1_000_000;
const MS_PER_SECOND = 1_000;
const CONFIGURATION_CHANGES = 5;
const CONTROL_HOSTS = 2;

/** The control hosts and the admin process. */
const OTHER_MEMBERS = CONTROL_HOSTS + 1;

interface CallCounts {
    readonly calls: Readonly<Record<string, number>>;
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Starts a system with the given number of entry hosts and measures it without request load. */
export const measureSize = async (entryHosts: number, warmUpMs: number, durationMs: number): Promise<Measurement> => {
    await using http = createHttpClient();
    await using system = await startSystem({
        deployment: deployments.cimenbilim,
        entries: entryHosts,
        controls: CONTROL_HOSTS,
        enginesPerZone: 2,
        distDirectory: "dist",
        engineArgs: [],
        serviceArgs: [],
    });
    const applied = await applyResources(system, "dist");
    if (applied !== 0) {
        throw new Error(`ibisctl apply failed with exit code ${applied}`);
    }
    const entries = system.ofProgram("ibis-entry");
    const keyValueUrl = system.processes().find(({ name }) => name === "key-value")?.urls["standIn"];
    const readCallCounts = async (): Promise<CallCounts["calls"]> => {
        const answer = await http.send({ method: "GET", url: `${keyValueUrl}/calls`, timeoutMs: 5_000 });
        return (JSON.parse(answer.unwrap().body) as CallCounts).calls;
    };

    await pause(warmUpMs);
    const callsBefore = await readCallCounts();
    const before = await Promise.all(entries.map(entry => takeSample(http.send, entry)));
    await pause(durationMs);
    const after = await Promise.all(entries.map(entry => takeSample(http.send, entry)));
    const callsAfter = await readCallCounts();

    const meanRate = (read: (sample: (typeof before)[number]) => number): number =>
        mean(after.map((sample, index) => {
            const first = before[index] ?? sample;
            return (read(sample) - read(first)) / (sample.atMs - first.atMs) * MS_PER_SECOND;
        }));
    const inForceMs = await Array.from({ length: CONFIGURATION_CHANGES }).reduce<Promise<number[]>>(
        async (earlier, _, index) => [...await earlier, await measurePropagation(http.send, system, index)],
        Promise.resolve([]),
    );
    return {
        entryHosts,
        members: entryHosts + OTHER_MEMBERS,
        cpuPercent: meanRate(({ cpuSeconds }) => cpuSeconds) * 100,
        residentMegabytes: mean(after.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MEGABYTE,
        gossipBytesPerSecond: meanRate(({ gossipBytes }) => gossipBytes),
        gossipMessagesPerSecond: meanRate(({ gossipMessages }) => gossipMessages),
        keyValueCallsPerSecond: Object.fromEntries(
            Object.entries(callsAfter).map(([cause, count]) =>
                [cause, (count - (callsBefore[cause] ?? 0)) / durationMs * MS_PER_SECOND] as const
            ),
        ),
        inForceMs,
    };
};
