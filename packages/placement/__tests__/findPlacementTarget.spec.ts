import type { AvailabilityZone } from "@ibislanding/core";
import {
    carriesDemand,
    findPlacementTarget,
    type PlacementRequirement,
    type ReplicaOption,
    totalPricePerHour,
} from "@ibislanding/placement";
import fc from "fast-check";

const SEED = 4711;
const ZONES = ["marmara", "ege", "ic-anadolu"] as AvailabilityZone[];

const optionsArbitrary = fc.array(fc.tuple(fc.integer({ min: 5, max: 20 }), fc.integer({ min: 1, max: 15 })), {
    minLength: 3,
    maxLength: 3,
}).map(prices =>
    prices.flatMap(([onDemand, reclaimable], index) =>
        [true, false].map((isReclaimable): ReplicaOption => ({
            choice: { availabilityZone: ZONES[index]!, machineClass: "small", reclaimable: isReclaimable },
            pricePerHour: isReclaimable ? reclaimable : onDemand,
            concurrentSequences: 4,
            prefillTokensPerSecond: 1_000,
            refused: false,
        }))
    )
);

const requirementArbitrary = fc.record({
    demand: fc.record({
        concurrentSequences: fc.integer({ min: 0, max: 12 }),
        prefillTokensPerSecond: fc.integer({ min: 0, max: 3_000 }),
    }),
    minimumReplicas: fc.integer({ min: 0, max: 3 }),
    maximumReplicas: fc.constant(7),
    reclaimableShare: fc.constantFrom(0, 0.34, 0.5, 1),
    spareZones: fc.integer({ min: 0, max: 1 }),
});

const meets = (replicas: readonly ReplicaOption[], requirement: PlacementRequirement): boolean =>
    carriesDemand(replicas, requirement)
    && replicas.length <= requirement.maximumReplicas
    && replicas.filter(({ choice }) => choice.reclaimable).length <= requirement.reclaimableShare * replicas.length;

const combinations = (options: readonly ReplicaOption[], size: number): readonly (readonly ReplicaOption[])[] =>
    size === 0
        ? [[]]
        : options.flatMap((option, index) =>
            combinations(options.slice(index), size - 1).map(rest => [option, ...rest])
        );

describe("findPlacementTarget", () => {
    it("meets the requirement at the lowest price found by an exhaustive search", () => {
        fc.assert(
            fc.property(optionsArbitrary, requirementArbitrary, (options, requirement) => {
                const target = findPlacementTarget(options, requirement, [], 0);
                const best = Array.from({ length: 8 }, (_, size) => combinations(options, size))
                    .flat()
                    .filter(replicas => meets(replicas, requirement))
                    .reduce((least, replicas) => Math.min(least, totalPricePerHour(replicas)), Infinity);
                if (target.spareZones === requirement.spareZones) {
                    expect(meets(target.replicas, requirement)).toBe(true);
                    expect(totalPricePerHour(target.replicas)).toBeCloseTo(best, 6);
                }
                else {
                    expect(best).toBe(Infinity);
                }
            }),
            { seed: SEED, numRuns: 100 },
        );
    });
});
