import { type Clock, createFailure, ErrorCode, type Failure, type RandomSource } from "@ibislanding/core";
import { createFakeKeyValueStore, type KeyValueStore } from "@ibislanding/platform";
import { Err, type Result } from "ts-results";

const NETWORK_LATENCY_MS = 1;
const WRITE_DURATION_MS = 2.5;
const READ_DURATION_MS = 0.5;
const SLOW_CALL_DELAY_MS = 30;
const SLOW_CALL_PROBABILITY = 0.01;

interface StoreCounts {
    writes: number;
    conflicts: number;
    reads: number;
    bytesWritten: number;
    bytesRead: number;
}

interface ModelStore extends KeyValueStore {
    readonly writtenBytes: () => Readonly<Record<string, number>>;
    readonly counts: StoreCounts;
    readonly setUnavailable: (unavailable: boolean) => void;
}

/** Creates a simulated store with serial processing of calls, network latency and occasional slow calls. */
export const createModelStore = (clock: Clock, random: RandomSource): ModelStore => {
    const store = createFakeKeyValueStore(clock);
    const counts: StoreCounts = { writes: 0, conflicts: 0, reads: 0, bytesWritten: 0, bytesRead: 0 };
    let busyUntilMs = 0;

    const serve = async <T>(
        durationMs: number,
        timeoutMs: number,
        call: () => Promise<Result<T, Failure>>,
    ): Promise<Result<T, Failure>> => {
        const startMs = Math.max(clock.monotonicMs() + NETWORK_LATENCY_MS, busyUntilMs);
        if (startMs - clock.monotonicMs() > timeoutMs) {
            await clock.sleep(timeoutMs);
            return Err(createFailure(ErrorCode.KeyValueUnavailable));
        }
        busyUntilMs = startMs + durationMs;
        await clock.sleep(busyUntilMs - clock.monotonicMs());
        const result = await call();
        await clock.sleep(NETWORK_LATENCY_MS + (random.nextFloat() < SLOW_CALL_PROBABILITY ? SLOW_CALL_DELAY_MS : 0));
        return result;
    };

    return {
        ...store,
        counts,
        get: (key, options) => {
            counts.reads++;
            return serve(READ_DURATION_MS, options.timeoutMs ?? 500, async () => {
                const result = await store.get(key, options);
                counts.bytesRead += result.ok ? Buffer.byteLength(result.val?.value ?? "") : 0;
                return result;
            });
        },
        compareAndSwap: (request, options) => {
            counts.writes++;
            counts.bytesWritten += Buffer.byteLength(request.value ?? "");
            return serve(WRITE_DURATION_MS, options.timeoutMs ?? 500, async () => {
                const result = await store.compareAndSwap(request, options);
                counts.conflicts += result.err && result.val.code === ErrorCode.KeyValueConflict ? 1 : 0;
                return result;
            });
        },
    };
};
