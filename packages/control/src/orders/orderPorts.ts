import type { UpstreamId } from "@ibislanding/core";
import type { CloudApi, WeightStore } from "@ibislanding/platform";
import type { EngineClient } from "@ibislanding/upstreams";

/** What orders are sent through. */
export interface OrderPorts {
    readonly cloud: Pick<CloudApi, "startHost" | "stopHost">;
    /** Whether the cloud API refuses orders with an old fencing number. */
    readonly cloudHonoursFencing: boolean;
    readonly weights: WeightStore;
    readonly engineAt: (url: string) => Pick<EngineClient, "order">;
    /** Tells all entry hosts that an upstream takes no new work. */
    readonly announceLeaving: (upstreamId: UpstreamId, deadlineMs: number | undefined) => void;
}
