import { createDeferred, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { ConfigurationFollower } from "./configurationFollower";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { createDocumentHolder } from "./createDocumentHolder";
import { createPeerExchange } from "./createPeerExchange";
import { createStoreWatch } from "./createStoreWatch";
import type { DocumentSource } from "./documentSource";

/** Creates a follower and starts its watch on the store and its exchange with peers. */
export const createConfigurationFollower = (options: ConfigurationFollowerOptions): ConfigurationFollower => {
    const holder = createDocumentHolder(options);
    const stopping = new AbortController();
    const ready = createDeferred<ConfigurationDocument>();

    let forwarded = Promise.resolve(0);

    /** Resolves with the number of peers informed of the newest document. */
    const take = (document: ConfigurationDocument, source: DocumentSource): Promise<number> => {
        if (!stopping.signal.aborted && holder.advance(document, source)) {
            ready.resolve(document);
            forwarded = exchange.forward(document);
        }
        return forwarded;
    };

    const takeFrom = (source: DocumentSource) => (document: ConfigurationDocument): void => {
        take(document, source).catch((error: unknown) => options.onError?.(error));
    };

    const watch = createStoreWatch(options, takeFrom("store"));
    const exchange = createPeerExchange(options, holder.current, takeFrom("peer"));
    const loops = Promise.all([watch.run(stopping.signal), exchange.run(stopping.signal)]);
    loops.catch((error: unknown) => options.onError?.(error));

    const waitForFirst = async (signal: AbortSignal): Promise<Result<ConfigurationDocument, Failure>> => {
        const cancelled = createDeferred<undefined>();
        const cancel = (): void => cancelled.resolve(undefined);
        signal.addEventListener("abort", cancel);
        const document = signal.aborted ? undefined : await Promise.race([ready.promise, cancelled.promise]);
        signal.removeEventListener("abort", cancel);
        return document === undefined ? Err(createFailure(ErrorCode.Cancelled)) : Ok(document);
    };

    return {
        current: holder.current,
        whenReady: signal =>
            waitForFirst(signal === undefined ? stopping.signal : AbortSignal.any([signal, stopping.signal])),
        subscribe: holder.subscribe,
        offer: document => take(document, "offer"),
        stateDump: () => {
            const advancedAtMs = holder.advancedAtMs();
            return {
                revision: holder.current()?.revision,
                storeVersion: watch.storeVersion(),
                storeReachable: watch.reachable(),
                sinceAdvanceMs: advancedAtMs === undefined ? undefined : options.clock.monotonicMs() - advancedAtMs,
                advancedBy: holder.advancedBy(),
            };
        },
        [Symbol.asyncDispose]: async () => {
            stopping.abort();
            await loops;
        },
    };
};
