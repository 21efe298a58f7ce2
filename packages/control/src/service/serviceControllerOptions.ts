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

/** How the controller of one service is set up. */
export interface ServiceControllerOptions {
    readonly lease: LeaseHolder;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ports: OrderPorts;
    readonly policy: PlacementPolicy;
    /** The service as the configuration in force at this process declares it. */
    readonly desired: () => DesiredService | undefined;
    /** Observed upstreams; undefined until there was an observation, and no decision is made before. */
    readonly upstreams: () => readonly ObservedUpstream[] | undefined;
    readonly demand: () => ServiceDemand;
    /** Deadlines of announced reclaims, by upstream id. */
    readonly reclaimDeadlinesMs: () => ReadonlyMap<string, number>;
    /** Time for which the demand must have been lower before replicas are given up. */
    readonly scaleInDelayMs: number;
    readonly operationIdOf?: (service: string, incarnation: number) => string;
    readonly onOrder?: (effect: ControlOrder, outcome: OrderOutcome) => void;
}
