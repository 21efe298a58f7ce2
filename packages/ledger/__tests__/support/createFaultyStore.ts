import { type Clock, createFailure, ErrorCode, type Failure, type RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { Err, type Result } from "ts-results";

interface FaultyStoreOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly waitUntilRunning: () => Promise<void>;
    readonly hasFault: () => boolean;
    readonly timeoutMs: number;
}

const MAXIMUM_DELAY_MS = 12;

/** Wraps the store of one host with delays, lost requests, lost responses and writes that are applied late. */
export const createFaultyStore = (options: FaultyStoreOptions): KeyValueStore => {
    const { store, clock, random, waitUntilRunning, hasFault, timeoutMs } = options;
    const delay = (): Promise<void> => clock.sleep(1 + random.nextInt(MAXIMUM_DELAY_MS));

    const withLatency = async <T>(call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> => {
        await waitUntilRunning();
        await delay();
        const result = await call();
        await delay();
        await waitUntilRunning();
        return result;
    };

    const timeOut = async (): Promise<Result<number, Failure>> => {
        await clock.sleep(timeoutMs);
        return Err(createFailure(ErrorCode.KeyValueOutcomeUnknown));
    };

    return {
        ...store,
        get: (key, callOptions) =>
            withLatency(async () =>
                hasFault() ? Err(createFailure(ErrorCode.KeyValueUnavailable)) : store.get(key, callOptions)
            ),
        compareAndSwap: (request, callOptions) =>
            withLatency(async () => {
                if (!hasFault()) {
                    return store.compareAndSwap(request, callOptions);
                }
                const faults = [
                    timeOut,
                    async () => {
                        await store.compareAndSwap(request, callOptions);
                        return timeOut();
                    },
                    async () => {
                        void clock.sleep(timeoutMs + random.nextInt(3 * timeoutMs))
                            .then(() => store.compareAndSwap(request, callOptions));
                        return timeOut();
                    },
                ];
                return (faults[random.nextInt(faults.length)] ?? timeOut)();
            }),
    };
};
