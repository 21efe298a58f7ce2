import type { HostId } from "@ibislanding/core";
import { Gossip } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import type { UpdateQueue } from "../state/updateQueue";
import { toWireMember } from "../wire/toWireMember";
import { toWireNotice } from "../wire/toWireNotice";
import { toWireStatus } from "../wire/toWireStatus";
import { toWireUsage } from "../wire/toWireUsage";
import { tableDigest } from "./tableDigest";

type Update = ReturnType<UpdateQueue["take"]>[number];

const RETRANSMIT_MULTIPLIER = 3;

/** Number of messages in which each process forwards an update; sufficient to reach all members. */
const maximumSends = (state: MembershipState): number =>
    RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(state.members.size + 2));

type AppendUpdate = (gossip: Gossip, state: MembershipState, key: string, nowMs: number) => void;

const appendByKind: Readonly<Record<Update["kind"], AppendUpdate>> = {
    member: (gossip, state, key, nowMs) => {
        const record = state.members.get(key as HostId);
        if (record !== undefined) {
            gossip.members.push(toWireMember(record, nowMs));
        }
    },
    status: (gossip, state, key, nowMs) => {
        const record = state.members.get(key as HostId);
        if (record !== undefined) {
            gossip.statuses.push(toWireStatus(record, nowMs));
        }
    },
    notice: (gossip, state, key) => {
        const notice = state.notices.get(key);
        if (notice !== undefined) {
            gossip.notices.push(toWireNotice(notice));
        }
    },
    usage: (gossip, state, key) => {
        const report = state.usages.get(key as HostId);
        if (report !== undefined) {
            gossip.usages.push(toWireUsage(report));
        }
    },
};

/** Puts the status of a receiver that is considered suspect or dead first, so that it can refute. */
const appendReceiverStatus = (gossip: Gossip, state: MembershipState, receiver: HostId, nowMs: number): void => {
    const record = state.members.get(receiver);
    if (record?.state === "suspect" || record?.state === "dead") {
        appendByKind.status(gossip, state, receiver, nowMs);
    }
};

/** Selects queued updates for one message to a receiver, within the size limits, and counts a send for each. */
export const buildGossip = (state: MembershipState, receiver: HostId, context: TransitionContext): Gossip => {
    const { gossipBudgetBytes, usageBudgetBytes, maximumUsageSends } = context.policy.timing;
    const gossip = Gossip.create({ digest: tableDigest(state) });
    appendReceiverStatus(gossip, state, receiver, context.nowMs);
    const updates = state.queue.take(["member", "status", "notice"], gossipBudgetBytes, maximumSends(state));
    const remainingBytes = updates.reduce((left, update) => left - update.sizeBytes, gossipBudgetBytes);
    const usages = state.queue.take(["usage"], Math.min(usageBudgetBytes, remainingBytes), maximumUsageSends);
    [...updates, ...usages].forEach(update => appendByKind[update.kind](gossip, state, update.key, context.nowMs));
    return gossip;
};
