import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { compensateForPause } from "./compensateForPause";
import { enqueueMember } from "./enqueueMember";
import { handleHelperEnded } from "./handleHelperEnded";
import { handleProbeEnded } from "./handleProbeEnded";
import { handleProbeReceived } from "./handleProbeReceived";
import { handleRelayEnded } from "./handleRelayEnded";
import { handleSyncEnded } from "./handleSyncEnded";
import { handleSyncReceived } from "./handleSyncReceived";
import { handleTick } from "./handleTick";
import { handleUsagesPublished } from "./handleUsagesPublished";
import { markChanged } from "./markChanged";
import { mergeNotice } from "./mergeNotice";
import { sendUrgentUpdates } from "./sendUrgentUpdates";
import { setMemberState } from "./setMemberState";

type Handlers = {
    readonly [T in MembershipEvent["type"]]: (
        state: MembershipState,
        event: MembershipEvent & { type: T; },
        context: TransitionContext,
    ) => void;
};

const handlers: Handlers = {
    tick: handleTick,
    seedsChanged: (state, { seeds }) => {
        state.seeds = seeds;
    },
    probeReceived: handleProbeReceived,
    probeEnded: handleProbeEnded,
    helperEnded: handleHelperEnded,
    relayEnded: handleRelayEnded,
    syncReceived: handleSyncReceived,
    syncEnded: handleSyncEnded,
    noticePublished: (state, { notice }, context) => mergeNotice(state, notice, context),
    usagesPublished: handleUsagesPublished,
    configurationAdvanced: (state, { revision }, context) => {
        state.self.configurationRevision = revision;
        state.self.reportVersion++;
        enqueueMember(state, state.self, false);
        markChanged(state, context);
    },
    leaveRequested: (state, _, context) => setMemberState(state, state.self, "leaving", context.nowMs, context),
};

/** Applies one event to the state; deterministic, as it depends only on the arguments. */
export const handleEvent = (state: MembershipState, event: MembershipEvent, context: TransitionContext): void => {
    const { version } = state;
    compensateForPause(state, context);
    (handlers[event.type] as (state: MembershipState, event: MembershipEvent, context: TransitionContext) => void)(
        state,
        event,
        context,
    );
    sendUrgentUpdates(state, context);
    if (state.version !== version) {
        context.emit({ type: "notifySubscribers" });
    }
};
