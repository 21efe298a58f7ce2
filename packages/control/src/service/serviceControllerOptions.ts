import type { Clock, RandomSource } from "@ibislanding/core";
import type {
    ControlOrder,
    LeaseHolder,
    ObservedUpstream,
    PlacementPolicy,
    ServiceDemand,
} from "@ibislanding/placement";
import type { KeyValueStore } from "@ibislanding/platform";
import type { OrderOutcome } from "../orders/orderOutcome";
import type { OrderPorts } from "../orders/orderPorts";
import type { DesiredService } from "./desiredService";

/** Dependencies and parameters of the controller of one service. */
export interface ServiceControllerOptions {
    readonly lease: LeaseHolder;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ports: OrderPorts;
    readonly policy: PlacementPolicy;
    /** The service as declared by the configuration in force in this process. */
    readonly desired: () => DesiredService | undefined;
    /** Observed upstreams; undefined before the first observation, until which nothing is planned. */
    readonly upstreams: () => readonly ObservedUpstream[] | undefined;
    readonly demand: () => ServiceDemand;
    /** Wall-clock deadlines of announced reclaims, by upstream id. */
    readonly reclaimDeadlinesMs: () => ReadonlyMap<string, number>;
    /** Time the demand must have been lower before replicas are removed. */
    readonly scaleInDelayMs: number;
    readonly operationIdOf?: (service: string, incarnation: number) => string;
    readonly onOrder?: (order: ControlOrder, outcome: OrderOutcome) => void;
}
