import type { AccountId, Clock, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";
import type { AccountMeterOptions } from "./accountMeterOptions";
import type { AccountUsage } from "./accountUsage";
import { createDemandEstimator } from "./createDemandEstimator";
import { createReachableShare } from "./createReachableShare";
import { createUsageWindow } from "./createUsageWindow";
import type { DemandEstimator } from "./demandEstimator";
import type { UsageWindow } from "./usageWindow";

type AdmittedUnits = Pick<AccountUsage, "entitled" | "spare">;

const unitsOf = (kind: keyof AdmittedUnits, units: number): AdmittedUnits => ({ entitled: 0, spare: 0, [kind]: units });

interface PeerTotal extends AdmittedUnits {
    readonly refused: number;
    readonly receivedAtMs: number;
    /** Age of the report when it was received. */
    readonly ageMs: number;
}

interface AccountState {
    /** The limit when it was last applied; undefined before the first request. */
    account: ClientAccount | undefined;
    /** Units of the rate and the burst that are currently available to all hosts together. */
    availableUnits: number;
    refilledAtMs: number;
    /** Units that all hosts consumed within the window, as far as known. */
    readonly window: UsageWindow;
    /** The portion of them that was consumed above the rate. */
    readonly spareWindow: UsageWindow;
    /** The portions of both that this host admitted. */
    readonly ownWindow: UsageWindow;
    readonly ownSpareWindow: UsageWindow;
    total: AdmittedUnits;
    refused: number;
    readonly peers: Map<HostId, PeerTotal>;
    readonly demand: DemandEstimator;
    /** Units that the admitted fraction has earned this host, less those of the requests that used them. */
    creditUnits: number;
    /** Units of the rate since the account began to exceed it: the most that this host admits as its fraction. */
    pacedUnits: number;
    /** Whether the available units were adopted from a peer. */
    isSynchronized: boolean;
}

/** Consumption that is not yet reported, as presumed. */
interface UnreportedUnits {
    /** What peers would consume at the rate of their reports. */
    readonly consumed: number;
    /** What they would consume if they admitted all that is asked for. */
    readonly asked: number;
    /** What the window has more than the one that ended with the reports. */
    readonly aboveWindow: number;
}

/** Minimum wait of an account that has exhausted its window: by then, a part of the usage has left the window. */
const MINIMUM_WAIT_MS = 250;

/**
 * Part of a window's limit, above the limit and the tolerated units, within which the paced rate falls to zero. The
 * remaining permitted excess is for what hosts admit at the same moment without knowing of each other.
 */
const EXCESS_SHARE = 0.07;

/**
 * Reduction of the paced rate for each unit of deficit, relative to a window's limit, and its maximum. What was admitted
 * before the hosts knew of an account's load is deducted over some seconds: otherwise the window would be exhausted just
 * before that usage leaves it, and nothing would be admitted for a second or two.
 */
const DEFICIT_FACTOR = 2.5;
const MAXIMUM_DEFICIT_SHARE = 0.3;

/**
 * Demand, as a multiple of the rate, up to which an account with available units and a window below its rate is not
 * paced: a few large requests at one moment look like this.
 */
const DOUBTFUL_DEMAND = 1.5;
const DOUBTFUL_WINDOW_SHARE = 0.95;

/** Time after the start of a process from which it knows the demand at its peers. */
const DEMAND_KNOWN_MS = 2_500;

/** Fraction of a request's units that the credit must exceed, so that credits are on average neither used early nor late. */
const CREDIT_SHARE = 0.5;

const MS_PER_S = 1_000;

/**
 * Creates a meter that enforces limits across all hosts. The share of a limit that belongs to unreachable peers is left
 * unused, so that hosts on the two sides of a network partition do not both consume the whole limit.
 *
 * Handles an account that sends many times its usual load. Up to its rate and burst, its requests compete with those of
 * other accounts; a tolerated amount beyond that runs only on spare capacity. Any more would be deducted from what the
 * account is entitled to later in the window.
 *
 * Hosts know each other's usage one to two seconds late. If each admitted all that fits what it knows, an account above
 * its rate would get several times its rate and then nothing, in turns. Therefore each host admits the fraction of its
 * own requests that the rate is of the demand at all hosts. The fraction needs no knowledge of how the load is divided
 * among the hosts.
 *
 * A restarted host does not know the previous usage: it adopts the available units of a peer that does. If all hosts
 * restarted at once, each starts with the tolerated units.
 */
export const createAccountMeter = (clock: Clock, options: AccountMeterOptions): AccountMeter => {
    const { windowMs, toleratedUnits, peerTimeoutMs } = options;
    const accounts = new Map<AccountId, AccountState>();
    const reachable = createReachableShare(clock, peerTimeoutMs);
    const startedAtMs = clock.monotonicMs();

    const stateOf = (accountId: AccountId): AccountState => {
        const state: AccountState = accounts.get(accountId) ?? {
            account: undefined,
            availableUnits: toleratedUnits,
            refilledAtMs: startedAtMs,
            window: createUsageWindow(clock, windowMs),
            spareWindow: createUsageWindow(clock, windowMs),
            ownWindow: createUsageWindow(clock, windowMs),
            ownSpareWindow: createUsageWindow(clock, windowMs),
            total: { entitled: 0, spare: 0 },
            refused: 0,
            peers: new Map<HostId, PeerTotal>(),
            demand: createDemandEstimator(clock),
            creditUnits: 0,
            pacedUnits: 0,
            isSynchronized: false,
        };
        accounts.set(accountId, state);
        return state;
    };

    const isWarmingUp = (nowMs: number): boolean => nowMs - startedAtMs < windowMs;

    /** Units that may be consumed in a window without the tolerated ones. */
    const windowUnits = ({ ratePerS, burst }: ClientAccount, share: number): number =>
        (ratePerS * windowMs / MS_PER_S + burst) * share;

    /**
     * Estimates what peers have consumed since their last reports. Peers past the time-out are left out: they are limited
     * to their own share of the rate, or have terminated.
     */
    const estimateUnreported = ({ peers, demand, window }: AccountState, nowMs: number): UnreportedUnits => {
        const timeoutMs = peerTimeoutMs();
        const current = [...peers.values()].filter(({ receivedAtMs }) => nowMs - receivedAtMs < timeoutMs);
        const meanAgeMs = current.reduce((sum, { receivedAtMs, ageMs }) => sum + nowMs - receivedAtMs + ageMs, 0)
            / Math.max(1, current.length);
        return {
            consumed: meanAgeMs * demand.admittedPerMs(),
            asked: meanAgeMs * demand.peersPerMs(),
            aboveWindow: meanAgeMs * Math.max(0, demand.admittedPerMs() - window.sum() / windowMs),
        };
    };

    /**
     * Adds the units of the rate since the last refill. The upper bound leaves room for what is not yet reported, since a
     * late report would otherwise be deducted from a bucket that was full when the units were consumed. The lower bound
     * is only for usage from before a change of the limit.
     */
    const refill = (
        state: AccountState,
        account: ClientAccount,
        share: number,
        unreportedUnits: number,
        nowMs: number,
    ): void => {
        const refillUnits = account.ratePerS / MS_PER_S * (nowMs - state.refilledAtMs) * share;
        state.availableUnits = Math.max(
            -account.ratePerS * windowMs / MS_PER_S - account.burst,
            Math.min(account.burst + unreportedUnits, state.availableUnits + refillUnits),
        );
        state.pacedUnits = Math.min(Math.max(account.ratePerS, account.burst), state.pacedUnits + refillUnits);
        state.refilledAtMs = nowMs;
    };

    /** Units left in the window; the available units of the bucket until a whole window has been observed. */
    const remainingUnits = (state: AccountState, account: ClientAccount, share: number, nowMs: number): number =>
        isWarmingUp(nowMs)
            ? state.availableUnits
            : windowUnits(account, share) + toleratedUnits * share - state.window.sum();

    /** Rate for all hosts together; lower than the account's rate after it was exceeded. */
    const pacedPerMs = (
        state: AccountState,
        account: ClientAccount,
        share: number,
        unreported: UnreportedUnits,
    ): number => {
        const limitUnits = windowUnits(account, share);
        const usedUnits = state.window.sum() + unreported.aboveWindow;
        const leftShare = 1 - (usedUnits - limitUnits - toleratedUnits * share) / (limitUnits * EXCESS_SHARE);
        const deficitShare = Math.min(
            MAXIMUM_DEFICIT_SHARE,
            DEFICIT_FACTOR * Math.max(0, -state.availableUnits / limitUnits),
        );
        return account.ratePerS / MS_PER_S * share * Math.max(0, Math.min(1 - deficitShare, leftShare));
    };

    /** Whether the account only appears to exceed its rate. */
    const isDoubtful = (
        state: AccountState,
        account: ClientAccount,
        units: number,
        share: number,
        demandPerMs: number,
    ): boolean =>
        state.availableUnits >= Math.min(units, account.burst)
        && demandPerMs <= account.ratePerS / MS_PER_S * share * DOUBTFUL_DEMAND
        && state.window.sum() <= account.ratePerS * windowMs / MS_PER_S * share * DOUBTFUL_WINDOW_SHARE;

    /**
     * Whether this host knows enough to admit a fraction. Shortly after its start it does not know the demand at its
     * peers, which matters if the adopted units show that the account is well above its rate.
     */
    const mayPace = (state: AccountState, { burst }: ClientAccount, nowMs: number): boolean =>
        !isWarmingUp(nowMs)
        || state.isSynchronized && (nowMs - startedAtMs >= DEMAND_KNOWN_MS || state.availableUnits >= -burst / 2);

    /** Whether a request belongs to the fraction that is admitted of an account above its rate. */
    const isPaced = (state: AccountState, units: number, ratePerMs: number, demandPerMs: number): boolean => {
        const admittedShare = Math.min(1, ratePerMs / demandPerMs);
        state.creditUnits = Math.min(2 * units, state.creditUnits + units * admittedShare);
        if (state.creditUnits <= units * CREDIT_SHARE || state.pacedUnits < units) {
            return false;
        }
        state.creditUnits -= units;
        state.pacedUnits -= units;
        return true;
    };

    const applyUnits = (state: AccountState, units: AdmittedUnits): void => {
        state.availableUnits -= units.entitled;
        state.window.add(units.entitled + units.spare);
        state.spareWindow.add(units.spare);
    };

    const consume = (state: AccountState, units: AdmittedUnits): void => {
        applyUnits(state, units);
        state.ownWindow.add(units.entitled + units.spare);
        state.ownSpareWindow.add(units.spare);
        state.total = { entitled: state.total.entitled + units.entitled, spare: state.total.spare + units.spare };
    };

    /** Whether tolerated units are left; each host may use the part of them that its part of the usage is. */
    const fitsTolerance = (state: AccountState, units: number, share: number): boolean => {
        const ownPart = (state.ownWindow.sum() + units) / (state.window.sum() + units);
        const tolerated = toleratedUnits * share;
        return state.spareWindow.sum() + units <= tolerated
            && state.ownSpareWindow.sum() + units <= tolerated * ownPart;
    };

    /**
     * Applies a report. The totals of a process only grow: a lower one is an older one, or one from which more of the own
     * usage was subtracted, and counting the difference again would count units twice.
     */
    const observeUsage = (
        state: AccountState,
        hostId: HostId,
        { entitled, spare, refused = 0, level }: AccountUsage,
        ageMs: number,
        nowMs: number,
    ): void => {
        const peer = state.peers.get(hostId);
        const isBaseline = peer === undefined && isWarmingUp(nowMs) && level !== undefined;
        if (isBaseline && !state.isSynchronized) {
            state.availableUnits = level;
            state.refilledAtMs = nowMs;
            state.isSynchronized = true;
        }
        const total = {
            entitled: Math.max(entitled, peer?.entitled ?? 0),
            spare: Math.max(spare, peer?.spare ?? 0),
            refused: Math.max(refused, peer?.refused ?? 0),
        };
        // The total of a peer that knew the account before this process started is the baseline, as those units were
        // admitted before.
        if (!isBaseline) {
            const added = {
                entitled: total.entitled - (peer?.entitled ?? 0),
                spare: total.spare - (peer?.spare ?? 0),
            };
            const addedRefused = total.refused - (peer?.refused ?? 0);
            // Most accounts of a report are as in the previous one, and adding nothing changes no rate and no window.
            if (added.entitled > 0 || added.spare > 0 || addedRefused > 0) {
                state.demand.addPeers(added.entitled + added.spare, addedRefused, ageMs);
                applyUnits(state, added);
            }
        }
        state.peers.set(hostId, { ...total, receivedAtMs: nowMs, ageMs });
    };

    /**
     * Units that are available now, for a peer that starts. Those of the state are as of this host's last request of the
     * account, and in a large group a host may have had none for seconds.
     */
    const currentLevel = (
        { account, availableUnits, refilledAtMs }: AccountState,
        nowMs: number,
        share: number,
    ): number | undefined => {
        return account === undefined || isWarmingUp(nowMs)
            ? undefined
            : Math.min(
                account.burst,
                availableUnits + account.ratePerS / MS_PER_S * (nowMs - refilledAtMs) * share,
            );
    };

    return {
        admit: (account, units) => {
            const nowMs = clock.monotonicMs();
            const state = stateOf(account.accountId);
            if (account.ratePerS <= 0) {
                state.total = { ...state.total, entitled: state.total.entitled + units };
                return { kind: "entitled" };
            }
            state.account = account;
            const { demand } = state;
            const share = reachable.share();
            demand.addOwn(units);
            const unreported = estimateUnreported(state, nowMs);
            refill(state, account, share, unreported.consumed, nowMs);
            const demandPerMs = demand.ownPerMs() + demand.peersPerMs();
            const missingUnits = Math.min(units, account.burst) - (state.availableUnits - unreported.asked);
            const waitMs = missingUnits / account.ratePerS * MS_PER_S;
            const fitsWindow = units + unreported.aboveWindow <= remainingUnits(state, account, share, nowMs);
            if (
                (missingUnits <= 0 || isDoubtful(state, account, units, share, demandPerMs))
                && (fitsWindow || isWarmingUp(nowMs))
            ) {
                state.creditUnits = 0;
                state.pacedUnits = 0;
                consume(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (
                mayPace(state, account, nowMs)
                && isPaced(state, units, pacedPerMs(state, account, share, unreported), demandPerMs)
            ) {
                consume(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (fitsWindow && fitsTolerance(state, units, share)) {
                consume(state, unitsOf("spare", units));
                return { kind: "spare", waitMs };
            }
            state.refused += units;
            return { kind: "over", waitMs: Math.max(waitMs, MINIMUM_WAIT_MS) };
        },
        refund: (accountId, units, admission) => {
            if (admission.kind !== "over") {
                consume(stateOf(accountId), unitsOf(admission.kind, -units));
            }
        },
        usages: () => {
            const nowMs = clock.monotonicMs();
            const share = reachable.share();
            return new Map([...accounts].map(([accountId, state]) => {
                const level = currentLevel(state, nowMs, share);
                return [accountId, { ...state.total, refused: state.refused, level }] as const;
            }));
        },
        observePeer: (hostName, hostId, usages, hostCount = 1, ageMs = 0) => {
            const nowMs = clock.monotonicMs();
            reachable.observe(hostName, hostCount);
            usages.forEach((usage, accountId) => observeUsage(stateOf(accountId), hostId, usage, ageMs, nowMs));
        },
    };
};
