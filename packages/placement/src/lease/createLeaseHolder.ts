import { createFailure, ErrorCode, type FencingNumber } from "@ibislanding/core";
import type { KeyValueEntry } from "@ibislanding/platform";
import { Err, Ok } from "ts-results";
import { defaultLeaseStrategy } from "./defaultLeaseStrategy";
import type { LeaseGrant } from "./leaseGrant";
import type { LeaseHolder } from "./leaseHolder";
import type { LeaseHolderOptions } from "./leaseHolderOptions";
import type { LeaseRecord } from "./leaseRecord";
import { parseLeaseRecord } from "./parseLeaseRecord";

/** Last observed state of the lease key, and the time since which it has not changed. */
interface Observation {
    readonly version: number;
    /** Epoch of the store; versions are comparable within one epoch only. */
    readonly storeEpoch: number;
    readonly record: LeaseRecord | undefined;
    readonly unchangedSinceMs: number;
}

/** Result of one write: the version of the written record, or undefined when the write is not confirmed. */
type WriteOutcome = number | undefined;

/** Fraction of the duration for which the holder considers its lease valid; the rest allows for clock drift. */
const VALIDITY_SHARE = 0.9;

/** Number of renewals, and of reads by a contender, within one lease duration. */
const RENEWALS_PER_DURATION = 3;

const WRITE_ID_LENGTH = 16;

/**
 * Distance between the fencing numbers of successive epochs of the store. A restored store no longer has the latest
 * numbers; those of the new epoch start above all numbers that the old one can have given out.
 */
const FENCING_NUMBERS_PER_EPOCH = 2 ** 32;

/**
 * Creates a contender for one lease. A lease expires when its key has not changed for its duration on the contender's
 * own monotonic clock, so that clocks of different hosts are never compared. Fencing numbers increase with each grant.
 *
 * Handles a store that was restored from a copy: a grant of the old epoch ends at once, and no one acquires the lease
 * before its duration has passed, as the last holder of the old epoch may not have noticed the restoration yet.
 */
export const createLeaseHolder = (options: LeaseHolderOptions): LeaseHolder => {
    const { store, clock, key, holder, durationMs, strategy = defaultLeaseStrategy } = options;
    const currentEpoch = (): number => options.storeEpoch?.current() ?? 0;
    let observation: Observation | undefined;
    let grant: LeaseGrant | undefined;
    let renewedAtMs = -Infinity;
    let observedAtMs = -Infinity;
    let released = false;

    const currentGrant = (): LeaseGrant | undefined =>
        grant !== undefined && !released && grant.storeEpoch === currentEpoch()
            && clock.monotonicMs() < grant.validUntilMs
            ? grant
            : undefined;

    const setGrant = (next: LeaseGrant | undefined): void => {
        const changed = (grant === undefined) !== (next === undefined);
        grant = next;
        if (changed) {
            options.onChange?.(next !== undefined);
        }
    };

    const observe = (entry: KeyValueEntry | undefined): Observation => {
        const version = entry?.version ?? 0;
        const storeEpoch = currentEpoch();
        if (observation?.version !== version || observation.storeEpoch !== storeEpoch) {
            const record = entry === undefined ? undefined : parseLeaseRecord(entry.value);
            observation = { version, storeEpoch, record, unchangedSinceMs: clock.monotonicMs() };
        }
        return observation;
    };

    /** Reads the key. A state that is older than the known one does not replace it. */
    const read = async (allowStale = false): Promise<Observation | undefined> => {
        const result = await store.get(key, { cause: "lease", allowStale });
        if (result.err) {
            return undefined;
        }
        const isOlder = allowStale && observation?.storeEpoch === currentEpoch()
            && (result.val?.version ?? 0) < observation.version;
        return isOlder ? observation : observe(result.val);
    };

    const write = async (record: LeaseRecord, expectedVersion: number): Promise<WriteOutcome> => {
        const value = JSON.stringify(record);
        const result = await store.compareAndSwap({ key, expectedVersion, value }, { cause: "lease" });
        if (result.ok) {
            const version = result.val;
            observation = { version, storeEpoch: record.storeEpoch, record, unchangedSinceMs: clock.monotonicMs() };
            return version;
        }
        if (!strategy.readsBackWrites || result.val.code === ErrorCode.KeyValueUnavailable) {
            return undefined;
        }
        const seen = await read();
        return seen?.record?.writeId === record.writeId ? seen.version : undefined;
    };

    const createRecord = (fencingNumber: number): LeaseRecord => ({
        fencingNumber,
        holder,
        writeId: options.random.nextHex(WRITE_ID_LENGTH),
        durationMs,
        released: false,
        settlingMs: 0,
        storeEpoch: currentEpoch(),
    });

    const renew = async (held: LeaseGrant): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        renewedAtMs = sentAtMs;
        const version = await write(createRecord(held.fencingNumber), held.version);
        if (version !== undefined) {
            setGrant({ ...held, version, validUntilMs: sentAtMs + durationMs * VALIDITY_SHARE });
            return;
        }
        const { record, version: seenVersion } = observation ?? { record: undefined, version: held.version };
        const isLost = record?.holder !== holder || record.fencingNumber !== held.fencingNumber
            || held.storeEpoch !== currentEpoch();
        setGrant(isLost ? undefined : { ...held, version: seenVersion });
    };

    const canAcquire = ({ record, unchangedSinceMs }: Observation, rank: number): boolean => {
        const unchangedMs = clock.monotonicMs() - unchangedSinceMs;
        if (record === undefined) {
            // A store that can be restored may have lost a lease that another process still holds.
            return rank === 0 && currentEpoch() === 0 || unchangedMs >= durationMs;
        }
        const isCurrent = record.storeEpoch === currentEpoch();
        return isCurrent && (record.released || record.holder === holder)
            || unchangedMs >= Math.max(durationMs, record.durationMs);
    };

    const settlingMsAfter = (record: LeaseRecord | undefined): number => {
        if (record === undefined) {
            return 0;
        }
        return record.released ? record.settlingMs : strategy.settlingMs(options.longestPauseMs);
    };

    const acquire = async ({ record, version }: Observation): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        // Every grant writes the key, so the key's version is at least the fencing number of an unreadable record.
        const storeEpoch = currentEpoch();
        const fencingNumber = strategy.nextFencingNumber(
            Math.max(record?.fencingNumber ?? version, storeEpoch * FENCING_NUMBERS_PER_EPOCH),
        );
        const writtenVersion = await write(createRecord(fencingNumber), version);
        if (writtenVersion !== undefined && !released && storeEpoch === currentEpoch()) {
            renewedAtMs = sentAtMs;
            setGrant({
                fencingNumber: fencingNumber as FencingNumber,
                version: writtenVersion,
                validUntilMs: sentAtMs + durationMs * VALIDITY_SHARE,
                settledAtMs: clock.monotonicMs() + settlingMsAfter(record),
                storeEpoch,
            });
        }
    };

    const contend = async (): Promise<void> => {
        const rank = options.rank();
        if (rank === undefined) {
            observation = undefined;
            return;
        }
        if (clock.monotonicMs() - observedAtMs < durationMs / RENEWALS_PER_DURATION) {
            return;
        }
        observedAtMs = clock.monotonicMs();
        const seen = await read(true);
        if (seen === undefined || !canAcquire(seen, rank)) {
            return;
        }
        const current = await read();
        if (current !== undefined && !released && canAcquire(current, rank)) {
            await acquire(current);
        }
    };

    const step = async (): Promise<void> => {
        if (released) {
            return;
        }
        const held = currentGrant();
        if (held === undefined) {
            setGrant(undefined);
            await contend();
        }
        else if (clock.monotonicMs() - renewedAtMs >= durationMs / RENEWALS_PER_DURATION) {
            await renew(held);
        }
    };

    const release = async (): Promise<void> => {
        const held = currentGrant();
        released = true;
        setGrant(undefined);
        if (held !== undefined) {
            const settlingMs = Math.max(0, held.settledAtMs - clock.monotonicMs());
            await write({ ...createRecord(held.fencingNumber), released: true, settlingMs }, held.version);
        }
    };

    return {
        step,
        check: ({ honoursFencing }) => {
            const held = currentGrant();
            const maySend = held !== undefined && (honoursFencing || clock.monotonicMs() >= held.settledAtMs);
            return maySend ? Ok(held.fencingNumber) : Err(createFailure(ErrorCode.LeaseLost));
        },
        grant: currentGrant,
        release,
        [Symbol.asyncDispose]: release,
    };
};
