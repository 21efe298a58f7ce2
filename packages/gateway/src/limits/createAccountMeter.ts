import type { AccountId, Clock, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";
import type { AccountMeterOptions } from "./accountMeterOptions";
import type { AccountUsage } from "./accountUsage";
import { createDemandEstimator } from "./createDemandEstimator";
import { createReachableShare } from "./createReachableShare";
import { createSizeDispersion } from "./createSizeDispersion";
import { createUsageWindow } from "./createUsageWindow";
import type { DemandEstimator } from "./demandEstimator";
import type { SizeDispersion } from "./sizeDispersion";
import type { UsageWindow } from "./usageWindow";

type AdmittedUnits = Pick<AccountUsage, "entitled" | "spare">;

const unitsOf = (kind: keyof AdmittedUnits, units: number): AdmittedUnits => ({ entitled: 0, spare: 0, [kind]: units });

interface PeerTotal extends AdmittedUnits {
    readonly refused: number;
    readonly receivedAtMs: number;
    readonly createdAtMs: number;
    /** Mean age of the reports of the peer when they were received. */
    readonly meanAgeMs: number;
    /** Mean time from a request to the report that contains it, if a collector has created it. */
    readonly collectionMs: number;
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
    /** Requests that the admitted fraction has earned this host, less those that used them. */
    credit: number;
    /** Fraction of the requests that was admitted lately, and when it was determined. */
    fraction: number;
    fractionAtMs: number;
    /** Units of this host's share of the paced rate that it may still admit; a few hundred milliseconds of them are saved. */
    pacedUnits: number;
    pacedAtMs: number;
    /** Monotonic time that was stated to the client that was refused last. */
    promisedAtMs: number;
    /** Whether the available units were adopted from a peer. */
    isSynchronized: boolean;
}

/** Consumption that is not yet reported, as presumed. */
interface UnreportedUnits {
    /** What peers consume if they admit the same fraction of their requests as this host. */
    readonly consumed: number;
    /** What the window has more than the one that ended with the reports. */
    readonly aboveWindow: number;
}

/** Minimum wait of an account that has exhausted its window: by then, a part of the usage has left the window. */
const MINIMUM_WAIT_MS = 250;

/**
 * Greatest growth of the demand that is presumed in the window of an account whose bucket has room: a higher one would
 * refuse its requests for a wave of demand in one zone.
 */
const MAXIMUM_WINDOW_GROWTH = 2;

/** Time over which the returns of refused clients are spread; a longer one exceeds what clients wait for. */
const MAXIMUM_RETRY_SPREAD_MS = 2_000;

/** Fraction of a window's limit up to which the paced rate fills the window; the excess absorbs errors of estimation. */
const TARGET_SHARE = 1.02;

/** Part of the rate that is admitted until the window is full up to a higher fraction, so that no account stops entirely. */
const MINIMUM_RATE_SHARE = 0.75;
const MAXIMUM_SHARE = 1.05;

/** Part of the unreported usage that is reserved for the error of its estimation. */
const UNREPORTED_ERROR = 0.1;

/**
 * Rate of one host, relative to its share of the paced rate, and the time for which it may save units of it. The share is
 * known before a burst, which shows in the demand of others a second or two late.
 */
const OWN_RATE_FACTOR = 1.1;
const OWN_RATE_SPAN_MS = 300;

/** Multiple of the burst, or of the units of a second, by which the bucket may be overdrawn; the window bounds what is admitted beyond it. */
const MAXIMUM_OVERDRAFT_SHARE = 2;

/** Standard deviations by which the estimated demand must exceed the paced rate to count as above it. */
const SIGNIFICANT_DEVIATIONS = 1.5;

/** Time over which the admitted fraction is averaged: about the age of reports. */
const FRACTION_AVERAGE_MS = 1_000;

/** Time after the start of a process from which it knows the demand at its peers. */
const DEMAND_KNOWN_MS = 2_500;

/** Part of a request that the credit must exceed, so that credits are on average neither used early nor late. */
const CREDIT_SHARE = 0.5;
const MAXIMUM_CREDIT = 1.5;

/** Mean time from a request at a member of a group to the collector's summary that contains it. */
const COLLECTION_DELAY_MS = 325;

/** Peers whose reports are younger report to this host themselves, or are its collector; others are relayed. */
const EARLY_REPORT_MS = 150;

/** Weight of the latest report in the mean age of a peer's reports. */
const AGE_WEIGHT = 0.2;

/** Longest time between two reports over which the usage that the second one adds is presumed to be spread. */
const MAXIMUM_INTERVAL_MS = 1_000;

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
 * own requests that the rate which the window sustains is of the demand at all hosts, and not more than its usual share of
 * that rate, which is known before a sudden load shows in reports.
 *
 * A restarted host does not know the previous usage: it adopts the available units of a peer that does. If all hosts
 * restarted at once, each starts with the tolerated units.
 */
export const createAccountMeter = (clock: Clock, options: AccountMeterOptions): AccountMeter => {
    const { windowMs, toleratedUnits, peerTimeoutMs } = options;
    const accounts = new Map<AccountId, AccountState>();
    const reachable = createReachableShare(clock, peerTimeoutMs);
    const startedAtMs = clock.monotonicMs();
    /** Of all accounts that are charged in the same unit, as a host may see few requests of one account. */
    const sizes = new Map<ClientAccount["unit"], SizeDispersion>();

    const addSize = ({ unit }: ClientAccount, units: number): number => {
        const size = sizes.get(unit) ?? createSizeDispersion();
        sizes.set(unit, size);
        size.add(units);
        return size.units();
    };

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
            credit: 0,
            fraction: 1,
            fractionAtMs: startedAtMs,
            pacedUnits: 0,
            pacedAtMs: startedAtMs,
            promisedAtMs: startedAtMs,
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
    const estimateUnreported = ({ peers, demand, window, fraction }: AccountState, nowMs: number): UnreportedUnits => {
        const timeoutMs = peerTimeoutMs();
        const current = [...peers.values()].filter(({ receivedAtMs }) => nowMs - receivedAtMs < timeoutMs);
        const meanAgeMs =
            current.reduce((sum, { createdAtMs, collectionMs }) => sum + nowMs - createdAtMs + collectionMs, 0)
            / Math.max(1, current.length);
        const admittedPerMs = demand.peersPerMs() * fraction;
        return {
            consumed: meanAgeMs * admittedPerMs,
            aboveWindow: meanAgeMs
                * Math.max(
                    0,
                    admittedPerMs * Math.min(MAXIMUM_WINDOW_GROWTH, demand.growth()) - window.sum() / windowMs,
                ),
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
            -Math.max(account.burst, account.ratePerS) * MAXIMUM_OVERDRAFT_SHARE,
            Math.min(account.burst + unreportedUnits, state.availableUnits + refillUnits),
        );
        state.refilledAtMs = nowMs;
    };

    /** Units left in the window; the available units of the bucket until a whole window has been observed. */
    const remainingUnits = (state: AccountState, account: ClientAccount, share: number, nowMs: number): number =>
        isWarmingUp(nowMs)
            ? state.availableUnits
            : windowUnits(account, share) + toleratedUnits * share - state.window.sum();

    /**
     * Rate for all hosts together at which the window fills up to the limit and not beyond it, however the usage of the
     * past is distributed in it.
     */
    const pacedPerMs = (
        { window }: AccountState,
        account: ClientAccount,
        share: number,
        unreported: UnreportedUnits,
    ): number => {
        const limitUnits = windowUnits(account, 1);
        const reservedUnits = unreported.aboveWindow + UNREPORTED_ERROR * unreported.consumed - toleratedUnits;
        return share * Math.max(
            window.sustainablePerMs(limitUnits * TARGET_SHARE - reservedUnits),
            Math.min(
                account.ratePerS / MS_PER_S * MINIMUM_RATE_SHARE,
                window.sustainablePerMs(limitUnits * MAXIMUM_SHARE - reservedUnits),
            ),
        );
    };

    const computeAdmittedShare = (
        demand: DemandEstimator,
        demandPerMs: number,
        pacedPerMs: number,
        fitsWindow: boolean,
    ): number =>
        fitsWindow
            && demandPerMs - SIGNIFICANT_DEVIATIONS * demand.deviationPerMs(demandPerMs - demand.ownPerMs())
                <= pacedPerMs
            ? 1
            : Math.min(1, pacedPerMs / demandPerMs);

    const updateFraction = (state: AccountState, admittedShare: number, nowMs: number): void => {
        const weight = 1 - Math.exp(-(nowMs - state.fractionAtMs) / FRACTION_AVERAGE_MS);
        state.fraction += (admittedShare - state.fraction) * weight;
        state.fractionAtMs = nowMs;
    };

    /**
     * Whether this host knows enough to admit a fraction. Shortly after its start it does not know the demand at its
     * peers, which matters if the adopted units show that the account is well above its rate.
     */
    const mayPace = (state: AccountState, { burst }: ClientAccount, nowMs: number): boolean =>
        nowMs - startedAtMs >= DEMAND_KNOWN_MS || state.isSynchronized && state.availableUnits >= -burst / 2;

    /**
     * Whether a request belongs to the fraction that is admitted of an account above its rate. The fraction is one of the
     * requests, whatever their sizes: otherwise the smaller ones would use the credit that the larger ones need.
     */
    const isPaced = (
        state: AccountState,
        units: number,
        admittedShare: number,
        ratePerMs: number,
        nowMs: number,
    ): boolean => {
        const ownPerMs = ratePerMs * state.demand.ownShare() * OWN_RATE_FACTOR;
        state.pacedUnits = Math.min(
            ownPerMs * OWN_RATE_SPAN_MS,
            state.pacedUnits + ownPerMs * (nowMs - state.pacedAtMs),
        );
        state.pacedAtMs = nowMs;
        state.credit = Math.min(MAXIMUM_CREDIT, state.credit + admittedShare);
        if (state.credit <= CREDIT_SHARE || state.pacedUnits <= 0) {
            return false;
        }
        state.credit -= 1;
        state.pacedUnits -= units;
        return true;
    };

    /**
     * Time until the account has room for a refused request. Each one that is refused here is told a later time, by what
     * this host's part of the rate serves of it, so that they do not return at once.
     */
    const computeRetryMs = (
        state: AccountState,
        account: ClientAccount,
        units: number,
        share: number,
        waitMs: number,
        nowMs: number,
    ): number => {
        const roomInMs = Math.max(
            MINIMUM_WAIT_MS,
            waitMs,
            state.window.fallsInMs(windowUnits(account, share) + toleratedUnits * share - units),
        );
        const ownPerMs = account.ratePerS / MS_PER_S * state.demand.ownShare();
        const nextAtMs = Math.max(nowMs + roomInMs, state.promisedAtMs + units / ownPerMs);
        state.promisedAtMs = nextAtMs - nowMs - roomInMs > MAXIMUM_RETRY_SPREAD_MS ? nowMs + roomInMs : nextAtMs;
        return state.promisedAtMs - nowMs;
    };

    const applyUnits = (state: AccountState, units: AdmittedUnits, ageMs = 0): void => {
        state.availableUnits -= units.entitled;
        state.window.add(units.entitled + units.spare, ageMs);
        state.spareWindow.add(units.spare, ageMs);
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
        collectionMs: number,
        nowMs: number,
    ): void => {
        const peer = state.peers.get(hostId);
        const createdAtMs = nowMs - ageMs;
        const meanAgeMs = peer === undefined ? ageMs : peer.meanAgeMs + (ageMs - peer.meanAgeMs) * AGE_WEIGHT;
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
            const intervalMs = Math.max(0, createdAtMs - (peer?.createdAtMs ?? createdAtMs));
            const usageAgeMs = ageMs + collectionMs + Math.min(MAXIMUM_INTERVAL_MS, intervalMs) / 2;
            const addedUnits = added.entitled + added.spare + total.refused - (peer?.refused ?? 0);
            state.demand.addPeers(addedUnits, usageAgeMs, meanAgeMs < EARLY_REPORT_MS);
            // Most accounts of a report are as in the previous one.
            if (added.entitled > 0 || added.spare > 0) {
                applyUnits(state, added, usageAgeMs);
            }
        }
        state.peers.set(hostId, { ...total, receivedAtMs: nowMs, createdAtMs, meanAgeMs, collectionMs });
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
            demand.addOwn(units, addSize(account, units));
            const unreported = estimateUnreported(state, nowMs);
            refill(state, account, share, unreported.consumed, nowMs);
            const demandPerMs = demand.ownPerMs() + demand.peersPerMs() * demand.growth();
            const missingUnits = Math.min(units, account.burst)
                - (state.availableUnits - unreported.consumed
                    + Math.min(toleratedUnits * share / 2, unreported.consumed));
            const waitMs = missingUnits / account.ratePerS * MS_PER_S;
            const fitsWindow = units + unreported.aboveWindow <= remainingUnits(state, account, share, nowMs);
            const hasRoom = missingUnits <= 0 && (fitsWindow || isWarmingUp(nowMs));
            const ratePerMs = hasRoom ? Infinity : pacedPerMs(state, account, share, unreported);
            const admittedShare = hasRoom ? 1 : computeAdmittedShare(demand, demandPerMs, ratePerMs, fitsWindow);
            updateFraction(state, admittedShare, nowMs);
            if (hasRoom) {
                state.credit = 0;
                state.pacedUnits = Math.max(0, state.pacedUnits);
                state.pacedAtMs = nowMs;
                consume(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (
                mayPace(state, account, nowMs)
                && (admittedShare >= 1 || isPaced(state, units, admittedShare, ratePerMs, nowMs))
            ) {
                consume(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (fitsWindow && fitsTolerance(state, units, share)) {
                consume(state, unitsOf("spare", units));
                return { kind: "spare", waitMs };
            }
            state.refused += units;
            return { kind: "over", waitMs: computeRetryMs(state, account, units, share, waitMs, nowMs) };
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
            usages.forEach((usage, accountId) =>
                observeUsage(stateOf(accountId), hostId, usage, ageMs, hostCount > 1 ? COLLECTION_DELAY_MS : 0, nowMs)
            );
        },
    };
};
