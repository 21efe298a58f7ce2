import { countCrashes } from "./countCrashes";
import type { CrashingFeature } from "./crashingFeature";
import { crashOf } from "./crashOf";
import type { FeatureHistory } from "./featureHistory";
import type { FeatureId } from "./featureId";
import type { IdentifiedSuspect } from "./identifiedSuspect";
import type { RequestKeyOf } from "./requestKeyOf";

/**
 * Time from the last crash until a feature is blamed on which answers have gone on before: an answer that has begun since
 * then clears it, and takes a second to go on and another to be heard of.
 */
const CLEARABLE_MS = 2_000;

interface Accusation extends CrashingFeature {
    /** Suspects of the crashes that count. */
    readonly suspects: readonly IdentifiedSuspect[];
    readonly lastCrashAtMs: number;
    /** Suspects that contain the feature; the crashing one is rarer than the features that it is combined with. */
    readonly occurrences: number;
    /** Longest time for which a suspect had run; a request that crashes its upstream does so soon. */
    readonly longestRunMs: number;
    /** Number of features that precede it. */
    readonly depth: number;
}

const groupByFeature = (
    suspects: readonly IdentifiedSuspect[],
): ReadonlyMap<FeatureId, readonly IdentifiedSuspect[]> => {
    const groups = new Map<FeatureId, IdentifiedSuspect[]>();
    suspects.forEach(suspect =>
        new Set(suspect.featureIds).forEach(featureId => {
            const group = groups.get(featureId);
            if (group === undefined) {
                groups.set(featureId, [suspect]);
                return;
            }
            group.push(suspect);
        })
    );
    return groups;
};

/** All suspects that contain a feature, and what is known of it. */
interface Case {
    readonly featureId: FeatureId;
    readonly history: FeatureHistory;
    /** Number of suspects that contain the feature. */
    readonly occurrences: number;
    /** Those since it was last cleared; all of them while it is quarantined. */
    readonly suspects: readonly IdentifiedSuspect[];
    /** Their crashes. */
    readonly crashes: ReadonlySet<string>;
    readonly depth: number;
}

const createCase = (
    featureId: FeatureId,
    containing: readonly IdentifiedSuspect[],
    history: FeatureHistory,
): Case => {
    const { isQuarantined, clearedAtMs, countedFromMs } = history;
    const suspects = isQuarantined
        ? containing
        : containing.filter(({ crashedAtMs }) => crashedAtMs > Math.max(clearedAtMs, countedFromMs));
    return {
        featureId,
        history,
        occurrences: containing.length,
        suspects,
        crashes: new Set(suspects.map(crashOf)),
        depth: Math.max(...containing.map(({ featureIds }) => featureIds.indexOf(featureId))),
    };
};

/** Returns the features that are quarantined and were involved in each crash. */
const explainCrashes = (cases: readonly Case[]): ReadonlyMap<string, readonly Case[]> => {
    const explanations = new Map<string, Case[]>();
    cases.filter(({ history }) => history.isQuarantined).forEach(known =>
        known.crashes.forEach(crash => explanations.set(crash, [...explanations.get(crash) ?? [], known]))
    );
    return explanations;
};

/**
 * Returns the suspects of crashes that no quarantined feature explains. A request explains those of a feature that was in no
 * more crashes than itself: clients repeat what was lost, so that sound requests are blamed beside the crashing feature.
 */
const findUnexplained = (
    { suspects }: Case,
    explanations: ReadonlyMap<string, readonly Case[]>,
): readonly IdentifiedSuspect[] => {
    const knownOf = (suspect: IdentifiedSuspect): readonly Case[] => explanations.get(crashOf(suspect)) ?? [];
    const remaining = suspects.filter(suspect =>
        !knownOf(suspect).some(({ history }) => history.explainsOthers === "always")
    );
    const crashes = new Set(remaining.map(crashOf)).size;
    return remaining.filter(suspect => !knownOf(suspect).some(known => known.crashes.size >= crashes));
};

/** Returns the accusation of a feature if there is enough evidence to blame it. */
const accuse = (
    accused: Case,
    explanations: ReadonlyMap<string, readonly Case[]>,
    requestKeyOf: RequestKeyOf,
    nowMs: number,
): readonly Accusation[] => {
    const { featureId, occurrences, depth } = accused;
    const { clearedAtMs, crashesToBlame, extraIfUnbegun, minimumRequests, isQuarantined } = accused.history;
    if (isQuarantined || accused.crashes.size < crashesToBlame) {
        return [];
    }
    const suspects = findUnexplained(accused, explanations);
    const crashTimesMs = suspects.map(({ crashedAtMs }) => crashedAtMs);
    const crashes = countCrashes(suspects, requestKeyOf);
    const wasCleared = clearedAtMs > -Infinity;
    const lastCrashAtMs = Math.max(...crashTimesMs);
    const requests = new Set(suspects.map(requestKeyOf)).size;
    const isEnough = crashes >= crashesToBlame + extraIfUnbegun
        || countCrashes(suspects.filter(({ hasBegun }) => hasBegun), requestKeyOf) >= crashesToBlame;
    const isSufficient = isEnough && requests >= minimumRequests
        && (!wasCleared || nowMs - lastCrashAtMs >= CLEARABLE_MS);
    return isSufficient
        ? [{
            featureId,
            suspects,
            crashes,
            firstCrashAtMs: Math.min(...crashTimesMs),
            lastCrashAtMs,
            wasCleared,
            occurrences,
            longestRunMs: Math.max(...suspects.map(({ runMs }) => runMs)),
            depth,
        }]
        : [];
};

/** Orders accusations by how well they explain the crashes; the best one comes first. */
const compareAccusations = (left: Accusation, right: Accusation): number =>
    right.crashes - left.crashes
    || Number(left.wasCleared) - Number(right.wasCleared)
    || left.occurrences - right.occurrences
    || left.longestRunMs - right.longestRunMs
    || right.depth - left.depth;

/** Whether another feature explains the same crashes, by other requests that ran on the same upstreams. */
const isAlternative = (best: Accusation, other: Accusation): boolean => {
    const crashes = new Set(best.suspects.map(crashOf));
    return other !== best
        && !other.suspects.some(suspect => best.suspects.includes(suspect))
        && other.suspects.every(suspect => crashes.has(crashOf(suspect)))
        && new Set(other.suspects.map(crashOf)).size === crashes.size;
};

/**
 * Returns the features to which the crashes are attributed, if the evidence suffices.
 *
 * Handles requests that crash each upstream that begins to run them, whether they share a prompt part or are the same
 * request again, while sound requests share all other features with them, and while upstreams also crash for other
 * reasons with sound requests in flight. A feature is blamed for crashes only if no answer on it has gone on since the
 * first of them. Features that always occurred together explain the same crashes; the most specific one is blamed, as the
 * others are shared with more requests. If different requests explain the same crashes, all of them are blamed: one that is
 * left out would crash as many upstreams again.
 *
 * A crash in which a feature was involved that is quarantined already is explained for the other features.
 */
export const findCrashingFeatures = (
    suspects: readonly IdentifiedSuspect[],
    historyOf: (featureId: FeatureId) => FeatureHistory,
    nowMs: number,
): readonly CrashingFeature[] => {
    const groups = groupByFeature(suspects);
    const cases = [...groups].flatMap(([featureId, containing]) => {
        const history = historyOf(featureId);
        return history.isQuarantined || containing.length >= history.crashesToBlame
            ? [createCase(featureId, containing, history)]
            : [];
    });
    const explanations = explainCrashes(cases);
    // A request that was answered before is sent again by clients on their own, so that its attempts are no repeats of one.
    const requestKeyOf: RequestKeyOf = suspect =>
        suspect.requestId === undefined || historyOf(suspect.requestId).clearedAtMs > -Infinity
            ? suspect
            : suspect.requestId;
    const accusations = cases
        .flatMap(accused => accuse(accused, explanations, requestKeyOf, nowMs))
        .sort(compareAccusations);
    const [best] = accusations;
    return best === undefined
        ? []
        : [best, ...accusations.filter(other => isAlternative(best, other))]
            .map(({ featureId, crashes, firstCrashAtMs, wasCleared }) => ({
                featureId,
                crashes,
                firstCrashAtMs,
                wasCleared,
            }));
};
