import type { AvailabilityZone } from "@ibislanding/core";
import type { MachineClassSpec, PlacementSpec } from "@ibislanding/resources";
import { choiceKey } from "./choiceKey";
import type { ReplicaChoice } from "./replicaChoice";
import type { ReplicaOption } from "./replicaOption";

const priceOf = (spec: MachineClassSpec, { availabilityZone, reclaimable }: ReplicaChoice): number => {
    const prices = spec.zonePrices.find(price => price.availabilityZone === availabilityZone) ?? spec;
    return reclaimable ? prices.reclaimablePricePerHour : prices.pricePerHour;
};

/** Lists every choice that the placement allows, in the placement's order of preferred zones. */
export const listOptions = (
    placement: PlacementSpec,
    machineClasses: ReadonlyMap<string, MachineClassSpec>,
    refusedChoiceKeys: ReadonlySet<string>,
): readonly ReplicaOption[] =>
    placement.availabilityZones.flatMap(zone =>
        placement.machineClasses.flatMap(machineClass => {
            const spec = machineClasses.get(machineClass);
            return spec === undefined ? [] : [true, false].map(reclaimable => {
                const choice = { availabilityZone: zone as AvailabilityZone, machineClass, reclaimable };
                return {
                    choice,
                    pricePerHour: priceOf(spec, choice),
                    concurrentSequences: spec.concurrentSequences,
                    prefillTokensPerSecond: spec.prefillTokensPerSecond,
                    refused: refusedChoiceKeys.has(choiceKey(choice)),
                };
            });
        })
    );
