import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { RolloutOrderId } from "./rolloutOrderId";

/** Order of an operator to move the traffic of a service to a version; not validated. */
export interface RolloutOrder {
    readonly orderId: RolloutOrderId;
    readonly service: ServiceName;
    readonly target: SoftwareVersion;
    /** Time from the order to its deadline. */
    readonly durationMs: number;
}
