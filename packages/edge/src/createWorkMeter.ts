import type { Clock, ServiceName } from "@ibislanding/core";
import type { WorkMeter } from "./workMeter";

/** Time over which work is averaged: long against single prompts, short against the boot time of an engine. */
const AVERAGE_MS = 5_000;

/** Creates an idle meter. */
export const createWorkMeter = (clock: Clock): WorkMeter => {
    const averages = new Map<ServiceName, { busy: number; atMs: number; }>();

    const decayed = ({ busy, atMs }: { readonly busy: number; readonly atMs: number; }): number =>
        busy * Math.exp((atMs - clock.monotonicMs()) / AVERAGE_MS);

    return {
        add: (service, workMs) => {
            const average = averages.get(service) ?? { busy: 0, atMs: clock.monotonicMs() };
            averages.set(service, { busy: decayed(average) + workMs / AVERAGE_MS, atMs: clock.monotonicMs() });
        },
        busyUpstreams: () => new Map([...averages].map(([service, average]) => [service, decayed(average)])),
    };
};
