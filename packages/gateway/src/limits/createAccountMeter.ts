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
    /** Units of the rate and the burst that all hosts together may still take now. */
    availableUnits: number;
    refilledAtMs: number;
    /** Units that all hosts took within the window, as far as they are known. */
    readonly window: UsageWindow;
    /** The part of them that was taken above the rate. */
    readonly spareWindow: UsageWindow;
    total: AdmittedUnits;
    readonly peers: Map<HostId, PeerTotal>;
    /** What all peers together took, by their reports. */
    readonly peerRate: RateMeter;
    /** Whether the level was taken over from a peer. */
    isSynchronized: boolean;
}

/** A silent peer counts as gone after this time. */
const PEER_EXPIRY_MS = 20_000;

/**
 * Time over which the rate of all peers is averaged. That of a single peer would say little: in a large group each takes
 * few requests of an account, and reports may arrive close together.
 */
const RATE_AVERAGE_MS = 3_000;

/** Wait of an account that used up its window: a part of it leaves the window by then. */
const MINIMUM_WAIT_MS = 250;

const MS_PER_S = 1_000;

/**
 * Creates a meter that holds what all hosts together may take. The part of a limit that belongs to silent peers is left
 * to them, so that hosts on the two sides of a split don't both take all of it.
 *
 * Answers the load of one account at many times its usual: up to its rate and burst its requests compete with those of
 * others; a tolerated amount beyond runs only where there is spare room. More would be taken from the requests that the
 * account is entitled to later in the window. A host that restarted does not know what was taken before: it takes over
 * the level of a peer that does, and starts with the tolerated units where all hosts restarted at once.
 */
export const createAccountMeter = (clock: Clock, options: AccountMeterOptions): AccountMeter => {
    const { windowMs, toleratedUnits, peerTimeoutMs } = options;
    const accounts = new Map<AccountId, AccountState>();
    const lastReportAtMs = new Map<string, number>();
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

    const ownShare = (nowMs: number): number => {
        const ages = [...lastReportAtMs.values()].map(reportAtMs => nowMs - reportAtMs);
        const knownPeers = ages.filter(ageMs => ageMs < PEER_EXPIRY_MS).length;
        const reachablePeers = ages.filter(ageMs => ageMs < peerTimeoutMs()).length;
        return (reachablePeers + 1) / (knownPeers + 1);
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
     * What peers have probably taken since their last reports. Silent ones have their part of the rate, or have ended.
     * Only what is above the refill of that time is missing from the level.
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
        const perMs = peerRate.perMs(nowMs);
        return { units: meanAgeMs * perMs, aboveRefill: meanAgeMs * Math.max(0, perMs - ratePerS / MS_PER_S) };
    };

    /** Units that are left in the window; those of the level until a whole window was seen. */
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

    /** Takes over the level of a peer that knew the account before this process started; what it admitted is the past. */
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
            // Hosts that took too much between two reports must not keep the account out for long.
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
        observePeer: (hostName, hostId, usages) => {
            const nowMs = clock.monotonicMs();
            lastReportAtMs.set(hostName, nowMs);
            usages.forEach((usage, accountId) => observeUsage(stateOf(accountId), hostId, usage, nowMs));
        },
    };
};
