import type { UpstreamId } from "@ibislanding/core";
import { setNewest } from "./setNewest";
import type { SilentUpstreams } from "./silentUpstreams";

/** Shortest time without a byte after which an upstream counts as silent; a sound one may pause for about a second. */
const MINIMUM_SILENCE_MS = 1_500;

/** The same as a multiple of the patience of the send. */
const PATIENCE_FACTOR = 2;

/** Time after which a silent upstream is tried again, and its growth each time that it is still silent. */
const AVOIDANCE = { initialMs: 2_000, maximumMs: 16_000, factor: 2 };

interface Silence {
    readonly avoidedMs: number;
    readonly untilMs: number;
}

/**
 * Creates the decision without silent upstreams; `nowMs` is monotonic.
 *
 * Handles links on which connections open and requests are lost, as through a middlebox that drops what follows the handshake: probes
 * find such an upstream to be reached, and requests would wait for it until their deadline. An upstream counts as silent only while
 * others answer, so that a stalled process and a service that is slow as a whole are not taken for such links.
 */
export const createSilentUpstreams = (nowMs: () => number): SilentUpstreams => {
    const answeredAtMs = new Map<UpstreamId, number>();
    const silences = new Map<UpstreamId, Silence>();
    let anyAnsweredAtMs = -Infinity;

    return {
        recordAnswer: upstreamId => {
            anyAnsweredAtMs = nowMs();
            setNewest(answeredAtMs, upstreamId, anyAnsweredAtMs);
            silences.delete(upstreamId);
        },
        examineSend: ({ upstreamId, startedAtMs, patienceMs }) => {
            const known = silences.get(upstreamId);
            const sinceMs = Math.max(startedAtMs, answeredAtMs.get(upstreamId) ?? -Infinity);
            const isSilent = nowMs() - sinceMs >= Math.max(MINIMUM_SILENCE_MS, patienceMs * PATIENCE_FACTOR);
            // Only a send that tried the upstream again shows that it is still silent.
            const isTrial = known === undefined || startedAtMs >= known.untilMs;
            if (!isSilent || !isTrial || anyAnsweredAtMs <= sinceMs) {
                return;
            }
            const avoidedMs = known === undefined
                ? AVOIDANCE.initialMs
                : Math.min(AVOIDANCE.maximumMs, known.avoidedMs * AVOIDANCE.factor);
            setNewest(silences, upstreamId, { avoidedMs, untilMs: nowMs() + avoidedMs });
        },
        isAvoided: upstreamId => nowMs() < (silences.get(upstreamId)?.untilMs ?? -Infinity),
    };
};
