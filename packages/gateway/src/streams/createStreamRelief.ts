import type { Clock, ServiceName } from "@ibislanding/core";
import type { StreamRelief } from "./streamRelief";

/** Time for which prompts avoid engines after a stream was slow: the time that a stream which is moved there may take. */
const RELIEF_MS = 10_000;

/** Creates the state of a host at which no stream has been slow. */
export const createStreamRelief = (clock: Clock): StreamRelief => {
    const slowAtMs = new Map<ServiceName, number>();
    return {
        recordSlow: service => void slowAtMs.set(service, clock.monotonicMs()),
        isActive: service => clock.monotonicMs() - (slowAtMs.get(service) ?? -Infinity) < RELIEF_MS,
    };
};
