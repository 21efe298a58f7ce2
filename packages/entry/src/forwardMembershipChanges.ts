import type { Clock } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import { applyRoutingEvent } from "@ibislanding/routing";
import type { UpstreamDirectory } from "./upstreams/upstreamDirectory";

/**
 * Forwards the number of live entry hosts and the notices of leaving and gone upstreams from the membership to the
 * upstream directory and its router. Returns the function that unsubscribes.
 */
export const forwardMembershipChanges = (
    membership: Membership,
    directory: UpstreamDirectory,
    clock: Clock,
): () => void =>
    membership.subscribe(() => {
        const count = membership.liveMembers("entry").length;
        applyRoutingEvent(directory.routing, { type: "entry-hosts-counted", count }, clock.monotonicMs());
        membership.notices()
            .filter(({ kind }) => kind !== "refusing")
            .forEach(({ upstreamId, deadlineMs }) => directory.markLeaving(upstreamId, deadlineMs));
    });
