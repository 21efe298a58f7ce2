import type { Subscribers } from "./subscribers";

/** Creates an empty set of listeners; if one throws, the error goes to `onError` and the others are still called. */
export const createSubscribers = (onError: (error: unknown) => void): Subscribers => {
    const entries = new Set<{ readonly listener: () => void; }>();

    const call = (listener: () => void): void => {
        try {
            listener();
        }
        catch (error) {
            onError(error);
        }
    };

    return {
        add: listener => {
            const entry = { listener };
            entries.add(entry);
            return () => void entries.delete(entry);
        },
        notify: () => [...entries].forEach(({ listener }) => call(listener)),
    };
};
