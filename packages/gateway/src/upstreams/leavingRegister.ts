import type { UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "./upstreamRecord";

/** A start of an upstream. */
type UpstreamStart = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

/** Upstreams that are known to be leaving. A notice is valid until the upstream has started anew. */
export interface LeavingRegister {
    /** Records a notice; returns whether it was unknown. */
    readonly add: (start: UpstreamStart) => boolean;
    readonly has: (start: UpstreamStart) => boolean;
    readonly entries: () => readonly (readonly [upstreamId: UpstreamId, startedAtMs: number])[];
}
