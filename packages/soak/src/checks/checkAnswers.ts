import type { CallerAttempt } from "../records/callerAttempt";
import type { SoakRecords } from "../records/soakRecords";
import type { UpstreamRun } from "../records/upstreamRun";
import { groupBy } from "./groupBy";
import type { Violation } from "./violation";

/** Statuses by which callers learn that a request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const SUCCESS = { from: 200, to: 299 };

const isSuccess = ({ status }: CallerAttempt): boolean =>
    status !== undefined && status >= SUCCESS.from && status <= SUCCESS.to;

const hasRun = ({ signature }: CallerAttempt, runs: readonly UpstreamRun[]): boolean =>
    runs.some(({ upstreamId }) => upstreamId === signature);

type Rule = (
    attempt: CallerAttempt,
    runs: readonly UpstreamRun[],
    expectedBody: (requestId: string) => string,
) => string | undefined;

const rules: Readonly<Record<string, Rule>> = {
    "whole-answer": (attempt, _, expectedBody) =>
        isSuccess(attempt) && attempt.isComplete && attempt.body !== expectedBody(attempt.requestId)
            ? `the body has ${attempt.body.length} characters and is not that of this request`
            : undefined,
    "part-of-answer": (attempt, _, expectedBody) =>
        isSuccess(attempt) && !attempt.isComplete && !expectedBody(attempt.requestId).startsWith(attempt.body)
            ? "what came of a broken answer is no beginning of this request's"
            : undefined,
    "own-answer": attempt =>
        attempt.signature !== undefined && attempt.answeredId !== attempt.requestId
            ? `the answer names ${attempt.answeredId}`
            : undefined,
    "signed-answer": (attempt, runs) =>
        isSuccess(attempt) && !hasRun(attempt, runs) ? `${attempt.signature} did not run the request` : undefined,
    "not-run": ({ status }, runs) =>
        status !== undefined && NOT_RUN.has(status) && runs.length > 0
            ? `answered ${status} and run by ${runs.map(({ upstreamId }) => upstreamId).join(", ")}`
            : undefined,
    "at-most-once": ({ kind }, runs) =>
        (kind === "once" || kind === "stream") && runs.length > 1 ? `run ${runs.length} times` : undefined,
    "own-account": ({ accountId }, runs) =>
        runs.some(run => run.accountId !== accountId) ? `not run for ${accountId}` : undefined,
    "faithful": (_, runs) => runs.some(({ isFaithful }) => !isFaithful) ? "changed on its way" : undefined,
    "accepted": ({ status }) =>
        status !== undefined && status >= 400 && status < 500 && !NOT_RUN.has(status)
            ? `a proper request was answered ${status}`
            : undefined,
};

/** Checks each caller's answer against the runs of its request. */
export const checkAnswers = (
    { attempts, runs }: SoakRecords,
    expectedBody: (requestId: string) => string,
): readonly Violation[] => {
    const runsOf = groupBy(runs, ({ requestId }) => requestId);
    const known = new Set(attempts.map(({ requestId }) => requestId));
    const unasked = runs.filter(({ requestId }) => !known.has(requestId)).map(({ requestId, upstreamId }) => ({
        check: "asked",
        subject: requestId,
        detail: `run by ${upstreamId}, sent by no caller`,
    }));
    const broken = attempts.flatMap(attempt =>
        Object.entries(rules).flatMap(([check, rule]) => {
            const detail = rule(attempt, runsOf.get(attempt.requestId) ?? [], expectedBody);
            return detail === undefined ? [] : [{ check, subject: attempt.requestId, detail }];
        })
    );
    return [...unasked, ...broken];
};
