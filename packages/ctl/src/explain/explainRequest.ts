import { causeOf } from "./causeOf";
import type { LogLine } from "./logLine";
import type { RequestStory } from "./requestStory";
import { textOf } from "./textOf";

/** Time before a request in which something may have happened that explains its end: a lease's time and more. */
const BEFORE_MS = 5_000;

/** Time after it: an upstream that is lost lapses from the registry some seconds later. */
const AFTER_MS = 4_000;

/** Events that concern everything on their host. */
const HOST_EVENTS: ReadonlySet<string> = new Set([
    "started",
    "stopping",
    "stopped",
    "settings_reloaded",
    "configuration_applied",
    "configuration_rejected",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "clocks_diverged",
    "lines_dropped",
]);

const UPSTREAM_EVENTS: ReadonlySet<string> = new Set(["upstream_changed", "upstream_removed"]);

const FLEET_EVENTS: ReadonlySet<string> = new Set(["fleet_ordered", "fleet_order_failed"]);

const isOf = (line: LogLine, requestId: string): boolean => line.fields["requestId"] === requestId;

const startOf = ({ atMs, fields }: LogLine): number => atMs - Number(fields["durationMs"] ?? 0);

/** Explains a request from the lines of all hosts; undefined when none of them names it. */
export const explainRequest = (lines: readonly LogLine[], requestId: string): RequestStory | undefined => {
    const own = lines.filter(line => isOf(line, requestId));
    if (own.length === 0) {
        return undefined;
    }
    const end = own.findLast(({ event }) => event === "request_ended");
    const fromMs = Math.min(...own.map(startOf));
    const toMs = Math.max(...own.map(({ atMs }) => atMs));
    const hosts = new Set(own.map(({ host }) => host));
    const upstreamIds = new Set(
        own.flatMap(({ fields }) => [textOf(fields["upstreamId"]), textOf(fields["target"])]).filter(id => id !== ""),
    );
    const service = end?.fields["service"];

    const isAround = ({ atMs }: LogLine): boolean => atMs >= fromMs - BEFORE_MS && atMs <= toMs + AFTER_MS;

    // Every host logs each change of an upstream: those of the request's own host are what it knew.
    const isRelated = (line: LogLine): boolean => {
        const key = textOf(line.fields["key"]);
        return hosts.has(line.host) && HOST_EVENTS.has(line.event)
            || hosts.has(line.host) && UPSTREAM_EVENTS.has(line.event) && [...upstreamIds].some(id => key.endsWith(id))
            || FLEET_EVENTS.has(line.event) && line.fields["service"] === service;
    };

    const isBeside = (line: LogLine): boolean =>
        line.event === "request_ended" && !isOf(line, requestId) && upstreamIds.has(textOf(line.fields["upstreamId"]))
        && startOf(line) <= toMs && line.atMs >= fromMs;

    return {
        requestId,
        cause: causeOf(end),
        requestsBeside: lines.filter(isBeside).length,
        lines: lines.filter(line => isOf(line, requestId) || isAround(line) && isRelated(line)),
    };
};
