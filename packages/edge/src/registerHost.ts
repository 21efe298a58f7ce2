import { backoffDelayMs, ErrorCode } from "@ibislanding/core";
import type { EdgeOptions } from "./edgeOptions";

const REGISTER_BACKOFF = { initialDelayMs: 100, maximumDelayMs: 2_000 };

/** Stores this host's address for the other hosts; retries with backoff until it is stored or the signal aborts. */
export const registerHost = async (options: EdgeOptions, signal: AbortSignal): Promise<void> => {
    const { store, settings, documents, clock, random, log } = options;
    const key = `${documents.ownPrefix}hosts/${settings.hostName}`;
    const value = settings.listen.peers;

    const registerOnce = async (): Promise<boolean> => {
        const existing = await store.get(key, { cause: "membership-seed", signal });
        if (existing.err) {
            return false;
        }
        if (existing.val?.value === value) {
            return true;
        }
        const expectedVersion = existing.val?.version ?? 0;
        const written = await store.compareAndSwap({ key, expectedVersion, value }, {
            cause: "membership-seed",
            signal,
        });
        return written.ok || written.val.code === ErrorCode.KeyValueConflict && await registerOnce();
    };

    for (let attempt = 0; !signal.aborted; attempt++) {
        if (await registerOnce()) {
            log.write("host_registered", { key, attempt });
            return;
        }
        await clock.sleep(backoffDelayMs(attempt, REGISTER_BACKOFF, random), signal);
    }
};
