import { type AccountId, type AvailabilityZone, createRandom, type HostId, type Region } from "@ibislanding/core";
import {
    createMembershipState,
    defaultMembershipPolicy,
    handleEvent,
    type MembershipEffect,
    type MembershipEvent,
    type MembershipPolicy,
    type MembershipState,
} from "@ibislanding/membership";
import { type PeerAddress, ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import { createEventHeap } from "./createEventHeap";

interface Node {
    readonly state: MembershipState;
    readonly address: PeerAddress;
    readonly zone: string;
    /** "killed" refuses connections, "silent" does not respond. */
    condition: "up" | "paused" | "killed" | "silent";
    readonly deferredCallbacks: (() => void)[];
    bytesSent: number;
    bytesReceived: number;
    messagesSent: number;
    pendingResponses: Map<number, (response: unknown) => void>;
}

export interface SimulationOptions {
    readonly seed: number;
    readonly size: number;
    readonly policy?: MembershipPolicy;
    readonly lossRate?: number;
    readonly delayMs?: (from: string, to: string) => number;
    readonly usageIntervalMs?: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
const START_WALL_MS = 1_800_000_000_000;
const ACCOUNTS = Array.from({ length: 5 }, (_, index) => `account-${index}` as AccountId);

/** Runs one state machine per process over a simulated network and clock. */
export const createSimulation = (options: SimulationOptions) => {
    const { seed, size, policy = defaultMembershipPolicy, lossRate = 0 } = options;
    const delayMs = options.delayMs ?? ((from, to) => (from === to ? 0.5 : 20));
    const random = createRandom(seed);
    const heap = createEventHeap();
    const nodes = new Map<PeerAddress, Node>();
    let nowMs = 0;
    let nextCallId = 1;
    let isPartitioned: (from: Node, to: Node) => boolean = () => false;

    const schedule = (delay: number, run: () => void): void => heap.push(nowMs + delay, run);

    const dispatch = (node: Node, event: MembershipEvent): void => {
        const run = (): void => {
            const effects: MembershipEffect[] = [];
            const wallMs = START_WALL_MS + nowMs;
            handleEvent(node.state, event, {
                nowMs,
                wallMs,
                random,
                policy,
                emit: effect => void effects.push(effect),
            });
            effects.forEach(effect => executeEffect(node, effect));
        };
        if (node.condition === "paused") {
            node.deferredCallbacks.push(run);
        }
        else if (node.condition === "up") {
            run();
        }
    };

    /** Defers the callback while the process is paused; on resumption, timers run before received messages are read. */
    const runOrDefer = (node: Node, place: "first" | "last", run: () => void): void => {
        if (node.condition !== "paused") {
            run();
            return;
        }
        node.deferredCallbacks.splice(place === "first" ? 0 : node.deferredCallbacks.length, 0, run);
    };

    const countTraffic = (from: Node, to: Node, bytes: number): void => {
        from.bytesSent += bytes;
        from.messagesSent++;
        to.bytesReceived += bytes;
    };

    const call = (
        from: Node,
        address: PeerAddress,
        timeoutMs: number,
        sizes: readonly [number, (response: never) => number],
        deliver: (to: Node, callId: number) => void,
        end: (response?: never) => void,
    ): void => {
        let ended = false;
        const finish = (response: unknown): void => {
            if (!ended) {
                ended = true;
                end(response as never);
            }
        };
        schedule(timeoutMs, () => runOrDefer(from, "first", () => finish(undefined)));
        const to = nodes.get(address);
        if (to === undefined || isPartitioned(from, to) || to.condition === "silent" || random.nextFloat() < lossRate) {
            return;
        }
        const oneWayMs = delayMs(from.zone, to.zone) * (1 + random.nextFloat() * 0.2);
        if (to.condition === "killed") {
            schedule(2 * oneWayMs, () => finish(undefined));
            return;
        }
        countTraffic(from, to, sizes[0]);
        const callId = nextCallId++;
        to.pendingResponses.set(callId, response => {
            to.pendingResponses.delete(callId);
            countTraffic(to, from, sizes[1](response as never));
            if (random.nextFloat() >= lossRate && !isPartitioned(to, from)) {
                schedule(oneWayMs, () => runOrDefer(from, "last", () => finish(response)));
            }
        });
        schedule(oneWayMs, () => deliver(to, callId));
    };

    const executeEffect = (node: Node, effect: MembershipEffect): void => {
        if (effect.type === "sendProbe") {
            const { address, completionEvent, id, request, timeoutMs } = effect;
            call(
                node,
                address,
                timeoutMs,
                [ProbeRequest.encode(request).finish().length, r => ProbeResponse.encode(r).finish().length],
                (to, callId) => dispatch(to, { type: "probeReceived", callId, request }),
                response =>
                    dispatch(
                        node,
                        completionEvent === "relayEnded"
                            ? { type: completionEvent, callId: id, response }
                            : { type: completionEvent, probeId: id, response },
                    ),
            );
        }
        else if (effect.type === "sendSync") {
            const { address, request, timeoutMs } = effect;
            call(
                node,
                address,
                timeoutMs,
                [SyncRequest.encode(request).finish().length, r => SyncResponse.encode(r).finish().length],
                (to, callId) => dispatch(to, { type: "syncReceived", callId, request }),
                response => dispatch(node, { type: "syncEnded", response }),
            );
        }
        else if (effect.type !== "notifySubscribers") {
            node.pendingResponses.get(effect.callId)?.(effect.response);
        }
    };

    const tick = (node: Node): void => {
        dispatch(node, { type: "tick" });
        if (node.condition === "paused") {
            node.deferredCallbacks.push(() => schedule(0, () => tick(node)));
            return;
        }
        schedule(policy.timing.tickIntervalMs, () => tick(node));
    };

    const publishUsagesPeriodically = (node: Node, sequence: number, intervalMs: number): void => {
        const accounts = ACCOUNTS.map(accountId => ({
            accountId,
            demandPerSecond: random.nextFloat() * 100,
            admittedPerSecond: random.nextFloat() * 100,
            running: random.nextInt(200),
        }));
        dispatch(node, { type: "usagesPublished", report: { hostId: node.state.self.hostId, sequence, accounts } });
        // The time serves as the sequence number, from which the age of a report is measured.
        schedule(intervalMs, () => publishUsagesPeriodically(node, Math.floor(nowMs), intervalMs));
    };

    const addNode = (index: number): Node => {
        const address = `10.0.${index >> 8}.${index & 255}:7000` as PeerAddress;
        const zone = ZONES[index % ZONES.length] as string;
        const identity = {
            hostId: `entry-${random.nextHex(12)}` as HostId,
            address,
            role: "entry",
            region: zone as Region,
            availabilityZone: zone as AvailabilityZone,
        };
        const seeds = ["10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"] as PeerAddress[];
        const state = createMembershipState(identity, seeds, policy, nowMs);
        const node: Node = {
            state,
            address,
            zone,
            condition: "up",
            deferredCallbacks: [],
            bytesSent: 0,
            bytesReceived: 0,
            messagesSent: 0,
            pendingResponses: new Map(),
        };
        nodes.set(address, node);
        schedule(random.nextFloat() * policy.timing.tickIntervalMs, () => tick(node));
        if (options.usageIntervalMs !== undefined) {
            publishUsagesPeriodically(node, 1, options.usageIntervalMs);
        }
        return node;
    };

    const advance = (durationMs: number): void => {
        const untilMs = nowMs + durationMs;
        for (let next = heap.pop(untilMs); next !== undefined; next = heap.pop(untilMs)) {
            nowMs = next.atMs;
            next.run();
        }
        nowMs = untilMs;
    };

    Array.from({ length: size }, (_, index) => addNode(index));
    const created = [...nodes.values()];

    return {
        nodes: created,
        runningNodes: () => created.filter(node => node.condition === "up"),
        nowMs: () => nowMs,
        wallMs: () => START_WALL_MS + nowMs,
        dispatch,
        advance,
        /** Advances until the condition holds and returns the elapsed time; undefined if the limit is reached first. */
        advanceUntil: (condition: () => boolean, limitMs: number): number | undefined => {
            const startMs = nowMs;
            while (!condition() && nowMs - startMs < limitMs) {
                advance(50);
            }
            return condition() ? nowMs - startMs : undefined;
        },
        resume: (node: Node): void => {
            node.condition = "up";
            node.deferredCallbacks.splice(0).forEach(run => run());
        },
        partition: (rule: (from: Node, to: Node) => boolean): void => {
            isPartitioned = rule;
        },
        stateOf: (viewer: Node, subject: Node) => viewer.state.members.get(subject.state.self.hostId)?.state,
        /** Assigns an address to another process. */
        redirect: (address: PeerAddress, node: Node): void => void nodes.set(address, node),
    };
};
