import { createHttpClient } from "@ibislanding/platform";
import { applyResources, deployments, startSystem } from "@ibislanding/runner";
import { setTimeout as pause } from "node:timers/promises";
import { measureInForce } from "./measureInForce";
import type { Measurement } from "./measurement";
import { takeSample } from "./takeSample";

const BYTES_PER_MEGABYTE = 1_000_000;
const MS_PER_SECOND = 1_000;
const CHANGES = 5;
const CONTROLS = 2;
const OTHER_MEMBERS = CONTROLS + 1;

interface Calls {
    readonly calls: Readonly<Record<string, number>>;
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Starts a system with the given number of entry hosts and measures it without callers. */
export const measureSize = async (entryHosts: number, warmUpMs: number, durationMs: number): Promise<Measurement> => {
    await using http = createHttpClient();
    await using system = await startSystem({
        deployment: deployments.cimenbilim,
        entries: entryHosts,
        controls: CONTROLS,
        enginesPerZone: 2,
        distDirectory: "dist",
        engineArgs: [],
        serviceArgs: [],
    });
    const applied = await applyResources(system, "dist");
    if (applied !== 0) {
        throw new Error(`ibisctl apply ended with ${applied}`);
    }
    const entries = system.ofProgram("ibis-entry");
    const keyValueUrl = system.processes().find(({ name }) => name === "key-value")?.urls["standIn"];
    const readCalls = async (): Promise<Calls["calls"]> => {
        const answer = await http.send({ method: "GET", url: `${keyValueUrl}/calls`, timeoutMs: 5_000 });
        return (JSON.parse(answer.unwrap().body) as Calls).calls;
    };

    await pause(warmUpMs);
    const callsBefore = await readCalls();
    const before = await Promise.all(entries.map(entry => takeSample(http.send, entry)));
    await pause(durationMs);
    const after = await Promise.all(entries.map(entry => takeSample(http.send, entry)));
    const callsAfter = await readCalls();

    const rate = (read: (sample: (typeof before)[number]) => number): number =>
        mean(after.map((sample, index) => {
            const first = before[index] ?? sample;
            return (read(sample) - read(first)) / (sample.atMs - first.atMs) * MS_PER_SECOND;
        }));
    const inForceMs = await Array.from({ length: CHANGES }).reduce<Promise<number[]>>(
        async (earlier, _, index) => [...await earlier, await measureInForce(http.send, system, index)],
        Promise.resolve([]),
    );
    return {
        entryHosts,
        members: entryHosts + OTHER_MEMBERS,
        cpuPercent: rate(({ cpuSeconds }) => cpuSeconds) * 100,
        residentMegabytes: mean(after.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MEGABYTE,
        gossipBytesPerSecond: rate(({ gossipBytes }) => gossipBytes),
        gossipMessagesPerSecond: rate(({ gossipMessages }) => gossipMessages),
        keyValueCallsPerSecond: Object.fromEntries(
            Object.entries(callsAfter).map(([cause, count]) =>
                [cause, (count - (callsBefore[cause] ?? 0)) / durationMs * MS_PER_SECOND] as const
            ),
        ),
        inForceMs,
    };
};
