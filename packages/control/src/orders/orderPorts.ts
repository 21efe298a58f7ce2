import type { UpstreamId } from "@ibislanding/core";
import type { CloudApi, WeightStore } from "@ibislanding/platform";
import type { EngineClient } from "@ibislanding/upstreams";

/** Ports through which orders are sent. */
export interface OrderPorts {
    readonly cloud: Pick<CloudApi, "startHost" | "stopHost">;
    /** Whether the cloud API rejects orders with a stale fencing number. */
    readonly cloudHonoursFencing: boolean;
    readonly weights: WeightStore;
    readonly engineAt: (url: string) => Pick<EngineClient, "order">;
    /** Notifies all entry hosts that an upstream accepts no new work. */
    readonly announceLeaving: (upstreamId: UpstreamId, deadlineMs: number | undefined) => void;
}
