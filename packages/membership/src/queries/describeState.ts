import type { MembershipTiming } from "../model/membershipTiming";
import type { MemberState } from "../model/memberState";
import type { MembershipState } from "../state/membershipState";
import type { MembershipDump } from "../task/membershipDump";
import { toMember } from "./toMember";
import { usageIntervalMs } from "./usageIntervalMs";

const MAXIMUM_LISTED_ENTRIES = 50;

const dumpOrder: Readonly<Record<MemberState, number>> = { suspect: 0, leaving: 1, dead: 2, alive: 3 };

/** Returns the state for diagnosis, without the traffic counters, which the task adds. */
export const describeState = (
    state: MembershipState,
    timing: MembershipTiming,
    nowMs: number,
): Omit<MembershipDump, "counters"> => {
    const members = [...state.members.values()].map(toMember);
    const states: readonly MemberState[] = ["alive", "suspect", "leaving", "dead"];
    return {
        self: toMember(state.self),
        memberCounts: Object.fromEntries(
            states.map(name => [name, members.filter(member => member.state === name).length]),
        ),
        members: [...members].sort((left, right) => dumpOrder[left.state] - dumpOrder[right.state])
            .slice(0, MAXIMUM_LISTED_ENTRIES),
        notices: [...state.notices.values()].slice(-MAXIMUM_LISTED_ENTRIES),
        queuedUpdates: state.queue.size(),
        probesInFlight: state.probes.size,
        slowness: state.slowness,
        sinceAnswerMs: nowMs - state.lastResponseAtMs,
        usageIntervalMs: usageIntervalMs(state, timing),
    };
};
