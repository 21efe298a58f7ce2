import type { ServiceDemand } from "@ibislanding/placement";
import type { DemandWindow } from "./demandWindow";

interface Sample extends ServiceDemand {
    readonly atMs: number;
}

const peakOf = (samples: readonly Sample[]): ServiceDemand => ({
    concurrentSequences: Math.max(0, ...samples.map(sample => sample.concurrentSequences)),
    prefillTokensPerSecond: Math.max(0, ...samples.map(sample => sample.prefillTokensPerSecond)),
});

/** Creates an empty demand window; `currentMs` and `peakMs` are the lengths of its short and its whole period. */
export const createDemandWindow = (currentMs: number, peakMs: number): DemandWindow => {
    let samples: readonly Sample[] = [];
    let firstSampleAtMs: number | undefined;

    const samplesSince = (atMs: number): readonly Sample[] => samples.filter(sample => sample.atMs >= atMs);

    return {
        record: (demand, nowMs) => {
            firstSampleAtMs ??= nowMs;
            samples = [...samplesSince(nowMs - peakMs), { ...demand, atMs: nowMs }];
        },
        current: nowMs => peakOf(samplesSince(nowMs - currentMs)),
        recentPeak:
            nowMs => (firstSampleAtMs !== undefined && nowMs - firstSampleAtMs >= peakMs ? peakOf(samples) : undefined),
    };
};
