import { ErrorCode } from "@ibislanding/core";
import type { History } from "./history";

const mayHaveRun: ReadonlySet<ErrorCode> = new Set([ErrorCode.OutcomeUnknown]);

/** Returns a message for each violated guarantee in a history. */
export const findViolations = (
    { attempts, effects, firstFinalAttempt, unrecordedEnds }: History,
): readonly string[] => {
    const ids = [...new Set(attempts.map(({ id }) => id))];
    const duplicated = ids
        .filter(id => effects.filter(effect => effect.id === id).length > 1)
        .map(id => `${id} ran more than once`);
    const refusedButRun = attempts
        .filter(({ outcome }) => outcome?.err === true && !mayHaveRun.has(outcome.val.code))
        .filter(({ attempt }) => effects.some(effect => effect.attempt === attempt))
        .map(({ id, attempt }) => `attempt ${attempt} of ${id} was refused but ran`);
    const answersOf = (id: string): readonly string[] =>
        attempts.flatMap(({ id: other, outcome }) =>
            other === id && outcome?.ok === true ? [JSON.stringify(outcome.val.answer)] : []
        );
    const differentAnswers = ids.filter(id => new Set(answersOf(id)).size > 1).map(id => `${id} has different answers`);
    const answeredButNotRun = ids
        .filter(id => answersOf(id).length > 0 && !effects.some(effect => effect.id === id))
        .map(id => `${id} was answered but did not run`);
    const unanswered = attempts
        .filter(({ attempt, outcome }) => attempt >= firstFinalAttempt && outcome === undefined)
        .map(({ id }) => `${id} got no answer after the faults`);
    const unrecorded = unrecordedEnds > 0 ? [`${unrecordedEnds} ends were not recorded`] : [];
    return [...duplicated, ...refusedButRun, ...differentAnswers, ...answeredButNotRun, ...unanswered, ...unrecorded];
};
