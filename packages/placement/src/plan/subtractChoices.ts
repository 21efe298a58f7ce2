import { choiceKey } from "./choiceKey";
import { countChoices } from "./countChoices";
import type { ReplicaChoice } from "./replicaChoice";

/** Multiset difference: each choice in `removed` removes at most one item with the same choice. */
export const subtractChoices = <T>(
    items: readonly T[],
    removed: readonly ReplicaChoice[],
    choiceOf: (item: T) => ReplicaChoice,
): readonly T[] => {
    const counts = new Map(countChoices(removed));
    return items.filter(item => {
        const key = choiceKey(choiceOf(item));
        const left = counts.get(key) ?? 0;
        counts.set(key, left - 1);
        return left <= 0;
    });
};
