import type { SoakRecords } from "../records/soakRecords";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Crashes in a period in which upstreams are brittle: some, and a part of the upstreams. */
const TOLERATED_CRASHES = 2;
const TOLERATED_SHARE = 0.1;

/** Checks that upstreams which crash under rejections do so rarely once hosts had time to react. */
export const checkBrittle = (
    { brittlePeriods, rejectionCrashes }: SoakRecords,
    bounds: TimeBounds | undefined,
): readonly Violation[] =>
    bounds === undefined ? [] : brittlePeriods.flatMap(({ fromMs, untilMs, upstreamCount }) => {
        const crashes = rejectionCrashes.filter(({ atMs }) => atMs >= fromMs + bounds.contactMs && atMs < untilMs);
        const allowed = TOLERATED_CRASHES + Math.floor(upstreamCount * TOLERATED_SHARE);
        return crashes.length <= allowed ? [] : [{
            check: "brittle",
            subject: crashes.map(({ upstreamId }) => upstreamId).join(),
            detail: `${crashes.length} of ${upstreamCount} upstreams crashed under rejections, ${allowed} may`,
        }];
    });
