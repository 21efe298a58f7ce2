import type { HistoryRecord } from "../history/historyRecord";
import type { Violation } from "./violation";

const NAME = "leaving-upstreams";

const checkLastOffers = (history: readonly HistoryRecord[], boundMs: number): readonly Violation[] =>
    history.flatMap(record =>
        record.type === "observe" && record.subject === "last-offer" && record.afterLeavingMs > boundMs
            ? [{
                check: NAME,
                subject: record.upstreamId,
                detail: `was offered a request ${Math.round(record.afterLeavingMs)} ms after the reclaim notice`,
            }]
            : []
    );

/** Checks that an upstream neither accepts nor is offered new requests later than the bound after its reclaim notice. */
export const checkLeaving = (history: readonly HistoryRecord[], boundMs: number): readonly Violation[] => {
    const leavingSince = new Map(
        history.flatMap(
            record => (record.type === "fault" && record.kind === "reclaim"
                ? [[record.target, record.atMs] as const]
                : []),
        ),
    );
    const accepted = history.flatMap(record => {
        const since = record.type === "observe" && record.subject === "accepted"
            ? leavingSince.get(record.upstreamId)
            : undefined;
        return since !== undefined && record.atMs > since + boundMs
            ? [{
                check: NAME,
                subject: record.process,
                detail: `accepted a request ${Math.round(record.atMs - since)} ms after the reclaim notice`,
            }]
            : [];
    });
    return [...accepted, ...checkLastOffers(history, boundMs)];
};
