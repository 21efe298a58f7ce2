import type { SoakRecords } from "../records/soakRecords";
import { groupBy } from "./groupBy";
import type { Violation } from "./violation";

/** Checks that streams go on, in one answer or over attempts of a caller, at the version that wrote their first event. */
export const checkVersions = ({ attempts, runs }: SoakRecords): readonly Violation[] => {
    const streamOf = new Map(attempts.map(({ requestId, takenUp }) => [requestId, takenUp?.requestId ?? requestId]));
    return [...groupBy(runs, ({ requestId }) => streamOf.get(requestId) ?? requestId)].flatMap(([stream, all]) => {
        const inOrder = [...all].sort((left, right) => left.atMs - right.atMs);
        return inOrder.flatMap(({ firstEvent, softwareVersion }, index) => {
            // Runs before this one may have ended without an event.
            const first = inOrder.slice(0, index).findLast(run => run.firstEvent === 1);
            return firstEvent === 1 || first === undefined || first.softwareVersion === softwareVersion ? [] : [{
                check: "stream-version",
                subject: stream,
                detail: `began at ${first.softwareVersion} and went on at ${softwareVersion} with event ${firstEvent}`,
            }];
        });
    });
};
