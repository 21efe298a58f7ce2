import type { CallerAttempt } from "../records/callerAttempt";
import type { SoakRecords } from "../records/soakRecords";
import type { UpstreamRun } from "../records/upstreamRun";
import { groupBy } from "./groupBy";
import type { Violation } from "./violation";

/** Response statuses that mean that the request was not executed. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const SUCCESS = { from: 200, to: 299 };

const isSuccess = ({ status }: CallerAttempt): boolean =>
    status !== undefined && status >= SUCCESS.from && status <= SUCCESS.to;

const hasRun = ({ signature }: CallerAttempt, runs: readonly UpstreamRun[]): boolean =>
    runs.some(({ upstreamId }) => upstreamId === signature);

type Rule = (
    attempt: CallerAttempt,
    runs: readonly UpstreamRun[],
    expectedBody: (requestId: string, lastEventId: number) => string,
) => string | undefined;

const rules: Readonly<Record<string, Rule>> = {
    "whole-answer": (attempt, _, expectedBody) =>
        isSuccess(attempt) && attempt.isComplete
            && attempt.body !== expectedBody(attempt.requestId, attempt.takenUp?.lastEventId ?? 0)
            ? `the body of ${attempt.body.length} characters differs from the expected one`
            : undefined,
    "part-of-answer": (attempt, _, expectedBody) =>
        isSuccess(attempt) && !attempt.isComplete
            && !expectedBody(attempt.requestId, attempt.takenUp?.lastEventId ?? 0).startsWith(attempt.body)
            ? "the partial body of an incomplete answer is not a prefix of the expected body"
            : undefined,
    "own-answer": attempt =>
        attempt.signature !== undefined && attempt.answeredId !== attempt.requestId
            ? `the answer carries the request id ${attempt.answeredId}`
            : undefined,
    "signed-answer": (attempt, runs) =>
        isSuccess(attempt) && !hasRun(attempt, runs)
            ? `${attempt.signature} signed the answer but did not execute the request`
            : undefined,
    "not-run": ({ status }, runs) =>
        status !== undefined && NOT_RUN.has(status) && runs.length > 0
            ? `answered ${status} but executed by ${runs.map(({ upstreamId }) => upstreamId).join(", ")}`
            : undefined,
    "at-most-once": ({ kind }, runs) =>
        (kind === "once" || kind === "stream") && runs.length > 1 ? `executed ${runs.length} times` : undefined,
    "own-account": ({ accountId }, runs) =>
        runs.some(run => run.accountId !== accountId) ? `executed for another account than ${accountId}` : undefined,
    "faithful": (_, runs) =>
        runs.some(({ isFaithful }) => !isFaithful) ? "path, body or headers were altered in transit" : undefined,
    "accepted": ({ status }) =>
        status !== undefined && status >= 400 && status < 500 && !NOT_RUN.has(status)
            ? `a valid request was answered ${status}`
            : undefined,
};

/** Checks each caller's answer against the executions of its request that upstreams recorded. */
export const checkAnswers = (
    { attempts, runs }: SoakRecords,
    expectedBody: (requestId: string, lastEventId: number) => string,
): readonly Violation[] => {
    const runsOf = groupBy(runs, ({ requestId }) => requestId);
    const known = new Set(attempts.map(({ requestId }) => requestId));
    const unasked = runs.filter(({ requestId }) => !known.has(requestId)).map(({ requestId, upstreamId }) => ({
        check: "asked",
        subject: requestId,
        detail: `executed by ${upstreamId}, but no caller sent it`,
    }));
    const broken = attempts.flatMap(attempt =>
        Object.entries(rules).flatMap(([check, rule]) => {
            const detail = rule(attempt, runsOf.get(attempt.requestId) ?? [], expectedBody);
            return detail === undefined ? [] : [{ check, subject: attempt.requestId, detail }];
        })
    );
    return [...unasked, ...broken];
};
