import type { AccountId, Clock, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";
import type { AccountMeterOptions } from "./accountMeterOptions";
import { createUsageWindow } from "./createUsageWindow";
import type { UsageWindow } from "./usageWindow";

interface PeerTotal {
    readonly total: number;
    readonly heardAtMs: number;
    readonly ratePerMs: number;
}

interface AccountState {
    /** Units of the rate and the burst that all hosts together may still take now. */
    level: number;
    refilledAtMs: number;
    /** Units that all hosts took within the window, as far as they are known. */
    readonly window: UsageWindow;
    total: number;
    readonly peers: Map<HostId, PeerTotal>;
}

/** A peer that has not reported for this long may be on the other side of a split. */
const PEER_SILENCE_MS = 1_500;

/** A silent peer counts as gone after this time. */
const PEER_FORGOTTEN_MS = 20_000;

/** Weight of the newest interval in a peer's smoothed rate. */
const RATE_SMOOTHING = 0.3;

/** Wait of an account that used up its window: a part of it leaves the window by then. */
const LEAST_WAIT_MS = 250;

const MS_PER_S = 1_000;

/**
 * Creates a meter that holds what all hosts together may take. The part of a limit that belongs to silent peers is left
 * to them, so that hosts on the two sides of a split don't both take all of it.
 *
 * Answers the load of one account at many times its usual: up to its rate and burst its requests compete with those of
 * others; beyond, and up to its limit in the window, they run only where there is spare room. A host that restarted does
 * not know what was taken before: its buckets start empty, and little is spare for one window.
 */
export const createAccountMeter = (clock: Clock, options: AccountMeterOptions): AccountMeter => {
    const { windowMs, toleratedUnits } = options;
    const accounts = new Map<AccountId, AccountState>();
    const peerHeardAtMs = new Map<string, number>();
    const startedAtMs = clock.monotonicMs();

    const stateOf = (accountId: AccountId): AccountState => {
        const state = accounts.get(accountId) ?? {
            level: 0,
            refilledAtMs: startedAtMs,
            window: createUsageWindow(clock, windowMs),
            total: 0,
            peers: new Map<HostId, PeerTotal>(),
        };
        accounts.set(accountId, state);
        return state;
    };

    const ownShare = (nowMs: number): number => {
        const ages = [...peerHeardAtMs.values()].map(heardAtMs => nowMs - heardAtMs);
        const known = ages.filter(ageMs => ageMs < PEER_FORGOTTEN_MS).length;
        const heard = ages.filter(ageMs => ageMs < PEER_SILENCE_MS).length;
        return (heard + 1) / (known + 1);
    };

    const refill = (state: AccountState, account: ClientAccount, share: number, nowMs: number): void => {
        const elapsedMs = nowMs - state.refilledAtMs;
        state.level = Math.min(account.burst, state.level + account.ratePerS / MS_PER_S * elapsedMs * share);
        state.refilledAtMs = nowMs;
    };

    /** Units that peers have probably taken since their last reports. */
    const unreported = (state: AccountState, nowMs: number): number =>
        [...state.peers.values()].reduce(
            (sum, peer) => sum + peer.ratePerMs * Math.min(PEER_SILENCE_MS, nowMs - peer.heardAtMs),
            0,
        );

    /** Units that are spare in the window; only the tolerated ones until a whole window was seen. */
    const spareUnits = (state: AccountState, account: ClientAccount, share: number, nowMs: number): number =>
        nowMs - startedAtMs < windowMs
            ? state.level + toleratedUnits * share
            : (account.ratePerS * windowMs / MS_PER_S + account.burst + toleratedUnits) * share - state.window.sum();

    const take = (state: AccountState, units: number): void => {
        state.level -= units;
        state.window.add(units);
        state.total += units;
    };

    const observeTotal = (state: AccountState, hostId: HostId, total: number, nowMs: number): void => {
        const peer = state.peers.get(hostId);
        const taken = Math.max(0, total - (peer?.total ?? 0));
        const elapsedMs = Math.max(1, nowMs - (peer?.heardAtMs ?? startedAtMs));
        const ratePerMs = (peer?.ratePerMs ?? 0) * (1 - RATE_SMOOTHING) + taken / elapsedMs * RATE_SMOOTHING;
        state.level -= taken;
        state.window.add(taken);
        state.peers.set(hostId, { total, heardAtMs: nowMs, ratePerMs });
    };

    return {
        admit: (account, units) => {
            const nowMs = clock.monotonicMs();
            const state = stateOf(account.accountId);
            if (account.ratePerS <= 0) {
                state.total += units;
                return { kind: "entitled" };
            }
            const share = ownShare(nowMs);
            refill(state, account, share, nowMs);
            // What was taken beyond the rate as spare must not be paid back by later requests.
            state.level = Math.max(state.level, -account.burst);
            const pending = unreported(state, nowMs);
            const missing = Math.min(units, account.burst) - (state.level - pending);
            const waitMs = missing / account.ratePerS * MS_PER_S;
            const isYoung = nowMs - startedAtMs < windowMs;
            const hasRoom = units + pending <= spareUnits(state, account, share, nowMs);
            if (missing <= 0 && (hasRoom || isYoung)) {
                take(state, units);
                return { kind: "entitled" };
            }
            if (hasRoom) {
                take(state, units);
                return { kind: "spare", waitMs };
            }
            return { kind: "over", waitMs: Math.max(waitMs, LEAST_WAIT_MS) };
        },
        giveBack: (accountId, units, admission) => {
            const state = stateOf(accountId);
            if (admission.kind !== "over") {
                take(state, -units);
            }
        },
        admittedTotals: () => new Map([...accounts].map(([accountId, { total }]) => [accountId, total])),
        observePeer: (hostName, hostId, totals) => {
            const nowMs = clock.monotonicMs();
            peerHeardAtMs.set(hostName, nowMs);
            totals.forEach((total, accountId) => observeTotal(stateOf(accountId), hostId, total, nowMs));
        },
    };
};
