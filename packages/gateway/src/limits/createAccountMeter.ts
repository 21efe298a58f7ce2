import { type AccountId, type Clock, createRateMeter, type HostId, type RateMeter } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountMeter } from "./accountMeter";
import type { AccountMeterOptions } from "./accountMeterOptions";
import type { AccountUse } from "./accountUse";
import { createUsageWindow } from "./createUsageWindow";
import type { UsageWindow } from "./usageWindow";

type UsedUnits = Pick<AccountUse, "entitled" | "spare">;

const unitsOf = (kind: keyof UsedUnits, units: number): UsedUnits => ({ entitled: 0, spare: 0, [kind]: units });

interface PeerTotal {
    readonly total: UsedUnits;
    readonly heardAtMs: number;
}

interface AccountState {
    /** Units of the rate and the burst that all hosts together may still take now. */
    level: number;
    refilledAtMs: number;
    /** Units that all hosts took within the window, as far as they are known. */
    readonly window: UsageWindow;
    /** The part of them that was taken above the rate. */
    readonly spareWindow: UsageWindow;
    total: UsedUnits;
    readonly peers: Map<HostId, PeerTotal>;
    /** What all peers together took, by their reports. */
    readonly peerRate: RateMeter;
    /** Whether the level was taken over from a peer. */
    isInformed: boolean;
}

/** A silent peer counts as gone after this time. */
const PEER_FORGOTTEN_MS = 20_000;

/**
 * Time over which the rate of all peers is averaged. That of a single peer would say little: in a large group each takes
 * few requests of an account, and reports may arrive close together.
 */
const RATE_AVERAGE_MS = 3_000;

/** Wait of an account that used up its window: a part of it leaves the window by then. */
const LEAST_WAIT_MS = 250;

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
    const { windowMs, toleratedUnits, peerSilenceMs } = options;
    const accounts = new Map<AccountId, AccountState>();
    const peerHeardAtMs = new Map<string, number>();
    const startedAtMs = clock.monotonicMs();

    const stateOf = (accountId: AccountId): AccountState => {
        const state = accounts.get(accountId) ?? {
            level: toleratedUnits,
            refilledAtMs: startedAtMs,
            window: createUsageWindow(clock, windowMs),
            spareWindow: createUsageWindow(clock, windowMs),
            total: { entitled: 0, spare: 0 },
            peers: new Map<HostId, PeerTotal>(),
            peerRate: createRateMeter(RATE_AVERAGE_MS),
            isInformed: false,
        };
        accounts.set(accountId, state);
        return state;
    };

    const isYoung = (nowMs: number): boolean => nowMs - startedAtMs < windowMs;

    const ownShare = (nowMs: number): number => {
        const ages = [...peerHeardAtMs.values()].map(heardAtMs => nowMs - heardAtMs);
        const known = ages.filter(ageMs => ageMs < PEER_FORGOTTEN_MS).length;
        const heard = ages.filter(ageMs => ageMs < peerSilenceMs()).length;
        return (heard + 1) / (known + 1);
    };

    const refill = (state: AccountState, account: ClientAccount, share: number, nowMs: number): void => {
        const elapsedMs = nowMs - state.refilledAtMs;
        state.level = Math.min(account.burst, state.level + account.ratePerS / MS_PER_S * elapsedMs * share);
        state.refilledAtMs = nowMs;
    };

    /**
     * What peers have probably taken since their last reports. Silent ones have their part of the rate, or have ended.
     * Only what is above the refill of that time is missing from the level.
     */
    const unreported = (
        { peers, peerRate }: AccountState,
        { ratePerS }: ClientAccount,
        nowMs: number,
    ): { readonly units: number; readonly aboveRefill: number; } => {
        const silenceMs = peerSilenceMs();
        const ages = [...peers.values()].map(({ heardAtMs }) => nowMs - heardAtMs).filter(ageMs => ageMs < silenceMs);
        const meanAgeMs = ages.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, ages.length);
        const perMs = peerRate.ratePerMs(nowMs);
        return { units: meanAgeMs * perMs, aboveRefill: meanAgeMs * Math.max(0, perMs - ratePerS / MS_PER_S) };
    };

    /** Units that are left in the window; those of the level until a whole window was seen. */
    const unitsLeft = (state: AccountState, account: ClientAccount, share: number, nowMs: number): number =>
        isYoung(nowMs)
            ? state.level
            : (account.ratePerS * windowMs / MS_PER_S + account.burst + toleratedUnits) * share - state.window.sum();

    const note = (state: AccountState, units: UsedUnits): void => {
        state.level -= units.entitled;
        state.window.add(units.entitled + units.spare);
        state.spareWindow.add(units.spare);
    };

    const take = (state: AccountState, units: UsedUnits): void => {
        note(state, units);
        state.total = { entitled: state.total.entitled + units.entitled, spare: state.total.spare + units.spare };
    };

    /** Takes over the level of a peer that knew the account before this process started; what it admitted is the past. */
    const inform = (state: AccountState, hostId: HostId, level: number, total: UsedUnits, nowMs: number): void => {
        if (!state.isInformed) {
            state.level = level;
            state.refilledAtMs = nowMs;
            state.isInformed = true;
        }
        state.peers.set(hostId, { total, heardAtMs: nowMs });
    };

    const observeUse = (state: AccountState, hostId: HostId, use: AccountUse, nowMs: number): void => {
        const peer = state.peers.get(hostId);
        const { level, ...total } = use;
        if (peer === undefined && isYoung(nowMs) && level !== undefined) {
            inform(state, hostId, level, total, nowMs);
            return;
        }
        const entitled = Math.max(0, total.entitled - (peer?.total.entitled ?? 0));
        const spare = Math.max(0, total.spare - (peer?.total.spare ?? 0));
        state.peerRate.add(entitled + spare, nowMs);
        note(state, { entitled, spare });
        state.peers.set(hostId, { total, heardAtMs: nowMs });
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
            state.level = Math.max(state.level, -account.burst);
            const pending = unreported(state, account, nowMs);
            const missing = Math.min(units, account.burst) - (state.level - pending.aboveRefill);
            const waitMs = missing / account.ratePerS * MS_PER_S;
            const hasRoom = units + pending.units <= unitsLeft(state, account, share, nowMs);
            if (missing <= 0 && (hasRoom || isYoung(nowMs))) {
                take(state, unitsOf("entitled", units));
                return { kind: "entitled" };
            }
            if (hasRoom && state.spareWindow.sum() + units <= toleratedUnits * share) {
                take(state, unitsOf("spare", units));
                return { kind: "spare", waitMs };
            }
            return { kind: "over", waitMs: Math.max(waitMs, LEAST_WAIT_MS) };
        },
        giveBack: (accountId, units, admission) => {
            if (admission.kind !== "over") {
                take(stateOf(accountId), unitsOf(admission.kind, -units));
            }
        },
        uses: () => {
            const isKnown = !isYoung(clock.monotonicMs());
            return new Map(
                [...accounts].map((
                    [accountId, { total, level }],
                ) => [accountId, { ...total, level: isKnown ? level : undefined }]),
            );
        },
        observePeer: (hostName, hostId, uses) => {
            const nowMs = clock.monotonicMs();
            peerHeardAtMs.set(hostName, nowMs);
            uses.forEach((use, accountId) => observeUse(stateOf(accountId), hostId, use, nowMs));
        },
    };
};
