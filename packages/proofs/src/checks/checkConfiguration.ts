import type { HistoryRecord } from "../history/historyRecord";
import type { ConfigurationBounds } from "./configurationBounds";
import type { Violation } from "./violation";

const NAME = "configuration";

type Observation = Extract<HistoryRecord, { subject: "revision"; }>;

interface Accepted {
    readonly id: string;
    readonly invokedAtMs: number;
    readonly acceptedAtMs: number;
    readonly revision: number;
}

const isObservation = (record: HistoryRecord): record is Observation =>
    record.type === "observe" && record.subject === "revision";

const collectAccepted = (history: readonly HistoryRecord[]): readonly Accepted[] => {
    const invoked = new Map(
        history.flatMap(record =>
            "operation" in record && record.operation === "apply" && record.type === "invoke"
                ? [[record.id, record.atMs] as const]
                : []
        ),
    );
    return history.flatMap(record =>
        "operation" in record && record.operation === "apply" && record.type === "ok"
            ? [{
                id: record.id,
                invokedAtMs: invoked.get(record.id) ?? 0,
                acceptedAtMs: record.atMs,
                revision: record.revision,
            }]
            : []
    );
};

const checkOrder = (accepted: readonly Accepted[]): readonly Violation[] =>
    accepted.flatMap(earlier =>
        accepted
            .filter(later => later.invokedAtMs > earlier.acceptedAtMs && later.revision <= earlier.revision)
            .map(later => ({
                check: NAME,
                subject: later.id,
                detail: `accepted after ${earlier.id} without a higher revision`,
            }))
    );

const checkUnique = (accepted: readonly Accepted[]): readonly Violation[] =>
    accepted
        .filter((one, index) => accepted.findIndex(other => other.revision === one.revision) !== index)
        .map(({ id, revision }) => ({ check: NAME, subject: id, detail: `revision ${revision} was accepted twice` }));

const checkMonotonic = (observations: readonly Observation[]): readonly Violation[] => {
    const highest = new Map<string, number>();
    return observations.flatMap(({ target, revision }) => {
        const before = highest.get(target) ?? 0;
        highest.set(target, Math.max(before, revision));
        return revision >= before
            ? []
            : [{ check: NAME, subject: target, detail: `went from revision ${before} to ${revision}` }];
    });
};

const checkInForce = (
    accepted: readonly Accepted[],
    observations: readonly Observation[],
    inForceMs: number,
): readonly Violation[] =>
    observations.flatMap(({ target, revision, atMs }) =>
        accepted
            .filter(one => atMs > one.acceptedAtMs + inForceMs && revision < one.revision)
            .map(one => ({
                check: NAME,
                subject: target,
                detail: `revision ${one.revision} not in force after ${inForceMs} ms`,
            }))
    );

/**
 * Checks that accepted revisions are unique and follow real-time order, that no process reverts to an older revision,
 * and that each revision is in force within the bound.
 */
export const checkConfiguration = (
    history: readonly HistoryRecord[],
    bounds: ConfigurationBounds,
): readonly Violation[] => {
    const accepted = collectAccepted(history);
    const observations = history.filter(isObservation);
    return [
        ...checkOrder(accepted),
        ...checkUnique(accepted),
        ...checkMonotonic(observations),
        ...(bounds.inForceMs === undefined ? [] : checkInForce(accepted, observations, bounds.inForceMs)),
    ];
};
