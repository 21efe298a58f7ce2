import { type AccountId, type Clock, createRateMeter, type HostId, type RateMeter } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";
import type { AccountMeterOptions } from "./accountMeterOptions";
import type { AccountUsage } from "./accountUsage";
import { createUsageWindow } from "./createUsageWindow";
import type { UsageWindow } from "./usageWindow";

type AdmittedUnits = Pick<AccountUsage, "entitled" | "spare">;

const unitsOf = (kind: keyof AdmittedUnits, units: number): AdmittedUnits => ({ entitled: 0, spare: 0, [kind]: units });

interface PeerTotal {
    readonly total: AdmittedUnits;
    readonly receivedAtMs: number;
}

interface AccountState {
    /** Units of the rate and the burst that are currently available to all hosts together. */
    availableUnits: number;
    refilledAtMs: number;
    /** Units that all hosts consumed within the window, as far as known. */
    readonly window: UsageWindow;
    /** The portion of them that was consumed above the rate. */
    readonly spareWindow: UsageWindow;
    total: AdmittedUnits;
    readonly peers: Map<HostId, PeerTotal>;
    /** Rate at which all peers together consume units, from their reports. */
    readonly peerRate: RateMeter;
    /** Whether the available units were adopted from a peer. */
    isSynchronized: boolean;
}

/** Time without a report after which a peer no longer counts in the division of the limit. */
const PEER_EXPIRY_MS = 20_000;

/**
 * Time over which the combined rate of all peers is averaged. The rate of a single peer would be too noisy: in a large
 * group, each peer admits few requests of an account, and reports may arrive in quick succession.
 */
const RATE_AVERAGE_MS = 3_000;

/** Minimum wait of an account that has exhausted its window: by then, a part of the usage has left the window. */
const MINIMUM_WAIT_MS = 250;

const MS_PER_S = 1_000;

/**
 * Creates a meter that enforces limits across all hosts. The share of a limit that belongs to unreachable peers is left
 * unused, so that hosts on the two sides of a network partition do not both consume the whole limit.
 *
 * Handles an account that sends many times its usual load. Up to its rate and burst, its requests compete with those of
 * other accounts; a tolerated amount beyond that runs only on spare capacity. Any more would be deducted from what the
 * account is entitled to later in the window. A restarted host does not know the previous usage: it adopts the
 * available units of a peer that does. If all hosts restarted at once, each starts with the tolerated units.
 */
export const createAccountMeter = (clock: Clock, options: AccountMeterOptions): AccountMeter => {
    const { windowMs, toleratedUnits, peerTimeoutMs } = options;
    const accounts = new Map<AccountId, AccountState>();
    const reporters = new Map<string, { readonly hostCount: number; readonly reportedAtMs: number; }>();
    /** Highest number of hosts that were reachable within the last while, and when there were so many. */
    let mostHosts = { count: 0, atMs: -Infinity };
    const startedAtMs = clock.monotonicMs();

    const stateOf = (accountId: AccountId): AccountState => {
        const state = accounts.get(accountId) ?? {
            availableUnits: toleratedUnits,
            refilledAtMs: startedAtMs,
            window: createUsageWindow(clock, windowMs),
            spareWindow: createUsageWindow(clock, windowMs),
            total: { entitled: 0, spare: 0 },
            peers: new Map<HostId, PeerTotal>(),
            peerRate: createRateMeter(RATE_AVERAGE_MS),
            isSynchronized: false,
        };
        accounts.set(accountId, state);
        return state;
    };

    const isWarmingUp = (nowMs: number): boolean => nowMs - startedAtMs < windowMs;

    const countReachable = (nowMs: number): number => {
        const timeoutMs = peerTimeoutMs();
        return [...reporters.values()]
            .filter(({ reportedAtMs }) => nowMs - reportedAtMs < timeoutMs)
            .reduce((sum, { hostCount }) => sum + hostCount, 1);
    };

    const updateMostHosts = (reachable: number, nowMs: number): void => {
        if (reachable >= mostHosts.count || nowMs - mostHosts.atMs >= PEER_EXPIRY_MS) {
            mostHosts = { count: reachable, atMs: nowMs };
        }
    };

    /**
     * Fraction of the limit that belongs to the hosts that are reachable. Hosts are counted and not told apart, since
     * the same ones may be reported by another collector a moment later.
     */
    const ownShare = (nowMs: number): number => {
        const reachable = countReachable(nowMs);
        updateMostHosts(reachable, nowMs);
        return reachable / mostHosts.count;
    };

    const refill = (state: AccountState, account: ClientAccount, share: number, nowMs: number): void => {
        const elapsedMs = nowMs - state.refilledAtMs;
        state.availableUnits = Math.min(
            account.burst,
            state.availableUnits + account.ratePerS / MS_PER_S * elapsedMs * share,
        );
        state.refilledAtMs = nowMs;
    };

    /**
     * Estimates the units that peers have consumed since their last reports. Peers past the time-out are left out: they
     * are limited to their own share of the rate, or have terminated. Only the amount above the refill of that time has
     * to be subtracted from the available units.
     */
    const estimateUnreported = (
        { peers, peerRate }: AccountState,
        { ratePerS }: ClientAccount,
        nowMs: number,
    ): { readonly units: number; readonly aboveRefill: number; } => {
        const timeoutMs = peerTimeoutMs();
        const ages = [...peers.values()].map(({ receivedAtMs }) => nowMs - receivedAtMs).filter(ageMs =>
            ageMs < timeoutMs
        );
        const meanAgeMs = ages.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, ages.length);
        const perMs = peerRate.ratePerMs(nowMs);
        return { units: meanAgeMs * perMs, aboveRefill: meanAgeMs * Math.max(0, perMs - ratePerS / MS_PER_S) };
    };

    /** Units left in the window; the available units of the bucket until a whole window has been observed. */
    const remainingUnits = (state: AccountState, account: ClientAccount, share: number, nowMs: number): number =>
        isWarmingUp(nowMs)
            ? state.availableUnits
            : (account.ratePerS * windowMs / MS_PER_S + account.burst + toleratedUnits) * share - state.window.sum();

    const applyUnits = (state: AccountState, units: AdmittedUnits): void => {
        state.availableUnits -= units.entitled;
        state.window.add(units.entitled + units.spare);
        state.spareWindow.add(units.spare);
    };

    const consume = (state: AccountState, units: AdmittedUnits): void => {
        applyUnits(state, units);
        state.total = { entitled: state.total.entitled + units.entitled, spare: state.total.spare + units.spare };
    };

    /**
     * Adopts the available units of a peer that knew the account before this process started. The peer's total becomes
     * the baseline, as those units were admitted before.
     */
    const adoptAvailableUnits = (
        state: AccountState,
        hostId: HostId,
        availableUnits: number,
        total: AdmittedUnits,
        nowMs: number,
    ): void => {
        if (!state.isSynchronized) {
            state.availableUnits = availableUnits;
            state.refilledAtMs = nowMs;
            state.isSynchronized = true;
        }
        state.peers.set(hostId, { total, receivedAtMs: nowMs });
    };

    const observeUsage = (state: AccountState, hostId: HostId, usage: AccountUsage, nowMs: number): void => {
        const peer = state.peers.get(hostId);
        const { level: availableUnits, ...total } = usage;
        if (peer === undefined && isWarmingUp(nowMs) && availableUnits !== undefined) {
            adoptAvailableUnits(state, hostId, availableUnits, total, nowMs);
            return;
        }
        const entitled = Math.max(0, total.entitled - (peer?.total.entitled ?? 0));
        const spare = Math.max(0, total.spare - (peer?.total.spare ?? 0));
        state.peerRate.add(entitled + spare, nowMs);
        applyUnits(state, { entitled, spare });
        state.peers.set(hostId, { total, receivedAtMs: nowMs });
    };

    return {
        admit: (account, units) => {
            const nowMs = clock.monotonicMs();
            const state = stateOf(account.accountId);
            if (account.ratePerS <= 0) {
                state.total = { ...state.total, entitled: state.total.entitled + units };
                return { kind: "entitled" };
            }
            const share = ownShare(nowMs);
            refill(state, account, share, nowMs);
            // Bounds the deficit: overconsumption by several hosts between two reports must not block the account for
            // long.
            state.availableUnits = Math.max(state.availableUnits, -account.burst);
            const unreported = estimateUnreported(state, account, nowMs);
            const missingUnits = Math.min(units, account.burst) - (state.availableUnits - unreported.aboveRefill);
            const waitMs = missingUnits / account.ratePerS * MS_PER_S;
            const fitsWindow = units + unreported.units <= remainingUnits(state, account, share, nowMs);
            if (missingUnits <= 0 && (fitsWindow || isWarmingUp(nowMs))) {
                consume(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (fitsWindow && state.spareWindow.sum() + units <= toleratedUnits * share) {
                consume(state, unitsOf("spare", units));
                return { kind: "spare", waitMs };
            }
            return { kind: "over", waitMs: Math.max(waitMs, MINIMUM_WAIT_MS) };
        },
        refund: (accountId, units, admission) => {
            if (admission.kind !== "over") {
                consume(stateOf(accountId), unitsOf(admission.kind, -units));
            }
        },
        usages: () => {
            const isKnown = !isWarmingUp(clock.monotonicMs());
            return new Map(
                [...accounts].map((
                    [accountId, { total, availableUnits }],
                ) => [accountId, { ...total, level: isKnown ? availableUnits : undefined }]),
            );
        },
        observePeer: (hostName, hostId, usages, hostCount = 1) => {
            const nowMs = clock.monotonicMs();
            reporters.set(hostName, { hostCount, reportedAtMs: nowMs });
            updateMostHosts(countReachable(nowMs), nowMs);
            [...reporters].filter(([, { reportedAtMs }]) => nowMs - reportedAtMs >= PEER_EXPIRY_MS).forEach(([name]) =>
                reporters.delete(name)
            );
            usages.forEach((usage, accountId) => observeUsage(stateOf(accountId), hostId, usage, nowMs));
        },
    };
};
