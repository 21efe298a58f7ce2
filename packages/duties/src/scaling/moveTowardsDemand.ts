import type { FleetZone } from "./fleetZone";

/** Bounds of a zone's weight: reclaims take a whole zone, so no zone gets a multiple of the others. */
const MINIMUM_WEIGHT = 0.5;
const MAXIMUM_WEIGHT = 2;

/** Weights are rounded to this, so that zones with about the same demand are equal and their price decides. */
const WEIGHT_STEP = 0.25;

/** Relative decrease of the expected demand from which on a wave is leaving. */
const LEAVING_SHARE = 0.9;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const isWaveLeaving = ({ demand }: FleetZone): boolean =>
    demand !== undefined && demand.expectedBusy < demand.currentBusy * LEAVING_SHARE;

/**
 * Returns the number of upstreams in each zone: those that run, and new ones where demand is expected when they have started,
 * the cheapest zone first among equals; surplus ones are removed where least is expected for them.
 */
export const moveTowardsDemand = (
    zones: readonly FleetZone[],
    total: number,
    runningOf: (zone: FleetZone) => number,
    capacityOf: (zone: FleetZone) => number,
): ReadonlyMap<FleetZone, number> => {
    const meanBusy = sum(zones.map(({ demand }) => demand?.expectedBusy ?? 0)) / zones.length;
    const weights = new Map(zones.map(zone => {
        const weight = meanBusy <= 0 ? 1 : (1 + (zone.demand?.expectedBusy ?? meanBusy) / meanBusy) / 2;
        const rounded = Math.round(weight / WEIGHT_STEP) * WEIGHT_STEP;
        return [zone, Math.min(MAXIMUM_WEIGHT, Math.max(MINIMUM_WEIGHT, rounded))] as const;
    }));
    const counts = new Map(zones.map(zone => [zone, Math.min(capacityOf(zone), runningOf(zone))]));
    const countOf = (zone: FleetZone): number => counts.get(zone) ?? 0;
    const fillOf = (zone: FleetZone, count: number): number => count / (weights.get(zone) ?? 1);
    const cheapestFirst = [...zones].sort((left, right) => left.price - right.price);

    const change = (by: 1 | -1): void => {
        const possible = by === 1
            ? cheapestFirst.filter(zone => countOf(zone) < capacityOf(zone))
            : cheapestFirst.toReversed().filter(zone => countOf(zone) > 0);
        const preferred = by === 1 ? possible.filter(zone => !isWaveLeaving(zone)) : possible;
        const best = (preferred.length > 0 ? preferred : possible).reduce<FleetZone | undefined>(
            (chosen, zone) =>
                chosen === undefined
                    || (by === 1
                        ? fillOf(zone, countOf(zone)) < fillOf(chosen, countOf(chosen))
                        : fillOf(zone, countOf(zone)) > fillOf(chosen, countOf(chosen)))
                    ? zone
                    : chosen,
            undefined,
        );
        if (best !== undefined) {
            counts.set(best, countOf(best) + by);
        }
    };

    const difference = total - sum([...counts.values()]);
    Array.from({ length: Math.abs(difference) }).forEach(() => change(difference > 0 ? 1 : -1));
    return counts;
};
