import type { EngineLoad, EngineOrder } from "@ibislanding/upstreams";

/** State of an engine that is controlled by orders. */
export interface EngineOrders {
    /** Applies an order; returns false for a stale fencing number. Orders of an older generation have no effect. */
    readonly apply: (order: EngineOrder) => boolean;
    readonly describe: () => Pick<EngineLoad, "modelVersions" | "adapters" | "role">;
}
