import type { HistoryRecord } from "../history/historyRecord";
import type { Violation } from "./violation";

/** Checks that an upstream takes no new work a time after the fault `reclaim` named it. */
export const checkLeaving = (history: readonly HistoryRecord[], boundMs: number): readonly Violation[] => {
    const leavingSince = new Map(
        history.flatMap(
            record => (record.type === "fault" && record.kind === "reclaim"
                ? [[record.target, record.atMs] as const]
                : []),
        ),
    );
    return history.flatMap(record => {
        const since = record.type === "observe" && record.subject === "accepted"
            ? leavingSince.get(record.upstreamId)
            : undefined;
        return since !== undefined && record.atMs > since + boundMs
            ? [{
                check: "leaving-upstreams",
                subject: record.process,
                detail: `new work ${Math.round(record.atMs - since)} ms after`,
            }]
            : [];
    });
};
