import type { UpdateQueue } from "./updateQueue";

interface Entry {
    readonly kind: Parameters<UpdateQueue["put"]>[0];
    readonly key: string;
    readonly sizeBytes: number;
    sends: number;
}

/** Creates an empty queue, which holds at most one update per kind and key. */
export const createUpdateQueue = (): UpdateQueue => {
    const entries = new Map<string, Entry>();

    const selectFitting = (candidates: readonly Entry[], budgetBytes: number): readonly Entry[] => {
        let remainingBytes = budgetBytes;
        return candidates.filter(entry => {
            const fits = entry.sizeBytes <= remainingBytes;
            remainingBytes -= fits ? entry.sizeBytes : 0;
            return fits;
        });
    };

    const countSend = (entry: Entry, maximumSends: number): void => {
        entry.sends++;
        if (entry.sends >= maximumSends) {
            entries.delete(`${entry.kind}:${entry.key}`);
        }
    };

    return {
        put: (kind, key, sizeBytes) => void entries.set(`${kind}:${key}`, { kind, key, sizeBytes, sends: 0 }),
        take: (kinds, budgetBytes, maximumSends) => {
            const candidates = [...entries.values()]
                .filter(entry => kinds.includes(entry.kind))
                .sort((left, right) => left.sends - right.sends);
            const taken = selectFitting(candidates, budgetBytes);
            taken.forEach(entry => countSend(entry, maximumSends));
            return taken;
        },
        size: () => entries.size,
    };
};
