import type { Hasher } from "@ibislanding/core";
import type { UpstreamTable } from "@ibislanding/gateway";
import type { RolloutBounds } from "@ibislanding/rollouts";
import type { EdgeOptions } from "../edgeOptions";

/** Dependencies of rollouts. */
export interface RolloutsOptions extends Pick<EdgeOptions, "clock" | "log" | "metrics" | "documents" | "settings"> {
    readonly bounds: RolloutBounds;
    readonly hasher: Hasher;
    readonly upstreams: Pick<UpstreamTable, "records" | "isDeparting" | "isLeaving" | "hasCrashed">;
    /** Cluster time. */
    readonly nowMs: () => number;
    /** Whether this host currently hears of new states, from the store or a collector. */
    readonly isFollowing: () => boolean;
}
