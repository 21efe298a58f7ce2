import { createDeferred, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { ConfigurationFollower } from "./configurationFollower";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { createConfigurationGossip } from "./createConfigurationGossip";
import { createObservableDocument } from "./createObservableDocument";
import { createStoreWatch } from "./createStoreWatch";
import type { DocumentSource } from "./documentSource";

/** Creates a follower and starts its watch on the store and its gossip with peers. */
export const createConfigurationFollower = (options: ConfigurationFollowerOptions): ConfigurationFollower => {
    const latest = createObservableDocument(options);
    const stopController = new AbortController();
    const ready = createDeferred<ConfigurationDocument>();

    let lastForward = Promise.resolve(0);

    /** Resolves with the number of peers that confirmed the newest document. */
    const update = (document: ConfigurationDocument, source: DocumentSource): Promise<number> => {
        if (!stopController.signal.aborted && latest.advance(document, source)) {
            ready.resolve(document);
            lastForward = gossip.forward(document);
        }
        return lastForward;
    };

    const updateFrom = (source: DocumentSource) => (document: ConfigurationDocument): void => {
        update(document, source).catch((error: unknown) => options.onError?.(error));
    };

    const watch = createStoreWatch(options, updateFrom("store"));
    const gossip = createConfigurationGossip(options, latest.current, updateFrom("peer"));
    const loops = Promise.all([watch.run(stopController.signal), gossip.run(stopController.signal)]);
    loops.catch((error: unknown) => options.onError?.(error));

    const waitForFirstDocument = async (signal: AbortSignal): Promise<Result<ConfigurationDocument, Failure>> => {
        const cancelled = createDeferred<undefined>();
        const cancel = (): void => cancelled.resolve(undefined);
        signal.addEventListener("abort", cancel);
        const document = signal.aborted ? undefined : await Promise.race([ready.promise, cancelled.promise]);
        signal.removeEventListener("abort", cancel);
        return document === undefined ? Err(createFailure(ErrorCode.Cancelled)) : Ok(document);
    };

    return {
        current: latest.current,
        whenReady: signal =>
            waitForFirstDocument(
                signal === undefined ? stopController.signal : AbortSignal.any([signal, stopController.signal]),
            ),
        subscribe: latest.subscribe,
        offer: document => update(document, "offer"),
        stateDump: () => {
            const advancedAtMs = latest.advancedAtMs();
            return {
                revision: latest.current()?.revision,
                storeVersion: watch.storeVersion(),
                storeReachable: watch.isReachable(),
                sinceAdvanceMs: advancedAtMs === undefined ? undefined : options.clock.monotonicMs() - advancedAtMs,
                advancedBy: latest.advancedBy(),
            };
        },
        [Symbol.asyncDispose]: async () => {
            stopController.abort();
            await loops;
        },
    };
};
