import { ANSWERED_IN_TIME } from "./answeredInTime";
import type { LogLine } from "./logLine";
import { stringOrEmpty } from "./stringOrEmpty";

/** Explanations of the reasons for refusals and failures; docs/OPERATIONS.md describes the same reasons. */
const CAUSES: Readonly<Record<string, string>> = {
    "over_limit": "The client account had used up its rate limit; nothing was sent.",
    "saturated": "No upstream could have started the request in time; nothing was sent.",
    "paused":
        "Every upstream of the service had asked for a pause or stated a limit that left this host no room; nothing was sent.",
    "no-upstream": "The host knew no registered upstream of the service; nothing was sent.",
    "no-upstream-of-version":
        "No upstream of a software version at which the request may run was registered; nothing was sent.",
    "stream_origin_unknown":
        "The client took up a stream, and no host knew which software version began it; nothing was sent.",
    "unknown_route": "The configuration in use on the host has no such route.",
    "unauthenticated": "The configuration in use on the host has no such key.",
    "no_configuration": "The host had started but had no configuration yet.",
    "stopping": "The host was shutting down; nothing was sent.",
    "deadline_passed": "The deadline passed before the response was complete.",
    "ECONNREFUSED": "The upstream did not accept a connection; nothing was sent.",
    "connect-timeout": "The upstream did not accept a connection; nothing was sent.",
    "ECONNRESET": "The upstream reset the connection after the request was sent; it may have run.",
    "framing-too-large": "The upstream sent bytes that became no response; it may have run the request.",
    "aborted": "The deadline passed, or the caller disconnected.",
};

const INTERRUPTED_RESPONSE_PATTERN = /^(connection-lost|incomplete-answer|ended-inside-event|ended-during-move)/;

/** Ratio of actual to predicted time above which the prediction counts as wrong. */
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
        ? "Late: the upstream had load unknown to the host, or the run was moved or repeated."
        : "Late: the load was known, and no better upstream was available.";
};

/** Explains the outcome of a request from its `request_ended` line; `end` is undefined when the logs have none. */
export const causeOf = (end: LogLine | undefined): string => {
    if (end === undefined) {
        return "The logs contain no end of this request: it may still be running, or its host was lost.";
    }
    const reason = stringOrEmpty(end.fields["reason"]);
    if (end.fields["outcome"] === "answered") {
        const status = numberOf(end.fields["status"]) ?? 0;
        return status >= 500
            ? `The upstream responded with status ${status}.`
            : causeOfDelay(end) ?? ANSWERED_IN_TIME;
    }
    if (reason.startsWith("event-too-large")) {
        return "The upstream sent bytes that are no event in the middle of a stream.";
    }
    if (reason === "prompt_part_quarantined") {
        const part = stringOrEmpty(end.fields["quarantinedPart"]);
        return `Upstreams have crashed under the part ${part} of the prompt, which is quarantined.`;
    }
    if (reason === "request_quarantined") {
        const fingerprint = stringOrEmpty(end.fields["fingerprint"]);
        return `Upstreams have crashed under earlier attempts of the request ${fingerprint}, which is quarantined.`;
    }
    const events = numberOf(end.fields["events"]) ?? 0;
    if (reason === "deadline_passed" && events > 0) {
        return `The deadline passed after ${events} events of the stream.`;
    }
    return INTERRUPTED_RESPONSE_PATTERN.test(reason)
        ? "The upstream interrupted the response, and the route does not allow another attempt."
        : CAUSES[reason] ?? `Ended with the reason ${reason}.`;
};
