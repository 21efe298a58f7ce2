import type { HistoryRecord } from "../history/historyRecord";
import type { Violation } from "./violation";

interface Attempt {
    readonly id: string;
    readonly key: string;
    readonly outcome: "ok" | "fail" | "info" | "open";
    readonly answer: string | undefined;
}

const NAME = "actions-at-most-once";

const collectAttempts = (history: readonly HistoryRecord[]): readonly Attempt[] => {
    const ends = new Map(
        history.flatMap(record =>
            "operation" in record && record.operation === "action" && record.type !== "invoke"
                ? [[record.id, record] as const]
                : []
        ),
    );
    return history.flatMap(record => {
        if (!("operation" in record) || record.operation !== "action" || record.type !== "invoke") {
            return [];
        }
        const end = ends.get(record.id);
        return [{
            id: record.id,
            key: `${record.service}/${record.key}`,
            outcome: end?.type ?? "open",
            answer: end?.type === "ok" ? end.answer : undefined,
        }];
    });
};

const collectEffects = (history: readonly HistoryRecord[]): ReadonlyMap<string, number> =>
    history.reduce((counts, record) => {
        if (record.type === "observe" && record.subject === "effects") {
            const key = `${record.service}/${record.key}`;
            counts.set(key, (counts.get(key) ?? 0) + record.count);
        }
        return counts;
    }, new Map<string, number>());

const checkKey = (key: string, attempts: readonly Attempt[], effects: number): readonly Violation[] => {
    const answers = new Set(attempts.flatMap(({ answer }) => answer ?? []));
    const allNotRun = attempts.every(({ outcome }) => outcome === "fail");
    const faults = [
        effects > 1 ? `${effects} effects` : undefined,
        answers.size > 1 ? `${answers.size} different answers` : undefined,
        answers.size > 0 && effects === 0 ? "answered but had no effect" : undefined,
        allNotRun && effects > 0 ? "reported as not run but had an effect" : undefined,
    ];
    return faults.flatMap(detail => (detail === undefined ? [] : [{ check: NAME, subject: key, detail }]));
};

/**
 * Checks that each action ran at most once, that all answers for an idempotency key are equal, and that actions
 * reported as not run had no effect.
 */
export const checkActions = (history: readonly HistoryRecord[]): readonly Violation[] => {
    const attempts = collectAttempts(history);
    const effects = collectEffects(history);
    const keys = new Set([...attempts.map(({ key }) => key), ...effects.keys()]);
    return [...keys].flatMap(key =>
        checkKey(key, attempts.filter(attempt => attempt.key === key), effects.get(key) ?? 0)
    );
};
