import type { CrashSuspect } from "./crashSuspect";
import { findCrashingPart } from "./findCrashingPart";
import type { PartQuarantine } from "./partQuarantine";
import type { QuarantinedPart } from "./quarantinedPart";
import type { QuarantineEvents } from "./quarantineEvents";
import type { QuarantineRows } from "./quarantineRows";

/**
 * Crashes under a part after which it is quarantined. Five are allowed over all hosts; the difference covers crashes
 * that come while the evidence spreads, and evidence that is lost with a host.
 */
const CRASHES_TO_QUARANTINE = 3;

/** The same for a part that was quarantined before: one crash shows that nothing has changed. */
const CRASHES_TO_RELAPSE = 1;

/**
 * Crashes before that of a request under one of its parts after which it is not sent to another upstream; fewer for a
 * part on which no answer has ever gone on.
 */
const CRASHES_TO_STOP_REPEATS = { cleared: 2, neverCleared: 1 };

/** Time without a request with the part after which its quarantine ends and the next one is sent to an upstream. */
const QUIET_MS = 600_000;

/** Time for which evidence is kept, for and against a part. */
const EVIDENCE_MS = 600_000;

/** Time for which a host reports evidence: several rounds of reports. */
const REPORTED_MS = 5_000;

/** Minimum interval between reported clearings of one part. */
const CLEARING_INTERVAL_MS = 500;

/** Bounds of what is kept; the oldest suspects, and the parts that were used or refused the longest ago, are dropped. */
const MAXIMUM_SUSPECTS = 256;
const MAXIMUM_CLEARED = 4_000;
const MAXIMUM_PARTS = 64;

/** Longer part ids, and parts beyond this number in one prompt, are ignored. */
const MAXIMUM_ID_LENGTH = 64;
const MAXIMUM_PROMPT_PARTS = 8;

interface KnownSuspect extends CrashSuspect {
    readonly heardAtMs: number;
}

interface Clearing {
    readonly beganAtMs: number;
    /** Time at which it became known or was renewed for the reports. */
    readonly heardAtMs: number;
}

const keyOf = ({ upstreamId, startedAtMs, partIds }: CrashSuspect): string =>
    `${upstreamId} ${startedAtMs} ${partIds.join(" ")}`;

const isActive = ({ sinceMs, endedAtMs }: QuarantinedPart): boolean => sinceMs > endedAtMs;

/** Separators of reports can't be part of an id. */
const isUsable = (partId: string): boolean =>
    partId.length > 0 && partId.length <= MAXIMUM_ID_LENGTH && !/\s/.test(partId);

const latest = (left: QuarantinedPart, right: QuarantinedPart): QuarantinedPart => ({
    partId: left.partId,
    sinceMs: Math.max(left.sinceMs, right.sinceMs),
    endedAtMs: Math.max(left.endedAtMs, right.endedAtMs),
    refusedAtMs: Math.max(left.refusedAtMs, right.refusedAtMs),
    firstCrashAtMs: Math.max(left.firstCrashAtMs, right.firstCrashAtMs),
    crashes: Math.max(left.crashes, right.crashes),
});

/** Removes the entries at the front of a map, which are the oldest ones, down to a number of entries. */
const trim = (map: Map<string, unknown>, maximum: number): void =>
    [...map.keys()].slice(0, Math.max(0, map.size - maximum)).forEach(key => void map.delete(key));

/**
 * Creates a quarantine without parts; `nowMs` is a clock that the hosts share.
 *
 * All hosts collect the same evidence and each decides for itself; the parts that one of them has quarantined are
 * quarantined at all. A quarantine holds as long as requests with the part come, as every trial would cost an upstream.
 * It ends when an answer on the part goes on, or after a quiet time.
 */
export const createPartQuarantine = (nowMs: () => number, events: QuarantineEvents): PartQuarantine => {
    const suspects = new Map<string, KnownSuspect>();
    /** Beginnings of answers that have gone on, of all parts that this host has served or heard of; oldest first. */
    const cleared = new Map<string, Clearing>();
    const parts = new Map<string, QuarantinedPart>();

    const usable = (partIds: readonly string[]): readonly string[] =>
        partIds.slice(0, MAXIMUM_PROMPT_PARTS).filter(isUsable);

    const clearedAtMs = (partId: string): number => cleared.get(partId)?.beganAtMs ?? -Infinity;

    const crashesToQuarantine = (partId: string): number =>
        clearedAtMs(partId) < (parts.get(partId)?.firstCrashAtMs ?? -Infinity)
            ? CRASHES_TO_RELAPSE
            : CRASHES_TO_QUARANTINE;

    const crashesToStopRepeats = (partId: string): number =>
        cleared.has(partId) ? CRASHES_TO_STOP_REPEATS.cleared : CRASHES_TO_STOP_REPEATS.neverCleared;

    const find = (partIds: readonly string[]): QuarantinedPart | undefined =>
        partIds.flatMap(partId => parts.get(partId) ?? []).find(isActive);

    const unexplainedSuspects = (): readonly KnownSuspect[] =>
        [...suspects.values()].filter(({ partIds }) => find(partIds) === undefined);

    const setPart = (part: QuarantinedPart): void => {
        parts.delete(part.partId);
        parts.set(part.partId, part);
        trim(parts, MAXIMUM_PARTS);
    };

    const end = (part: QuarantinedPart, reason: "cleared" | "quiet"): void => {
        const ended = { ...part, endedAtMs: nowMs() };
        setPart(ended);
        events.onEnded(ended, reason);
    };

    const decide = (): void => {
        const atMs = nowMs();
        [...suspects].filter(([, { crashedAtMs }]) => atMs - crashedAtMs >= EVIDENCE_MS).forEach(([key]) =>
            suspects.delete(key)
        );
        [...parts.values()].filter(isActive).forEach(part => {
            if (clearedAtMs(part.partId) > part.firstCrashAtMs) {
                end(part, "cleared");
            }
            else if (atMs - Math.max(part.sinceMs, part.refusedAtMs) >= QUIET_MS) {
                end(part, "quiet");
            }
        });
        for (;;) {
            const found = findCrashingPart(unexplainedSuspects(), clearedAtMs, crashesToQuarantine, atMs);
            if (found === undefined) {
                return;
            }
            const known = parts.get(found.partId);
            const part = {
                ...found,
                sinceMs: atMs,
                endedAtMs: known?.endedAtMs ?? -Infinity,
                refusedAtMs: known?.refusedAtMs ?? -Infinity,
            };
            setPart(part);
            events.onQuarantined(part, true);
        }
    };

    const addSuspect = (suspect: CrashSuspect, isOwn: boolean): void => {
        const usableIds = usable(suspect.partIds);
        const added = { ...suspect, partIds: usableIds, heardAtMs: nowMs() };
        const key = keyOf(added);
        if (usableIds.length === 0 || suspects.has(key)) {
            return;
        }
        suspects.set(key, added);
        trim(suspects, MAXIMUM_SUSPECTS);
        events.onAccused(added, isOwn);
    };

    const isSuspected = (partId: string): boolean =>
        [...suspects.values()].some(({ partIds }) => partIds.includes(partId));

    const addClearing = (partId: string, beganAtMs: number, isOwn: boolean): void => {
        const known = cleared.get(partId);
        if (beganAtMs <= (known?.beganAtMs ?? -Infinity)) {
            return;
        }
        const atMs = nowMs();
        const isReported = known !== undefined && atMs - known.heardAtMs < CLEARING_INTERVAL_MS;
        cleared.delete(partId);
        cleared.set(partId, { beganAtMs, heardAtMs: isReported ? known.heardAtMs : atMs });
        trim(cleared, MAXIMUM_CLEARED);
        if (!isReported && isSuspected(partId)) {
            events.onCleared(partId, beganAtMs, isOwn);
        }
    };

    const addPart = (reported: QuarantinedPart): void => {
        const known = parts.get(reported.partId);
        const merged = known === undefined ? reported : latest(known, reported);
        setPart(merged);
        const wasActive = known !== undefined && isActive(known);
        if (isActive(merged) && !wasActive) {
            events.onQuarantined(merged, false);
        }
        if (!isActive(merged) && wasActive) {
            events.onEnded(merged, "reported");
        }
    };

    return {
        refuse: partIds => {
            if (partIds.length === 0) {
                return undefined;
            }
            decide();
            const part = find(usable(partIds));
            if (part !== undefined) {
                setPart({ ...part, refusedAtMs: nowMs() });
            }
            return part;
        },
        remainingMs: ({ sinceMs, refusedAtMs }) => Math.max(0, Math.max(sinceMs, refusedAtMs) + QUIET_MS - nowMs()),
        mayRepeat: partIds => {
            const own = usable(partIds);
            const shared = unexplainedSuspects().map(suspect => ({
                ...suspect,
                partIds: suspect.partIds.filter(partId => own.includes(partId)),
            }));
            return find(own) === undefined
                && findCrashingPart(shared, clearedAtMs, crashesToStopRepeats, Infinity) === undefined;
        },
        accuse: suspect => {
            addSuspect(suspect, true);
            decide();
        },
        clear: (partIds, beganAtMs) => {
            usable(partIds).forEach(partId => addClearing(partId, beganAtMs, true));
        },
        rows: () => {
            decide();
            const oldestMs = nowMs() - REPORTED_MS;
            return {
                suspects: unexplainedSuspects()
                    .filter(({ heardAtMs }) => heardAtMs >= oldestMs)
                    .map(({ upstreamId, startedAtMs, partIds, crashedAtMs }) =>
                        [upstreamId, startedAtMs, partIds.join(" "), Math.round(crashedAtMs)] as const
                    ),
                cleared: [...new Set(unexplainedSuspects().flatMap(({ partIds }) => partIds)), ...parts.keys()]
                    .flatMap(partId => {
                        const clearing = cleared.get(partId);
                        return clearing === undefined || clearing.heardAtMs < oldestMs
                            ? []
                            : [[partId, Math.round(clearing.beganAtMs)] as const];
                    }),
                quarantined: [...parts.values()].map(part =>
                    [
                        part.partId,
                        part.sinceMs,
                        part.endedAtMs === -Infinity ? 0 : part.endedAtMs,
                        part.refusedAtMs === -Infinity ? 0 : part.refusedAtMs,
                        part.firstCrashAtMs,
                        part.crashes,
                    ] as const
                ),
            };
        },
        observe: (rows: QuarantineRows) => {
            rows.suspects.forEach(([upstreamId, startedAtMs, partIds, crashedAtMs]) =>
                addSuspect(
                    {
                        upstreamId: upstreamId as CrashSuspect["upstreamId"],
                        startedAtMs,
                        partIds: partIds.split(" "),
                        crashedAtMs,
                    },
                    false,
                )
            );
            rows.cleared.forEach(([partId, beganAtMs]) => addClearing(partId, beganAtMs, false));
            rows.quarantined.forEach(([partId, sinceMs, endedAtMs, refusedAtMs, firstCrashAtMs, crashes]) =>
                addPart({ partId, sinceMs, endedAtMs, refusedAtMs, firstCrashAtMs, crashes })
            );
            decide();
        },
        parts: () => [...parts.values()].filter(isActive),
    };
};
