import { createHalfOpenAgent } from "@ibislanding/core";
import { chooseRelayPeer } from "../decisions/chooseRelayPeer";
import type { RelayPeer } from "../decisions/relayPeer";
import type { RelayClient } from "./relayClient";
import type { RelayClientOptions } from "./relayClientOptions";
import type { RelayEnd } from "./relayEnd";
import type { RelaySendResult } from "./relaySendResult";
import { sendToPeer } from "./sendToPeer";

/** Peers to which a request is passed on in turn; each may have been cut off since its last report. */
const MAXIMUM_PEERS = 3;

/** Time for which a peer that was lost, or refused for a reason of its own, is passed over; reports take as long. */
const PASS_OVER_MS = 1_000;

/** Time for which a load that a peer has stated counts. */
const LOAD_VALID_MS = 1_000;

/** Idle time of a connection to a peer, below that of the listener. */
const IDLE_MS = 2_500;

/** Refusals that hold for one peer only; others, such as overload, are passed on to the caller. */
const PEER_REASONS: ReadonlySet<string> = new Set([
    "cut_off",
    "unknown_sender",
    "relay_head_invalid",
    "relay_account_unknown",
    "no_configuration",
    "stopping",
    "unauthenticated",
    "unknown_route",
    "unconfirmed-answer",
]);

/** Number of states up to which those of peers that are gone are kept. */
const MINIMUM_STATES = 100;

interface PeerState {
    inFlight: number;
    /** Monotonic times until which the peer is passed over, as it refused or as its connection was lost. */
    refusesUntilMs: number;
    lostUntilMs: number;
    stated: { readonly load: number; readonly atMs: number; } | undefined;
}

/** Whether another peer may take the request. */
const isForAnotherPeer = (result: RelaySendResult): boolean =>
    result.kind === "not-run" || result.kind === "refused" && !result.hasRun && PEER_REASONS.has(result.reason);

/** Creates a client without connections. */
export const createRelayClient = (
    { clock, random, ownAddress, ownZone, peerAddresses, onEnd }: RelayClientOptions,
): RelayClient => {
    const agent = createHalfOpenAgent({ keepAlive: true, timeout: IDLE_MS });
    const states = new Map<string, PeerState>();

    const stateOf = (address: string): PeerState => {
        const state = states.get(address)
            ?? { inFlight: 0, refusesUntilMs: -Infinity, lostUntilMs: -Infinity, stated: undefined };
        states.set(address, state);
        return state;
    };

    /** Drops the states of peers that are gone, so that replaced hosts do not accumulate. */
    const forgetGonePeers = (): void => {
        const addresses = new Set(peerAddresses());
        if (states.size > 2 * addresses.size + MINIMUM_STATES) {
            [...states]
                .filter(([address, { inFlight }]) => inFlight === 0 && !addresses.has(address))
                .forEach(([address]) => states.delete(address));
        }
    };

    const loadOf = ({ inFlight, stated }: PeerState): number =>
        inFlight + (stated !== undefined && clock.monotonicMs() - stated.atMs < LOAD_VALID_MS ? stated.load : 0);

    const accepting = (known: readonly RelayPeer[]): readonly RelayPeer[] =>
        known.filter(({ address }) => stateOf(address).refusesUntilMs <= clock.monotonicMs());

    const responding = (known: readonly RelayPeer[]): readonly RelayPeer[] =>
        accepting(known).filter(({ address }) => stateOf(address).lostUntilMs <= clock.monotonicMs());

    const trackBody = (state: PeerState, result: RelaySendResult): void => {
        if (result.kind === "answered" && !result.body.closed) {
            result.body.once("close", () => state.inFlight--);
            return;
        }
        state.inFlight--;
    };

    return {
        canHelp: peers => responding(peers).length > 0,
        send: async request => {
            forgetGonePeers();
            const tried = new Set<string>();
            let last: RelaySendResult = { kind: "not-run", reason: "no_peer" };
            while (tried.size < MAXIMUM_PEERS && !request.signal.aborted) {
                const untried = responding(request.peers).filter(({ address }) => !tried.has(address));
                // A lost connection says little about a peer if there is no other one.
                const candidates = (untried.length > 0 ? untried : accepting(request.peers))
                    .filter(({ address }) => !tried.has(address))
                    .map(peer => ({ ...peer, load: loadOf(stateOf(peer.address)) }));
                const peer = chooseRelayPeer(candidates, ownZone, random);
                const startedAtMs = clock.monotonicMs();
                const report = (outcome: RelayEnd["outcome"], reason: string): void =>
                    onEnd({
                        requestId: request.requestId,
                        peer: peer?.address,
                        outcome,
                        reason,
                        durationMs: clock.monotonicMs() - startedAtMs,
                    });
                if (peer === undefined) {
                    report("no-peer", last.kind === "answered" ? "" : last.reason);
                    return last;
                }
                tried.add(peer.address);
                const state = stateOf(peer.address);
                state.inFlight++;
                last = await sendToPeer({
                    request,
                    peerAddress: peer.address,
                    ownAddress,
                    agent,
                    nowMs: startedAtMs,
                    onLoad: load => {
                        state.stated = { load, atMs: clock.monotonicMs() };
                    },
                });
                trackBody(state, last);
                report(last.kind, last.kind === "answered" ? "head" : last.reason);
                if (!isForAnotherPeer(last)) {
                    return last;
                }
                if (!request.signal.aborted) {
                    const untilMs = clock.monotonicMs() + PASS_OVER_MS;
                    Object.assign(
                        state,
                        last.kind === "refused" ? { refusesUntilMs: untilMs } : { lostUntilMs: untilMs },
                    );
                }
            }
            return last;
        },
        [Symbol.asyncDispose]: async () => agent.destroy(),
    };
};
