import type { AccountId, Clock, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";

interface PeerTotal {
    total: number;
    heardAtMs: number;
    ratePerMs: number;
}

interface AccountState {
    /** Units that all hosts together may still take now. */
    level: number;
    refilledAtMs: number;
    total: number;
    readonly peers: Map<HostId, PeerTotal>;
}

/** A peer that has not reported for this long may be on the other side of a split. */
const PEER_SILENCE_MS = 1_500;

/** A silent peer counts as gone after this time. */
const PEER_FORGOTTEN_MS = 20_000;

/** Weight of the newest interval in a peer's smoothed rate. */
const RATE_SMOOTHING = 0.3;

const MS_PER_S = 1_000;

/**
 * Creates a meter whose buckets hold what all hosts together may take. The part of the rate that belongs to silent peers
 * is left to them, so that hosts on the two sides of a split don't both take all of it.
 *
 * Accounts may exceed their limit by the tolerated units for a while: callers whose requests come in clumps are not
 * refused for what reports between hosts tell late. A bucket starts empty, as a host that restarted does not know what was taken before.
 */
export const createAccountMeter = (clock: Clock, toleratedUnits = 0): AccountMeter => {
    const accounts = new Map<AccountId, AccountState>();
    const peerHeardAtMs = new Map<string, number>();

    const stateOf = (accountId: AccountId): AccountState => {
        const state = accounts.get(accountId)
            ?? { level: 0, refilledAtMs: startedAtMs, total: 0, peers: new Map<HostId, PeerTotal>() };
        accounts.set(accountId, state);
        return state;
    };
    const startedAtMs = clock.monotonicMs();

    const ownShare = (nowMs: number): number => {
        const ages = [...peerHeardAtMs.values()].map(heardAtMs => nowMs - heardAtMs);
        const known = ages.filter(ageMs => ageMs < PEER_FORGOTTEN_MS).length;
        const heard = ages.filter(ageMs => ageMs < PEER_SILENCE_MS).length;
        return (heard + 1) / (known + 1);
    };

    const refill = (state: AccountState, account: ClientAccount, nowMs: number): void => {
        const elapsedMs = nowMs - state.refilledAtMs;
        state.level = Math.min(
            account.burst,
            state.level + account.ratePerS / MS_PER_S * elapsedMs * ownShare(nowMs),
        );
        state.refilledAtMs = nowMs;
    };

    /** Units that peers have probably taken since their last reports. */
    const unreported = (state: AccountState, nowMs: number): number =>
        [...state.peers.values()].reduce(
            (sum, peer) => sum + peer.ratePerMs * Math.min(PEER_SILENCE_MS, nowMs - peer.heardAtMs),
            0,
        );

    const observeTotal = (state: AccountState, hostId: HostId, total: number, nowMs: number): void => {
        const peer = state.peers.get(hostId);
        // A smaller total is that of a restarted host.
        const taken = peer === undefined || total < peer.total ? total : total - peer.total;
        const elapsedMs = Math.max(1, nowMs - (peer?.heardAtMs ?? startedAtMs));
        const ratePerMs = (peer?.ratePerMs ?? 0) * (1 - RATE_SMOOTHING) + taken / elapsedMs * RATE_SMOOTHING;
        state.level -= taken;
        state.peers.set(hostId, { total, heardAtMs: nowMs, ratePerMs });
    };

    return {
        admit: (account, units) => {
            const nowMs = clock.monotonicMs();
            const state = stateOf(account.accountId);
            if (account.ratePerS <= 0) {
                state.total += units;
                return { waitMs: 0 };
            }
            refill(state, account, nowMs);
            const missing = Math.min(units, account.burst) - (state.level - unreported(state, nowMs)) - toleratedUnits;
            if (missing > 0) {
                return { waitMs: missing / account.ratePerS * MS_PER_S };
            }
            state.level -= units;
            state.total += units;
            return { waitMs: 0 };
        },
        giveBack: (accountId, units) => {
            const state = stateOf(accountId);
            state.level += units;
            state.total -= units;
        },
        admittedTotals: () => new Map([...accounts].map(([accountId, { total }]) => [accountId, total])),
        observePeer: (hostName, hostId, totals) => {
            const nowMs = clock.monotonicMs();
            peerHeardAtMs.set(hostName, nowMs);
            totals.forEach((total, accountId) => observeTotal(stateOf(accountId), hostId, total, nowMs));
        },
    };
};
