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
 * Creates a contender for one lease. A lease expires when its key has not changed for its duration on the contender's
 * own monotonic clock, so that clocks of different hosts are never compared. Fencing numbers increase with each grant.
 */
export const createLeaseHolder = (options: LeaseHolderOptions): LeaseHolder => {
    const { store, clock, key, holder, durationMs, strategy = defaultLeaseStrategy } = options;
    let observation: Observation | undefined;
    let grant: LeaseGrant | undefined;
    let renewedAtMs = -Infinity;
    let observedAtMs = -Infinity;
    let released = false;

    const currentGrant = (): LeaseGrant | undefined =>
        grant !== undefined && !released && clock.monotonicMs() < grant.validUntilMs ? grant : undefined;

    const setGrant = (next: LeaseGrant | undefined): void => {
        const changed = (grant === undefined) !== (next === undefined);
        grant = next;
        if (changed) {
            options.onChange?.(next !== undefined);
        }
    };

    const observe = (entry: KeyValueEntry | undefined): Observation => {
        const version = entry?.version ?? 0;
        if (observation === undefined || observation.version !== version) {
            const record = entry === undefined ? undefined : parseLeaseRecord(entry.value);
            observation = { version, record, unchangedSinceMs: clock.monotonicMs() };
        }
        return observation;
    };

    const read = async (): Promise<Observation | undefined> => {
        const result = await store.get(key, { cause: "lease" });
        return result.ok ? observe(result.val) : undefined;
    };

    const write = async (record: LeaseRecord, expectedVersion: number): Promise<WriteOutcome> => {
        const value = JSON.stringify(record);
        const result = await store.compareAndSwap({ key, expectedVersion, value }, { cause: "lease" });
        if (result.ok) {
            observation = { version: result.val, record, unchangedSinceMs: clock.monotonicMs() };
            return result.val;
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
        const isLost = record?.holder !== holder || record.fencingNumber !== held.fencingNumber;
        setGrant(isLost ? undefined : { ...held, version: seenVersion });
    };

    const canAcquire = ({ record, unchangedSinceMs }: Observation, rank: number): boolean => {
        const unchangedMs = clock.monotonicMs() - unchangedSinceMs;
        if (record === undefined) {
            return rank === 0 || unchangedMs >= durationMs;
        }
        return record.released || record.holder === holder || unchangedMs >= Math.max(durationMs, record.durationMs);
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
        const fencingNumber = strategy.nextFencingNumber(record?.fencingNumber ?? version);
        const writtenVersion = await write(createRecord(fencingNumber), version);
        if (writtenVersion !== undefined && !released) {
            renewedAtMs = sentAtMs;
            setGrant({
                fencingNumber: fencingNumber as FencingNumber,
                version: writtenVersion,
                validUntilMs: sentAtMs + durationMs * VALIDITY_SHARE,
                settledAtMs: clock.monotonicMs() + settlingMsAfter(record),
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
        const seen = await read();
        if (seen !== undefined && !released && canAcquire(seen, rank)) {
            await acquire(seen);
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
