import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { defaultFollowerStrategy } from "./defaultFollowerStrategy";
import type { ObservableDocument } from "./observableDocument";

type Listener = (document: ConfigurationDocument) => void;

/** Creates an observable document without a value; errors thrown by listeners are passed to `onError`. */
export const createObservableDocument = (options: ConfigurationFollowerOptions): ObservableDocument => {
    const { clock, onAdvance, onError, strategy = defaultFollowerStrategy } = options;
    const listeners = new Set<{ readonly notify: Listener; }>();
    const advancedBy: Record<string, number> = {};
    let current: ConfigurationDocument | undefined;
    let advancedAtMs: number | undefined;

    const notify = (listener: Listener | undefined, document: ConfigurationDocument): void => {
        try {
            listener?.(document);
        }
        catch (error) {
            onError?.(error);
        }
    };

    return {
        current: () => current,
        advance: (document, source) => {
            if (!strategy.replaces(document, current)) {
                return false;
            }
            current = document;
            advancedAtMs = clock.monotonicMs();
            advancedBy[source] = (advancedBy[source] ?? 0) + 1;
            notify(onAdvance, document);
            [...listeners].forEach(listener => notify(listener.notify, document));
            return true;
        },
        subscribe: listener => {
            const entry = { notify: listener };
            listeners.add(entry);
            return () => void listeners.delete(entry);
        },
        advancedAtMs: () => advancedAtMs,
        advancedBy: () => ({ ...advancedBy }),
    };
};
