import { type Clock, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { CompareAndSwapRequest } from "./compareAndSwapRequest";
import type { FakeKeyValueStore } from "./fakeKeyValueStore";
import type { KeyValueCallOptions } from "./keyValueCallOptions";
import type { KeyValueEntry } from "./keyValueEntry";

interface StoredEntry extends KeyValueEntry {
    readonly leaseId: string | undefined;
}

interface Lease {
    readonly durationMs: number;
    readonly expiresAtMs: number;
}

/** Maximum value size that the real service accepts. */
const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Interval at which a waiting call checks for a change. */
const POLL_INTERVAL_MS = 10;

/** Creates the store; `beforeCall` is awaited before each call, so that tests can control the interleaving of calls. */
export const createFakeKeyValueStore = (
    clock: Clock,
    beforeCall: () => Promise<void> = async () => undefined,
): FakeKeyValueStore => {
    const entries = new Map<string, StoredEntry>();
    const leases = new Map<string, Lease>();
    const callsByCause: Record<string, number> = {};
    const bytesByCause: Record<string, number> = {};
    let lastVersion = 0;
    let lastLeaseNumber = 0;
    let isUnavailable = false;
    let responsesToDrop = 0;
    let requestsToDrop = 0;

    const expireLeases = (): void => {
        [...leases].filter(([, lease]) => lease.expiresAtMs <= clock.monotonicMs()).forEach(([id]) => endLease(id));
    };

    const endLease = (leaseId: string): void => {
        leases.delete(leaseId);
        [...entries.values()].filter(entry => entry.leaseId === leaseId).forEach(entry => entries.delete(entry.key));
    };

    const beginCall = async (options: KeyValueCallOptions): Promise<Failure | undefined> => {
        callsByCause[options.cause] = (callsByCause[options.cause] ?? 0) + 1;
        await beforeCall();
        expireLeases();
        return isUnavailable ? createFailure(ErrorCode.KeyValueUnavailable) : undefined;
    };

    const toEntry = ({ key, value, version }: StoredEntry): KeyValueEntry => ({ key, value, version });

    const read = (key: string): KeyValueEntry | undefined => {
        const entry = entries.get(key);
        return entry === undefined ? undefined : toEntry(entry);
    };

    const applyWrite = (request: CompareAndSwapRequest): Result<number, Failure> => {
        const currentVersion = entries.get(request.key)?.version ?? 0;
        if (currentVersion !== request.expectedVersion) {
            return Err(createFailure(ErrorCode.KeyValueConflict, { details: { currentVersion } }));
        }
        if (request.leaseId !== undefined && !leases.has(request.leaseId)) {
            return Err(createFailure(ErrorCode.LeaseLost));
        }
        const version = ++lastVersion;
        if (request.value === undefined) {
            entries.delete(request.key);
        }
        else {
            entries.set(request.key, { key: request.key, value: request.value, version, leaseId: request.leaseId });
        }
        return Ok(version);
    };

    return {
        get: async (key, options) => {
            const failure = await beginCall(options);
            return failure === undefined ? Ok(read(key)) : Err(failure);
        },
        list: async (prefix, options) => {
            const failure = await beginCall(options);
            const matching = [...entries.values()].filter(entry => entry.key.startsWith(prefix));
            return failure === undefined
                ? Ok(matching.map(toEntry).sort((left, right) => (left.key < right.key ? -1 : 1)))
                : Err(failure);
        },
        compareAndSwap: async (request, options) => {
            const failure = await beginCall(options);
            if (failure !== undefined) {
                return Err(failure);
            }
            const sizeBytes = Buffer.byteLength(request.value ?? "");
            if (sizeBytes > MAXIMUM_VALUE_BYTES) {
                return Err(createFailure(ErrorCode.KeyValueTooLarge));
            }
            bytesByCause[options.cause] = (bytesByCause[options.cause] ?? 0) + sizeBytes;
            if (requestsToDrop > 0) {
                requestsToDrop--;
                return Err(createFailure(ErrorCode.KeyValueOutcomeUnknown));
            }
            const result = applyWrite(request);
            if (responsesToDrop > 0) {
                responsesToDrop--;
                return Err(createFailure(ErrorCode.KeyValueOutcomeUnknown));
            }
            return result;
        },
        waitForChange: async (key, knownVersion, waitMs, options) => {
            const failure = await beginCall(options);
            if (failure !== undefined) {
                return Err(failure);
            }
            const untilMs = clock.monotonicMs() + waitMs;
            while (
                (read(key)?.version ?? 0) === knownVersion && clock.monotonicMs() < untilMs && !isUnavailable
                && options.signal?.aborted !== true
            ) {
                await clock.sleep(POLL_INTERVAL_MS, options.signal);
                expireLeases();
            }
            return isUnavailable ? Err(createFailure(ErrorCode.KeyValueUnavailable)) : Ok(read(key));
        },
        grantLease: async (durationMs, options) => {
            const failure = await beginCall(options);
            if (failure !== undefined) {
                return Err(failure);
            }
            const leaseId = `lease-${++lastLeaseNumber}`;
            leases.set(leaseId, { durationMs, expiresAtMs: clock.monotonicMs() + durationMs });
            return Ok(leaseId);
        },
        keepLeaseAlive: async (leaseId, options) => {
            const failure = await beginCall(options);
            const lease = leases.get(leaseId);
            if (failure !== undefined || lease === undefined) {
                return Err(failure ?? createFailure(ErrorCode.LeaseLost));
            }
            leases.set(leaseId, { ...lease, expiresAtMs: clock.monotonicMs() + lease.durationMs });
            return Ok(undefined);
        },
        revokeLease: async (leaseId, options) => {
            const failure = await beginCall(options);
            if (failure === undefined) {
                endLease(leaseId);
            }
            return failure === undefined ? Ok(undefined) : Err(failure);
        },
        setUnavailable: value => {
            isUnavailable = value;
        },
        dropResponses: count => {
            responsesToDrop = count;
        },
        dropRequests: count => {
            requestsToDrop = count;
        },
        takeCopy: () => {
            const copiedEntries = [...entries];
            const copiedVersion = lastVersion;
            return () => {
                entries.clear();
                copiedEntries.forEach(([key, entry]) => entries.set(key, entry));
                lastVersion = copiedVersion;
            };
        },
        callCounts: () => ({ ...callsByCause }),
        writtenBytes: () => ({ ...bytesByCause }),
    };
};
