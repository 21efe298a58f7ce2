import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request as openRequest } from "node:http";
import type { LoadTarget } from "./loadTarget";
import type { ThroughputResult } from "./throughputResult";

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

interface Counts {
    requests: number;
    failures: number;
    events: number;
}

/** A stream that does not end so was broken off inside an event. */
const EVENT_END = "\n\n";

const countEvents = (text: string): number => text.split(EVENT_END).length - 1;

/** Sends one request, reads the whole stream and counts its events; a failure is only counted. */
const sendRequest = (
    target: LoadTarget,
    agent: Agent,
    count: number,
    counts: Counts,
    firstTokenHistogram: Histogram,
): Promise<void> =>
    new Promise(resolve => {
        const startMs = performance.now();
        let hasFirstToken = false;
        const { url, headers } = target;
        const request = openRequest(url, {
            method: "POST",
            agent,
            headers: { "content-type": "application/json", ...headers },
        });
        const fail = (): void => {
            counts.failures++;
            resolve();
        };
        request.on("error", fail);
        request.on("response", response => {
            if (response.statusCode !== 200) {
                response.resume();
                fail();
                return;
            }
            response.setEncoding("utf8");
            let lastText = "";
            response.on("data", (text: string) => {
                lastText = (lastText + text).slice(-EVENT_END.length);
                // Skips heartbeats and the initial event of the stream, which have no token.
                if (!hasFirstToken && /"token"|"content"/.test(text)) {
                    hasFirstToken = true;
                    firstTokenHistogram.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS_PER_MS));
                }
                counts.events += countEvents(text);
            });
            response.on("end", () => {
                if (lastText !== EVENT_END) {
                    fail();
                    return;
                }
                counts.requests++;
                resolve();
            });
            response.on("error", fail);
        });
        request.end(target.createBody(count));
    });

/**
 * Keeps a number of streams open for a duration, then reads the last ones to their end. Measures event rate, latency and
 * the CPU time of the target.
 */
export const measureThroughput = async (
    target: LoadTarget,
    streams: number,
    durationMs: number,
): Promise<ThroughputResult> => {
    const agent = new Agent({ keepAlive: true, maxSockets: streams });
    const counts: Counts = { requests: 0, failures: 0, events: 0 };
    const firstTokenHistogram = build();
    const startMs = performance.now();
    const cpuBefore = await target.readCpuSeconds();
    let next = 0;
    const run = async (): Promise<void> => {
        while (performance.now() - startMs < durationMs) {
            await sendRequest(target, agent, next++, counts, firstTokenHistogram);
        }
    };
    await Promise.all(Array.from({ length: streams }, run));
    const elapsedSeconds = (performance.now() - startMs) / MS_PER_SECOND;
    const cpuSeconds = await target.readCpuSeconds() - cpuBefore;
    agent.destroy();
    return {
        name: target.name,
        streams,
        requests: counts.requests,
        failures: counts.failures,
        eventsPerSecond: counts.events / elapsedSeconds,
        eventsPerCpuSecond: counts.events / cpuSeconds,
        cpuShare: cpuSeconds / elapsedSeconds,
        firstTokenP50Ms: firstTokenHistogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
        firstTokenP99Ms: firstTokenHistogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    };
};
