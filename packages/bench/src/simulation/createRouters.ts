import type { Hasher, Region } from "@ibislanding/core";
import { applyRoutingEvent, createRoutingState, type RoutingEvent, type RoutingState } from "@ibislanding/routing";
import type { Scenario } from "../scenario/scenario";
import type { PlacedReplica } from "./placedReplica";

const BLOCK_TOKENS = 64;

/** Blocks after the system prompt that tell prefixes apart. */
const PREFIX_BLOCKS = 4;

/** Creates one router for each entry host, and functions to tell one or all of them what happened. */
export const createRouters = (
    scenario: Scenario,
    replicas: readonly PlacedReplica[],
    hasher: Hasher,
): {
    readonly routerOf: (entryHost: number) => RoutingState;
    readonly regionOf: (entryHost: number) => Region;
    readonly applyToAll: (event: RoutingEvent, nowMs: number) => void;
} => {
    const affinityBlocks = Math.ceil(scenario.systemPromptTokens / BLOCK_TOKENS) + PREFIX_BLOCKS;
    const options = { affinityBlocks, crossRegionDelayMs: scenario.crossRegionDelayMs };
    const states = Array.from({ length: scenario.entryHosts }, () => createRoutingState(hasher, options));
    const { prefillTokensPerSecond, concurrentSequences } = scenario.engine;
    const [firstZone] = scenario.zones;
    const machineClass = {
        prefillTokensPerSecond,
        concurrentSequences,
        pricePerHour: firstZone?.pricePerHour ?? 1,
        reclaimablePricePerHour: firstZone?.reclaimablePricePerHour ?? 1,
        crossRegionPricePerGigabyte: scenario.crossRegionPricePerGigabyte,
        zonePrices: scenario.zones.map(({ availabilityZone, pricePerHour, reclaimablePricePerHour }) => ({
            availabilityZone,
            pricePerHour,
            reclaimablePricePerHour,
        })),
    };
    const applyToAll = (event: RoutingEvent, nowMs: number): void =>
        states.forEach(state => applyRoutingEvent(state, event, nowMs));
    applyToAll({ type: "machine-classes-declared", classes: { standard: machineClass } }, 0);
    applyToAll({ type: "entry-hosts-counted", count: scenario.entryHosts }, 0);
    applyToAll({ type: "upstreams-listed", upstreams: replicas }, 0);
    return {
        routerOf: entryHost => states[entryHost] as RoutingState,
        regionOf: entryHost => scenario.zones[entryHost % scenario.zones.length]?.region as Region,
        applyToAll,
    };
};
