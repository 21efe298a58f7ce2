import { choiceKey } from "./choiceKey";
import type { ReplicaChoice } from "./replicaChoice";

/** Returns the number of occurrences of each choice, by choice key. */
export const countChoices = (choices: readonly ReplicaChoice[]): ReadonlyMap<string, number> =>
    choices.reduce((counts, choice) => {
        const key = choiceKey(choice);
        return counts.set(key, (counts.get(key) ?? 0) + 1);
    }, new Map<string, number>());
