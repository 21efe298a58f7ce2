import { createDeferred, createTask, type Deferred } from "@ibislanding/core";
import { ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import { match } from "ts-pattern";
import { handleEvent } from "../commands/handleEvent";
import { defaultMembershipPolicy } from "../model/defaultMembershipPolicy";
import { describeState } from "../queries/describeState";
import { toMember } from "../queries/toMember";
import { usageIntervalMs } from "../queries/usageIntervalMs";
import { createMembershipState } from "../state/createMembershipState";
import type { MembershipEffect } from "../state/membershipEffect";
import type { MembershipEvent } from "../state/membershipEvent";
import { createSubscribers } from "./createSubscribers";
import { createTrafficCounters } from "./createTrafficCounters";
import type { Membership } from "./membership";
import type { MembershipOptions } from "./membershipOptions";
import { startLoop } from "./startLoop";

const SEED_INTERVAL_MS = 15_000;

/** Interval of reading the seeds while this process knows no other member. */
const SEED_INTERVAL_WITHOUT_MEMBERS_MS = 2_000;

/** Number of probe intervals for which `leave` waits, so that the announcement can spread. */
const LEAVE_PROBE_INTERVALS = 3;

/** Creates a membership and starts joining the group through the seeds. */
export const createMembership = (options: MembershipOptions): Membership => {
    const { clock, random, transport, policy = defaultMembershipPolicy, onError = () => undefined } = options;
    const { timing } = policy;
    const state = createMembershipState(options.self, [], policy, clock.monotonicMs());
    const subscribers = createSubscribers(onError);
    const traffic = createTrafficCounters();
    const pendingProbeCalls = new Map<number, Deferred<ProbeResponse>>();
    const pendingSyncCalls = new Map<number, Deferred<SyncResponse>>();
    let nextCallId = 1;

    const sendProbe = async (effect: MembershipEffect & { type: "sendProbe"; }): Promise<void> => {
        traffic.countSent(ProbeRequest, effect.request);
        const result = await transport.probe(effect.address, effect.request, effect.timeoutMs);
        const response = result.ok ? result.val : undefined;
        if (response !== undefined) {
            traffic.countReceived(ProbeResponse, response);
        }
        task.post(
            effect.completionEvent === "relayEnded"
                ? { type: effect.completionEvent, callId: effect.id, response }
                : { type: effect.completionEvent, probeId: effect.id, response },
        );
    };

    const sendSync = async (effect: MembershipEffect & { type: "sendSync"; }): Promise<void> => {
        traffic.countSent(SyncRequest, effect.request);
        const result = await transport.sync(effect.address, effect.request, effect.timeoutMs);
        const response = result.ok ? result.val : undefined;
        if (response !== undefined) {
            traffic.countReceived(SyncResponse, response);
        }
        task.post({ type: "syncEnded", response });
    };

    const answerProbe = (callId: number, response: ProbeResponse): void => {
        traffic.countSent(ProbeResponse, response);
        pendingProbeCalls.get(callId)?.resolve(response);
        pendingProbeCalls.delete(callId);
    };

    const answerSync = (callId: number, response: SyncResponse): void => {
        traffic.countSent(SyncResponse, response);
        pendingSyncCalls.get(callId)?.resolve(response);
        pendingSyncCalls.delete(callId);
    };

    const executeEffect = (effect: MembershipEffect): void =>
        match(effect)
            .with({ type: "sendProbe" }, send => void sendProbe(send).catch(onError))
            .with({ type: "sendSync" }, send => void sendSync(send).catch(onError))
            .with({ type: "answerProbe" }, ({ callId, response }) => answerProbe(callId, response))
            .with({ type: "answerSync" }, ({ callId, response }) => answerSync(callId, response))
            .with({ type: "notifySubscribers" }, () => subscribers.notify())
            .exhaustive();

    const task = createTask<MembershipEvent>({
        handle: event => {
            const effects: MembershipEffect[] = [];
            const [nowMs, wallMs] = [clock.monotonicMs(), clock.wallMs()];
            handleEvent(state, event, { nowMs, wallMs, random, policy, emit: effect => void effects.push(effect) });
            effects.forEach(executeEffect);
        },
        onError,
    });

    const refreshSeeds = async (): Promise<number> => {
        task.post({ type: "seedsChanged", seeds: await options.seeds() });
        return state.members.size > 1 ? SEED_INTERVAL_MS : SEED_INTERVAL_WITHOUT_MEMBERS_MS;
    };

    const tick = async (): Promise<number> => {
        task.post({ type: "tick" });
        return timing.tickIntervalMs;
    };

    const loops = [startLoop(clock, refreshSeeds, onError), startLoop(clock, tick, onError)];
    const members = () => [...state.members.values()].map(toMember);

    return {
        members,
        liveMembers: role =>
            members().filter(member =>
                (member.state === "alive" || member.state === "suspect") && (role === undefined || member.role === role)
            ),
        publishNotice: notice =>
            task.post({ type: "noticePublished", notice: { ...notice, reportedBy: options.self.hostId } }),
        notices: () => [...state.notices.values()],
        publishUsages: report => task.post({ type: "usagesPublished", report }),
        usages: () => [...state.usages.values()].filter(report => report.hostId !== options.self.hostId),
        usageIntervalMs: () => usageIntervalMs(state, timing),
        setConfigurationRevision: revision => task.post({ type: "configurationAdvanced", revision }),
        subscribe: subscribers.add,
        leave: async () => {
            task.post({ type: "leaveRequested" });
            await clock.sleep(LEAVE_PROBE_INTERVALS * timing.probeIntervalMs);
        },
        handleProbe: request => {
            traffic.countReceived(ProbeRequest, request);
            const call = createDeferred<ProbeResponse>();
            pendingProbeCalls.set(nextCallId, call);
            task.post({ type: "probeReceived", callId: nextCallId++, request });
            return call.promise;
        },
        handleSync: request => {
            traffic.countReceived(SyncRequest, request);
            const call = createDeferred<SyncResponse>();
            pendingSyncCalls.set(nextCallId, call);
            task.post({ type: "syncReceived", callId: nextCallId++, request });
            return call.promise;
        },
        counters: traffic.read,
        stateDump: () => ({ ...describeState(state, timing, clock.monotonicMs()), counters: traffic.read() }),
        [Symbol.asyncDispose]: async () => {
            loops.forEach(loop => loop.stop());
            await task[Symbol.asyncDispose]();
        },
    };
};
