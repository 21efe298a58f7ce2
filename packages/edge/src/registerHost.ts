import { backoffDelayMs, ErrorCode } from "@ibislanding/core";
import type { EdgeOptions } from "./edgeOptions";
import type { HostEntry } from "./hostEntry";

const REGISTER_BACKOFF = { initialDelayMs: 100, maximumDelayMs: 2_000 };

/** Time over which hosts spread their writes after the store was restored from a copy. */
const RESTORATION_JITTER_MS = 800;

/**
 * Stores this host's address for the other hosts, and stores it again after each restoration of the store, until the
 * signal aborts. Failed writes are repeated with backoff.
 */
export const registerHost = async (options: EdgeOptions, signal: AbortSignal): Promise<void> => {
    const { store, storeEpoch, settings, documents, clock, random, log } = options;
    const key = `${documents.ownPrefix}hosts/${settings.hostName}`;
    const entry: HostEntry = {
        address: settings.listen.peers,
        availabilityZone: settings.availabilityZone,
        cores: settings.processorCores,
        relayAddress: settings.listen.relay,
    };
    const value = JSON.stringify(entry);

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

    const register = async (): Promise<void> => {
        for (let attempt = 0; !signal.aborted; attempt++) {
            if (await registerOnce()) {
                log.write("host_registered", { key, attempt, storeEpoch: storeEpoch.current() });
                return;
            }
            await clock.sleep(backoffDelayMs(attempt, REGISTER_BACKOFF, random), signal);
        }
    };

    const waitForRestoration = (): Promise<void> =>
        new Promise(resolve => {
            const finish = (): void => {
                cancel();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const cancel = storeEpoch.onRise(finish);
            signal.addEventListener("abort", finish);
        });

    while (!signal.aborted) {
        const registeredEpoch = storeEpoch.current();
        await register();
        if (storeEpoch.current() === registeredEpoch || registeredEpoch === 0) {
            await waitForRestoration();
        }
        await clock.sleep(random.nextFloat() * RESTORATION_JITTER_MS, signal);
    }
};
