import type { Hasher, Region } from "@ibislanding/core";
import { applyRoutingEvent, createRoutingState, type RoutingEvent, type RoutingState } from "@ibislanding/routing";
import type { Scenario } from "../scenario/scenario";
import type { PlacedReplica } from "./placedReplica";

const BLOCK_TOKENS = 64;

/** Number of blocks after the system prompt by which prefixes are distinguished. */
const PREFIX_BLOCKS = 4;

/** Creates the routing state of each entry host, with functions to look one up and to apply an event to all of them. */
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
