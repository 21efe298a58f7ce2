import { causeOf } from "./causeOf";
import type { LogLine } from "./logLine";
import type { RequestExplanation } from "./requestExplanation";
import { stringOrEmpty } from "./stringOrEmpty";

/** Time before a request in which events may explain its outcome; longer than the default lease of 3 s. */
const LOOKBACK_MS = 5_000;

/** Time after a request in which events may explain it; the registration of a lost upstream expires seconds later. */
const LOOKAHEAD_MS = 4_000;

/** Events that affect every request on their host. */
const HOST_EVENTS: ReadonlySet<string> = new Set([
    "started",
    "stopping",
    "stopped",
    "settings_reloaded",
    "configuration_applied",
    "configuration_rejected",
    "configuration_ignored",
    "store_restored",
    "upstream_paused",
    "upstream_limited",
    "upstream_brittle",
    "brittle_rejection",
    "prompt_part_quarantined",
    "prompt_part_quarantine_ended",
    "request_quarantined",
    "request_tried",
    "request_quarantine_ended",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "clocks_diverged",
    "lines_dropped",
]);

const UPSTREAM_EVENTS: ReadonlySet<string> = new Set(["upstream_changed", "upstream_removed"]);

const FLEET_EVENTS: ReadonlySet<string> = new Set(["fleet_ordered", "fleet_order_failed"]);

const belongsToRequest = (line: LogLine, requestId: string): boolean => line.fields["requestId"] === requestId;

const startOf = ({ atMs, fields }: LogLine): number => atMs - Number(fields["durationMs"] ?? 0);

/** Explains a request from the log lines of all hosts; undefined when no line has its id. */
export const explainRequest = (lines: readonly LogLine[], requestId: string): RequestExplanation | undefined => {
    const requestLines = lines.filter(line => belongsToRequest(line, requestId));
    if (requestLines.length === 0) {
        return undefined;
    }
    const end = requestLines.findLast(({ event }) => event === "request_ended");
    const fromMs = Math.min(...requestLines.map(startOf));
    const toMs = Math.max(...requestLines.map(({ atMs }) => atMs));
    const hosts = new Set(requestLines.map(({ host }) => host));
    const upstreamIds = new Set(
        requestLines.flatMap(({ fields }) => [stringOrEmpty(fields["upstreamId"]), stringOrEmpty(fields["target"])])
            .filter(id => id !== ""),
    );
    const service = end?.fields["service"];

    const isInTimeWindow = ({ atMs }: LogLine): boolean => atMs >= fromMs - LOOKBACK_MS && atMs <= toMs + LOOKAHEAD_MS;

    // Every host logs each change of an upstream. Only the lines of the request's own hosts are included, because they
    // show which changes those hosts had received.
    const isRelated = (line: LogLine): boolean => {
        const key = stringOrEmpty(line.fields["key"]);
        return hosts.has(line.host) && HOST_EVENTS.has(line.event)
            || hosts.has(line.host) && UPSTREAM_EVENTS.has(line.event) && [...upstreamIds].some(id => key.endsWith(id))
            || FLEET_EVENTS.has(line.event) && line.fields["service"] === service;
    };

    const isConcurrent = (line: LogLine): boolean =>
        line.event === "request_ended" && !belongsToRequest(line, requestId)
        && upstreamIds.has(stringOrEmpty(line.fields["upstreamId"]))
        && startOf(line) <= toMs && line.atMs >= fromMs;

    return {
        requestId,
        cause: causeOf(end),
        requestsBeside: lines.filter(isConcurrent).length,
        lines: lines.filter(line => belongsToRequest(line, requestId) || isInTimeWindow(line) && isRelated(line)),
    };
};
