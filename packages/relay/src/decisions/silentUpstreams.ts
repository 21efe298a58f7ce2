import type { UpstreamId } from "@ibislanding/core";

/** Which upstreams of a service accept requests and answer none, as decided from the sends of one host. */
export interface SilentUpstreams {
    /** Bytes of an answer have arrived. */
    readonly recordAnswer: (upstreamId: UpstreamId) => void;
    /** Examines a send without a byte since `startedAtMs`; an answer is late after `patienceMs`. */
    readonly examineSend: (send: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly patienceMs: number;
    }) => void;
    /** Whether requests are to be sent elsewhere, and those that wait without a byte are not worth waiting for. */
    readonly isAvoided: (upstreamId: UpstreamId) => boolean;
}
