import { ANSWERED_IN_TIME } from "./answeredInTime";
import type { LogLine } from "./logLine";
import { stringOrEmpty } from "./stringOrEmpty";

/** Sentences for the reasons of refusals and failures, in the words of docs/OPERATIONS.md. */
const CAUSES: Readonly<Record<string, string>> = {
    "over_limit": "The account had used its rate; nothing was sent.",
    "saturated": "No upstream would have begun in time; nothing was sent.",
    "no-upstream": "The host knew no registered upstream of the service; nothing was sent.",
    "unknown_route": "The configuration that the host used has no such route.",
    "unauthenticated": "The configuration that the host used has no such key.",
    "no_configuration": "The host had started and knew no configuration yet.",
    "stopping": "The host had been told to stop; nothing was sent.",
    "deadline_passed": "The time was over before the answer was complete.",
    "ECONNREFUSED": "The upstream took no connection; nothing was sent.",
    "connect-timeout": "The upstream took no connection; nothing was sent.",
    "ECONNRESET": "The upstream broke the connection off after the request was sent; it may have run.",
    "aborted": "The time was over, or the caller left.",
};

const INTERRUPTED_RESPONSE_PATTERN = /^connection-lost|^incomplete-answer/;

/** Time by which an answer may come later than predicted before the prediction is called wrong. */
const PREDICTION_TOLERANCE_FACTOR = 1.5;

const numberOf = (value: unknown): number | undefined => typeof value === "number" ? value : undefined;

const causeOfDelay = ({ fields }: LogLine): string | undefined => {
    const firstMs = numberOf(fields["firstByteMs"]) ?? numberOf(fields["durationMs"]);
    const objectiveMs = numberOf(fields["objectiveMs"]);
    const predictedMs = numberOf(fields["predictedMs"]);
    if (firstMs === undefined || objectiveMs === undefined || firstMs <= objectiveMs) {
        return undefined;
    }
    return predictedMs !== undefined && predictedMs * PREDICTION_TOLERANCE_FACTOR < firstMs
        ? "Late: the upstream had work that the host did not know of, or the run was moved or repeated."
        : "Late: the load was known, and no upstream was better.";
};

/** Returns the cause of a request's end, from its last line. */
export const causeOf = (end: LogLine | undefined): string => {
    if (end === undefined) {
        return "The logs hold no end of this request: it may still run, or its host was lost.";
    }
    const reason = stringOrEmpty(end.fields["reason"]);
    if (end.fields["outcome"] === "answered") {
        const status = numberOf(end.fields["status"]) ?? 0;
        return status >= 500
            ? `The upstream itself answered ${status}.`
            : causeOfDelay(end) ?? ANSWERED_IN_TIME;
    }
    return INTERRUPTED_RESPONSE_PATTERN.test(reason)
        ? "The upstream broke the answer off, and the route allows no further send."
        : CAUSES[reason] ?? `Ended with the reason ${reason}.`;
};
