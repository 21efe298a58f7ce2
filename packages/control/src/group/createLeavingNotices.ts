import type { Clock } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import type { ControlGroup } from "./controlGroup";

/** Minimum time between two announcements of the same upstream with the same deadline. */
const REANNOUNCE_INTERVAL_MS = 30_000;

/** Creates the part of a control group that publishes and reads notices of leaving upstreams. */
export const createLeavingNotices = (
    membership: Pick<Membership, "notices" | "publishNotice">,
    clock: Clock,
): Pick<ControlGroup, "announceLeaving" | "reclaimDeadlinesMs"> => ({
    announceLeaving: (upstreamId, deadlineMs) => {
        const isRecentlyAnnounced = membership.notices().some(notice =>
            notice.upstreamId === upstreamId && notice.kind === "leaving" && notice.deadlineMs === deadlineMs
            && clock.wallMs() - notice.observedAtMs < REANNOUNCE_INTERVAL_MS
        );
        if (!isRecentlyAnnounced) {
            membership.publishNotice({ upstreamId, kind: "leaving", observedAtMs: clock.wallMs(), deadlineMs });
        }
    },
    reclaimDeadlinesMs: () =>
        new Map(
            membership.notices().flatMap(({ upstreamId, kind, deadlineMs }) =>
                kind === "leaving" && deadlineMs !== undefined ? [[upstreamId as string, deadlineMs] as const] : []
            ),
        ),
});
