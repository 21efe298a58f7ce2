import type { Hasher } from "@ibislanding/core";
import { defaultRoutingOptions } from "../model/defaultRoutingOptions";
import type { RoutingOptions } from "../model/routingOptions";
import type { RoutingState } from "./routingState";

/** Creates the state of a router without upstreams. */
export const createRoutingState = (hasher: Hasher, options: Partial<RoutingOptions> = {}): RoutingState => ({
    options: { ...defaultRoutingOptions, ...options },
    hasher,
    upstreams: new Map(),
    machineClasses: {},
    entryHostCount: 1,
    meanSequenceMs: new Map(),
    roundRobinPositions: new Map(),
});
