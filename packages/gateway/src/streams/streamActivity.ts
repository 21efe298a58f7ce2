import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** When the streams of a host last received anything from their upstreams. */
export interface StreamActivity {
    /** Adds a running stream, until `end` is called on the returned object. */
    readonly track: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => {
        readonly recordProgress: () => void;
        /** Time since the stream last received something. */
        readonly silentMs: () => number;
        /** Longest time between two receptions of the stream. */
        readonly longestGapMs: () => number;
        /** Whether the upstream's other streams are silent too, at least one, while those of another upstream are not. */
        readonly isUpstreamSilent: () => boolean;
        /** `isGivenUp` if the stream was silent until now: it shows for some seconds that its upstream is. */
        readonly end: (isGivenUp: boolean) => void;
    };
}
