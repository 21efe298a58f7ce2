import { choiceKey } from "./choiceKey";
import { countChoices } from "./countChoices";
import type { ReplicaChoice } from "./replicaChoice";

/** Returns the items left when each choice in `removed` takes away one item with an equal choice. */
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
