import type { EngineLoad, EngineOrder } from "@ibislanding/upstreams";

/** What orders have made of an engine. */
export interface EngineOrders {
    /** Applies an order; returns false for an old fencing number. Orders of an older generation change nothing. */
    readonly apply: (order: EngineOrder) => boolean;
    readonly describe: () => Pick<EngineLoad, "modelVersions" | "adapters" | "role">;
}
