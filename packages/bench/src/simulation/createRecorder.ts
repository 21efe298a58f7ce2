import type { RoutingPolicyName } from "@ibislanding/resources";
import { build } from "hdr-histogram-js";
import type { Scenario } from "../scenario/scenario";
import type { Arrival } from "../workload/arrival";
import type { ExperimentResult } from "./experimentResult";

const MS_PER_SECOND = 1_000;
const MS_PER_HOUR = 3_600_000;
const BYTES_PER_GIGABYTE = 1e9;
const BYTES_PER_PROMPT_TOKEN = 4;
const BYTES_PER_ANSWER_TOKEN = 200;
const BLOCK_TOKENS = 64;

interface SecondCounts {
    offered: number;
    inTarget: number;
}

/** Creates the counters of one run; callers measure latencies from the planned arrival, not from the dispatch. */
export const createRecorder = (
    scenario: Scenario,
): {
    readonly offered: (arrival: Arrival) => void;
    readonly refused: (arrival: Arrival) => void;
    readonly moved: () => void;
    readonly prefilled: (arrival: Arrival, cachedTokens: number) => void;
    readonly firstToken: (arrival: Arrival, latencyMs: number, isCrossRegion: boolean) => void;
    /** Records the elapsed time of a request that was queued or in prefill at the end of the run. */
    readonly unanswered: (arrival: Arrival, latencyMs: number) => void;
    readonly result: (
        policy: RoutingPolicyName,
        seed: number,
        hostPricePerHour: number,
    ) => ExperimentResult;
} => {
    const histogram = build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });
    const seenBlocks = new Set<string>();
    const seconds = Array.from(
        { length: Math.ceil(scenario.durationMs / MS_PER_SECOND) },
        (): SecondCounts => ({ offered: 0, inTarget: 0 }),
    );
    const totals = {
        offered: 0,
        high: 0,
        refused: 0,
        refusedHigh: 0,
        moved: 0,
        inTarget: 0,
        highInTarget: 0,
        neededTokens: 0,
        prefilledTokens: 0,
        crossRegionBytes: 0,
    };
    const isMeasured = ({ atMs }: Arrival): boolean => atMs >= scenario.warmUpMs;
    const isHigh = ({ account }: Arrival): boolean => account.priority === "high";
    const countsOfSecond = ({ atMs }: Arrival): SecondCounts =>
        seconds[Math.floor(atMs / MS_PER_SECOND)] as SecondCounts;

    return {
        offered: arrival => {
            countsOfSecond(arrival).offered++;
            totals.offered += isMeasured(arrival) ? 1 : 0;
            totals.high += isMeasured(arrival) && isHigh(arrival) ? 1 : 0;
        },
        refused: arrival => {
            totals.refused += isMeasured(arrival) ? 1 : 0;
            totals.refusedHigh += isMeasured(arrival) && isHigh(arrival) ? 1 : 0;
        },
        moved: () => {
            totals.moved++;
        },
        prefilled: (arrival, cachedTokens) => {
            const newBlocks = arrival.blockHashes.filter(blockHash => !seenBlocks.has(blockHash));
            newBlocks.forEach(blockHash => seenBlocks.add(blockHash));
            if (isMeasured(arrival)) {
                const remainder = arrival.promptTokens - arrival.blockHashes.length * BLOCK_TOKENS;
                totals.neededTokens += newBlocks.length * BLOCK_TOKENS + remainder;
                totals.prefilledTokens += arrival.promptTokens - cachedTokens;
            }
        },
        firstToken: (arrival, latencyMs, isCrossRegion) => {
            const isInTarget = latencyMs <= arrival.account.firstTokenTargetMs;
            countsOfSecond(arrival).inTarget += isInTarget ? 1 : 0;
            if (!isMeasured(arrival)) {
                return;
            }
            histogram.recordValue(Math.round(latencyMs));
            totals.inTarget += isInTarget ? 1 : 0;
            totals.highInTarget += isInTarget && isHigh(arrival) ? 1 : 0;
            totals.crossRegionBytes += isCrossRegion
                ? arrival.promptTokens * BYTES_PER_PROMPT_TOKEN + arrival.answerTokens * BYTES_PER_ANSWER_TOKEN
                : 0;
        },
        unanswered: (arrival, latencyMs) => {
            if (isMeasured(arrival)) {
                histogram.recordValue(Math.round(latencyMs));
            }
        },
        result: (policy, seed, hostPricePerHour) => {
            const measuredMs = scenario.durationMs - scenario.warmUpMs;
            const transferPrice = totals.crossRegionBytes / BYTES_PER_GIGABYTE * scenario.crossRegionPricePerGigabyte;
            return {
                policy,
                seed,
                replicas: scenario.replicas,
                offeredRequests: totals.offered,
                refusedRequests: totals.refused,
                refusedHighPriority: totals.refusedHigh,
                movedRequests: totals.moved,
                targetShare: totals.inTarget / totals.offered,
                highPriorityTargetShare: totals.highInTarget / Math.max(1, totals.high),
                goodputPerSecond: totals.inTarget / measuredMs * MS_PER_SECOND,
                firstTokenMsP50: histogram.getValueAtPercentile(50),
                firstTokenMsP95: histogram.getValueAtPercentile(95),
                firstTokenMsP99: histogram.getValueAtPercentile(99),
                neededTokens: totals.neededTokens,
                recomputedTokens: Math.max(0, totals.prefilledTokens - totals.neededTokens),
                costPerHour: hostPricePerHour + transferPrice * MS_PER_HOUR / measuredMs,
                targetShareBySecond: seconds.map(({ offered, inTarget }) => (offered === 0 ? 1 : inTarget / offered)),
            };
        },
    };
};
