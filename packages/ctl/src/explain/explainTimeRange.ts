import { ANSWERED_IN_TIME } from "./answeredInTime";
import type { CauseCount } from "./causeCount";
import { causeOf } from "./causeOf";
import type { LogLine } from "./logLine";
import { stringOrEmpty } from "./stringOrEmpty";
import type { TimeRangeExplanation } from "./timeRangeExplanation";

/** Events about a single request. */
const REQUEST_EVENTS: ReadonlySet<string> = new Set(["request_ended", "attempt_failed", "run_moved"]);

const countBy = (texts: readonly string[]): Readonly<Record<string, number>> =>
    texts.reduce<Record<string, number>>((counts, text) => ({ ...counts, [text]: (counts[text] ?? 0) + 1 }), {});

const toCauseCount = (cause: string, ends: readonly LogLine[]): CauseCount => ({
    cause,
    count: ends.length,
    hosts: countBy(ends.map(({ host }) => host)),
    exampleId: stringOrEmpty(ends[0]?.fields["requestId"]),
});

/** Groups the requests that ended in a time range by cause, and lists the other events of all hosts. */
export const explainTimeRange = (lines: readonly LogLine[], fromMs: number, untilMs: number): TimeRangeExplanation => {
    const linesInRange = lines.filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs);
    const ends = linesInRange.filter(({ event }) => event === "request_ended").map(end => ({
        end,
        cause: causeOf(end),
    }));
    const causes = [...new Set(ends.map(({ cause }) => cause))]
        .filter(cause => cause !== ANSWERED_IN_TIME)
        .map(cause => toCauseCount(cause, ends.filter(one => one.cause === cause).map(({ end }) => end)))
        .sort((left, right) => right.count - left.count);
    return {
        fromMs,
        untilMs,
        requests: ends.length,
        causes,
        lines: linesInRange.filter(({ event }) => !REQUEST_EVENTS.has(event)),
    };
};
