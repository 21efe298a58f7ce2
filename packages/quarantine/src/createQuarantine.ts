import type { CrashingFeature } from "./crashingFeature";
import { crashOf } from "./crashOf";
import type { CrashSuspect } from "./crashSuspect";
import { createFeatureId } from "./createFeatureId";
import type { FeatureHistory } from "./featureHistory";
import type { FeatureId } from "./featureId";
import type { FeatureKind } from "./featureKind";
import { featureRules } from "./featureRules";
import { findCrashingFeatures } from "./findCrashingFeatures";
import type { IdentifiedSuspect } from "./identifiedSuspect";
import { parseFeatureId } from "./parseFeatureId";
import type { Quarantine } from "./quarantine";
import type { QuarantinedFeature } from "./quarantinedFeature";
import type { QuarantineOptions } from "./quarantineOptions";
import type { QuarantineRows } from "./quarantineRows";

/** Time for which one host after the other may try a request; in it, the others hear of the trial. */
const TRIAL_TURN_MS = 1_000;

/** Time without a request with the feature after which its quarantine ends and the next one is sent to an upstream. */
const QUIET_MS = 600_000;

/** Time for which evidence is kept, for and against a feature. */
const EVIDENCE_MS = 600_000;

/** Time for which a host reports evidence: several rounds of reports. */
const REPORTED_MS = 5_000;

/** Interval between decisions without new evidence. */
const DECISION_INTERVAL_MS = 200;

/** Minimum interval between reported clearings of one feature. */
const CLEARING_INTERVAL_MS = 500;

/** A host may start a trial, or a quarantine from the same evidence, until it has heard that an operator ended it. */
const RELEASE_SPREAD_MS = 2_000;

/** Bounds of what is kept. Features that were used or refused the longest ago are dropped, and suspects as `trimSuspects` does. */
const MAXIMUM_SUSPECTS = 512;
/** Newest suspects, which are kept whether or not there was an earlier crash under one of their features. */
const RECENT_SUSPECTS = 128;
const MAXIMUM_CLEARED = 4_000;
const MAXIMUM_FEATURES = 64;

/** Longer ids, and parts beyond this number in one prompt, are ignored. */
const MAXIMUM_ID_LENGTH = 69;
const MAXIMUM_PROMPT_PARTS = 8;

interface KnownSuspect extends IdentifiedSuspect {
    readonly heardAtMs: number;
}

interface Clearing {
    readonly beganAtMs: number;
    /** Time at which it became known or was renewed for the reports. */
    readonly heardAtMs: number;
}

const keyOf = (suspect: CrashSuspect): string => `${crashOf(suspect)} ${suspect.featureIds.join(" ")}`;

const PART_START = createFeatureId("part", "");
const REQUEST_START = createFeatureId("request", "");

const isActive = ({ sinceMs, endedAtMs }: QuarantinedFeature): boolean => sinceMs > endedAtMs;

/** Separators of reports can't be part of an id. */
const isUsable = (featureId: FeatureId): boolean =>
    featureId.length <= MAXIMUM_ID_LENGTH && !/\s/.test(featureId) && (parseFeatureId(featureId)?.value ?? "") !== "";

const lastUsedMs = ({ sinceMs, endedAtMs, refusedAtMs }: QuarantinedFeature): number =>
    Math.max(sinceMs, endedAtMs, refusedAtMs);

/** Orders features by their last use; the same on all hosts, which would otherwise add again what others have dropped. */
const compareLastUse = (left: QuarantinedFeature, right: QuarantinedFeature): number =>
    lastUsedMs(left) - lastUsedMs(right) || (left.featureId < right.featureId ? -1 : 1);

const leastRecentlyUsed = (features: readonly QuarantinedFeature[]): FeatureId =>
    features.reduce((oldest, feature) => compareLastUse(feature, oldest) < 0 ? feature : oldest).featureId;

const latest = (left: QuarantinedFeature, right: QuarantinedFeature): QuarantinedFeature => ({
    featureId: left.featureId,
    sinceMs: Math.max(left.sinceMs, right.sinceMs),
    endedAtMs: Math.max(left.endedAtMs, right.endedAtMs),
    refusedAtMs: Math.max(left.refusedAtMs, right.refusedAtMs),
    firstCrashAtMs: Math.max(left.firstCrashAtMs, right.firstCrashAtMs),
    crashes: Math.max(left.crashes, right.crashes),
    isConfirmed: left.isConfirmed || right.isConfirmed,
});

const isPart = (featureId: FeatureId): boolean => featureId.startsWith(PART_START);

const rulesOf = (featureId: FeatureId): (typeof featureRules)[FeatureKind] =>
    featureRules[isPart(featureId) ? "part" : "request"];

/** Removes the entry at the front of a map, which is the oldest one, if there are more than a number of entries. */
const trim = (map: Map<FeatureId, unknown>, maximum: number): void => {
    const [oldest] = map.keys();
    if (map.size > maximum && oldest !== undefined) {
        map.delete(oldest);
    }
};

/**
 * Creates a quarantine without features.
 *
 * All hosts collect the same evidence and each decides for itself; the features that one of them has quarantined are
 * quarantined at all. A quarantine holds as long as requests with the feature come, as every trial would cost an upstream.
 * It ends when an answer on the feature goes on, or after a quiet time. That of a feature on which answers had gone on
 * before ends once for a trial, as sound ones are blamed by accident only; for a request, one host lets one attempt pass.
 */
export const createQuarantine = ({ nowMs, lastAnsweredAtMs, isTrialTurn, events }: QuarantineOptions): Quarantine => {
    const suspects = new Map<string, KnownSuspect>();
    /** Beginnings of answers that have gone on, of all features that this host has served or heard of; oldest first. */
    const cleared = new Map<FeatureId, Clearing>();
    const features = new Map<FeatureId, QuarantinedFeature>();
    /** Number of suspects that contain each feature. */
    const suspectCounts = new Map<FeatureId, number>();
    /** Suspected and quarantined requests; undefined after a change. */
    let watchedRequests: readonly FeatureId[] | undefined;
    let decidedAtMs = -Infinity;
    let hasNewEvidence = false;

    const usable = (featureIds: readonly FeatureId[]): readonly FeatureId[] => {
        const known = featureIds.filter(isUsable);
        return [
            ...known.filter(isPart).slice(0, MAXIMUM_PROMPT_PARTS),
            ...known.filter(featureId => !isPart(featureId)),
        ];
    };

    const clearedAtMs = (featureId: FeatureId): number => cleared.get(featureId)?.beganAtMs ?? -Infinity;

    const isQuarantined = (featureId: FeatureId): boolean => {
        const feature = features.get(featureId);
        return feature !== undefined && isActive(feature);
    };

    const createHistory = (featureId: FeatureId, crashesToBlame: number): FeatureHistory => {
        const { extraIfUnbegun, minimumRequests } = rulesOf(featureId);
        return {
            isQuarantined: isQuarantined(featureId),
            explainsOthers: rulesOf(featureId).explainsOthers,
            clearedAtMs: clearedAtMs(featureId),
            countedFromMs: features.get(featureId)?.endedAtMs ?? -Infinity,
            crashesToBlame,
            extraIfUnbegun,
            minimumRequests: Math.min(minimumRequests, crashesToBlame),
        };
    };

    const historyOf = (featureId: FeatureId): FeatureHistory => {
        const known = features.get(featureId);
        const { toQuarantine, toRelapse } = rulesOf(featureId);
        if (known !== undefined && clearedAtMs(featureId) < known.firstCrashAtMs) {
            return createHistory(featureId, known.isConfirmed ? toRelapse.confirmed : toRelapse.unconfirmed);
        }
        return createHistory(featureId, cleared.has(featureId) ? toQuarantine.cleared : toQuarantine.neverCleared);
    };

    const repeatHistoryOf = (featureId: FeatureId): FeatureHistory => {
        const { toStopRepeats } = rulesOf(featureId);
        return createHistory(featureId, cleared.has(featureId) ? toStopRepeats.cleared : toStopRepeats.neverCleared);
    };

    const find = (featureIds: readonly FeatureId[]): QuarantinedFeature | undefined =>
        featureIds.flatMap(featureId => features.get(featureId) ?? []).find(isActive);

    const changeCounts = ({ featureIds }: CrashSuspect, change: number): void => {
        watchedRequests = undefined;
        new Set(featureIds).forEach(featureId => {
            const count = (suspectCounts.get(featureId) ?? 0) + change;
            if (count === 0) {
                suspectCounts.delete(featureId);
                return;
            }
            suspectCounts.set(featureId, count);
        });
    };

    const removeSuspects = (removed: readonly (readonly [key: string, suspect: KnownSuspect])[]): void =>
        removed.forEach(([key, suspect]) => {
            suspects.delete(key);
            changeCounts(suspect, -1);
        });

    const setFeature = (feature: QuarantinedFeature): void => {
        watchedRequests = undefined;
        features.set(feature.featureId, feature);
        if (features.size > MAXIMUM_FEATURES) {
            const dropped = leastRecentlyUsed([...features.values()]);
            features.delete(dropped);
            // Without its evidence, or the feature would be quarantined again at once.
            removeSuspects([...suspects].filter(([, { featureIds }]) => featureIds.includes(dropped)));
        }
    };

    const end = (
        feature: QuarantinedFeature,
        reason: "cleared" | "quiet" | "trial" | "operator",
        endedAtMs = nowMs(),
    ): void => {
        const ended = { ...feature, endedAtMs };
        setFeature(ended);
        events.onEnded(ended, reason);
    };

    const isTrialDue = ({ featureId, isConfirmed, sinceMs }: QuarantinedFeature): boolean =>
        !isConfirmed && nowMs() - sinceMs >= rulesOf(featureId).trialAfterMs;

    const quarantine = ({ featureId, crashes, firstCrashAtMs, wasCleared }: CrashingFeature): void => {
        const known = features.get(featureId);
        const feature: QuarantinedFeature = {
            featureId,
            crashes,
            firstCrashAtMs,
            isConfirmed: !wasCleared && rulesOf(featureId).trial === "all-hosts"
                || known !== undefined && clearedAtMs(featureId) < known.firstCrashAtMs,
            // Later than the last end, which may have been reported by a host whose clock is ahead.
            sinceMs: Math.max(nowMs(), (known?.endedAtMs ?? -Infinity) + 1),
            endedAtMs: known?.endedAtMs ?? -Infinity,
            refusedAtMs: known?.refusedAtMs ?? -Infinity,
        };
        setFeature(feature);
        events.onQuarantined(feature, true);
    };

    /** Decides again if there is new evidence; otherwise from time to time, as waiting times end. */
    const decide = (): void => {
        const atMs = nowMs();
        if (!hasNewEvidence && (atMs - decidedAtMs < DECISION_INTERVAL_MS || suspects.size + features.size === 0)) {
            return;
        }
        decidedAtMs = atMs;
        hasNewEvidence = false;
        removeSuspects([...suspects].filter(([, { crashedAtMs }]) => atMs - crashedAtMs >= EVIDENCE_MS));
        [...features.values()].filter(isActive).forEach(feature => {
            if (clearedAtMs(feature.featureId) > feature.firstCrashAtMs) {
                end(feature, "cleared");
            }
            else if (atMs - Math.max(feature.sinceMs, feature.refusedAtMs) >= QUIET_MS) {
                end(feature, "quiet");
            }
            else if (isTrialDue(feature) && rulesOf(feature.featureId).trial === "all-hosts") {
                end(feature, "trial");
            }
        });
        for (;;) {
            const found = findCrashingFeatures([...suspects.values()], historyOf, atMs);
            if (found.length === 0) {
                return;
            }
            found.forEach(quarantine);
        }
    };

    /** Confirms the quarantine of a request under which an upstream has crashed after a trial. */
    const confirmTried = (featureIds: readonly FeatureId[], crashedAtMs: number): void =>
        featureIds
            .flatMap(featureId => features.get(featureId) ?? [])
            .filter(feature => isActive(feature) && rulesOf(feature.featureId).trial === "one-request")
            .filter(({ featureId, sinceMs, firstCrashAtMs }) =>
                sinceMs - firstCrashAtMs >= rulesOf(featureId).trialAfterMs && crashedAtMs > sinceMs
            )
            .forEach(feature => setFeature({ ...feature, isConfirmed: true }));

    /** Whether another lost request had a feature on which no answer has ever gone on. */
    const isEvidence = ({ featureIds }: KnownSuspect): boolean =>
        featureIds.some(featureId => (suspectCounts.get(featureId) ?? 0) > 1 && !cleared.has(featureId));

    /** Many upstreams that crash at once lose hundreds of requests, none of which was in a crash before. */
    const trimSuspects = (): void => {
        if (suspects.size > MAXIMUM_SUSPECTS) {
            const known = [...suspects];
            const older = known.slice(0, -RECENT_SUSPECTS);
            const dropped = older.find(([, suspect]) => !isEvidence(suspect)) ?? older[0];
            removeSuspects(dropped === undefined ? [] : [dropped]);
        }
    };

    const addSuspect = (suspect: CrashSuspect, isOwn: boolean): void => {
        // Each report of the last seconds repeats it.
        if (suspects.has(keyOf(suspect))) {
            return;
        }
        const featureIds = usable(suspect.featureIds);
        const key = keyOf({ ...suspect, featureIds });
        const requestId = featureIds.find(featureId => !isPart(featureId));
        const added = { ...suspect, featureIds, requestId, heardAtMs: nowMs() };
        if (added.featureIds.length === 0 || suspects.has(key)) {
            return;
        }
        suspects.set(key, added);
        changeCounts(added, 1);
        trimSuspects();
        hasNewEvidence = true;
        confirmTried(featureIds, suspect.crashedAtMs);
        featureIds.forEach(featureId => {
            const answeredAtMs = cleared.has(featureId) ? undefined : lastAnsweredAtMs(featureId);
            if (answeredAtMs !== undefined) {
                addClearing(featureId, answeredAtMs, true);
            }
        });
        // The hosts that hear of the accusation may not know that answers on the features have gone on before.
        added.featureIds.forEach(featureId => {
            const clearing = cleared.get(featureId);
            if (clearing !== undefined) {
                cleared.set(featureId, { ...clearing, heardAtMs: nowMs() });
            }
        });
        events.onAccused(added, isOwn);
    };

    const addClearing = (featureId: FeatureId, beganAtMs: number, isOwn: boolean): void => {
        const known = cleared.get(featureId);
        if (beganAtMs <= (known?.beganAtMs ?? -Infinity)) {
            return;
        }
        const atMs = nowMs();
        const isReported = known !== undefined && atMs - known.heardAtMs < CLEARING_INTERVAL_MS;
        cleared.delete(featureId);
        cleared.set(featureId, { beganAtMs, heardAtMs: isReported ? known.heardAtMs : atMs });
        trim(cleared, MAXIMUM_CLEARED);
        hasNewEvidence ||= features.has(featureId);
        if (!isReported && suspectCounts.has(featureId)) {
            events.onCleared(featureId, beganAtMs, isOwn);
        }
    };

    const addFeature = (reported: QuarantinedFeature): void => {
        const known = features.get(reported.featureId);
        const merged = known === undefined ? reported : latest(known, reported);
        if (known === undefined && features.size >= MAXIMUM_FEATURES) {
            const oldest = features.get(leastRecentlyUsed([...features.values()]));
            if (oldest !== undefined && compareLastUse(reported, oldest) < 0) {
                return;
            }
        }
        setFeature(merged);
        const wasActive = known !== undefined && isActive(known);
        hasNewEvidence ||= isActive(merged) !== wasActive;
        if (isActive(merged) && !wasActive) {
            events.onQuarantined(merged, false);
        }
        if (!isActive(merged) && wasActive) {
            events.onEnded(merged, "reported");
        }
    };

    return {
        refuse: featureIds => {
            if (featureIds.length === 0) {
                return undefined;
            }
            decide();
            const feature = find(usable(featureIds));
            if (feature === undefined) {
                return undefined;
            }
            const dueForMs = nowMs() - feature.sinceMs - rulesOf(feature.featureId).trialAfterMs;
            if (isTrialDue(feature) && isTrialTurn(feature.featureId, Math.floor(dueForMs / TRIAL_TURN_MS))) {
                // The quarantine ends if the request is answered. The next trial comes later: this one may not be sent.
                setFeature({ ...feature, sinceMs: nowMs() });
                events.onTried(feature);
                return undefined;
            }
            setFeature({ ...feature, refusedAtMs: nowMs() });
            return feature;
        },
        watchesRequests: fingerprintStart => {
            watchedRequests ??= [...suspectCounts.keys(), ...features.keys()]
                .filter(featureId => featureId.startsWith(REQUEST_START));
            return watchedRequests.some(featureId => featureId.startsWith(fingerprintStart, REQUEST_START.length));
        },
        remainingMs: ({ sinceMs, refusedAtMs }) => Math.max(0, Math.max(sinceMs, refusedAtMs) + QUIET_MS - nowMs()),
        mayRepeat: featureIds => {
            const own = usable(featureIds);
            const shared = [...suspects.values()].map(suspect => ({
                ...suspect,
                featureIds: suspect.featureIds.filter(id => own.includes(id) || isQuarantined(id)),
            }));
            return find(own) === undefined
                && findCrashingFeatures(shared, repeatHistoryOf, Infinity).length === 0;
        },
        accuse: suspect => addSuspect(suspect, true),
        clear: (featureIds, beganAtMs) => {
            usable(featureIds).forEach(featureId => addClearing(featureId, beganAtMs, true));
        },
        rows: () => {
            decide();
            const oldestMs = nowMs() - REPORTED_MS;
            return {
                suspects: [...suspects.values()]
                    .filter(({ heardAtMs }) => heardAtMs >= oldestMs)
                    .map(({ upstreamId, startedAtMs, featureIds, crashedAtMs, runMs, hasBegun }) =>
                        [
                            upstreamId,
                            startedAtMs,
                            featureIds.join(" "),
                            Math.round(crashedAtMs),
                            Math.round(runMs),
                            hasBegun ? 1 : 0,
                        ] as const
                    ),
                cleared: [...new Set([...suspectCounts.keys(), ...features.keys()])]
                    .flatMap(featureId => {
                        const clearing = cleared.get(featureId);
                        return clearing === undefined || clearing.heardAtMs < oldestMs
                            ? []
                            : [[featureId, Math.round(clearing.beganAtMs)] as const];
                    }),
                quarantined: [...features.values()].map(feature =>
                    [
                        feature.featureId,
                        feature.sinceMs,
                        feature.endedAtMs === -Infinity ? 0 : feature.endedAtMs,
                        feature.refusedAtMs === -Infinity ? 0 : feature.refusedAtMs,
                        feature.firstCrashAtMs,
                        feature.crashes,
                        feature.isConfirmed ? 1 : 0,
                    ] as const
                ),
            };
        },
        observe: (rows: QuarantineRows) => {
            rows.suspects.forEach(([upstreamId, startedAtMs, featureIds, crashedAtMs, runMs, hasBegun]) =>
                addSuspect(
                    {
                        upstreamId: upstreamId as CrashSuspect["upstreamId"],
                        startedAtMs,
                        featureIds: featureIds.split(" ") as FeatureId[],
                        crashedAtMs,
                        runMs,
                        hasBegun: hasBegun === 1,
                    },
                    false,
                )
            );
            rows.cleared.forEach(([featureId, beganAtMs]) => addClearing(featureId as FeatureId, beganAtMs, false));
            rows.quarantined
                .filter(([featureId]) => isUsable(featureId as FeatureId))
                .forEach(([featureId, sinceMs, endedAtMs, refusedAtMs, firstCrashAtMs, crashes, isConfirmed]) =>
                    addFeature({
                        featureId: featureId as FeatureId,
                        sinceMs,
                        endedAtMs,
                        refusedAtMs,
                        firstCrashAtMs,
                        crashes,
                        isConfirmed: isConfirmed === 1,
                    })
                );
            decide();
        },
        features: () => [...features.values()].filter(isActive),
        suspectsOf: featureId => [...suspects.values()].filter(({ featureIds }) => featureIds.includes(featureId)),
        release: featureId => {
            const feature = find([featureId]);
            if (feature !== undefined) {
                end(feature, "operator", nowMs() + RELEASE_SPREAD_MS);
            }
            return feature !== undefined;
        },
    };
};
