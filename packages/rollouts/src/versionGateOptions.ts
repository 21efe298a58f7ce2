import type { Hasher, HostId } from "@ibislanding/core";
import type { RolloutBounds } from "./rolloutBounds";

/** Options of `createVersionGate`. */
export interface VersionGateOptions {
    readonly hostId: HostId;
    readonly hasher: Hasher;
    readonly bounds: RolloutBounds;
}
