import type { AccountId } from "@ibislanding/core";
import { replayAccountLoad, type ReplayedRequest } from "./support/replayAccountLoad";

const SEED = Number(process.env["ACCOUNT_SEED"] ?? 1);

const WINDOW_S = 8;
const SLACK_UNITS = 110_000;
const UNITS_PER_S = 630_000;
/** Shares of 16 accounts in the load, of which a few are large; a host sees a small one every few seconds. */
const SHARES = [0.26, 0.16, 0.12, 0.08, ...Array.from({ length: 12 }, () => 0.38 / 12)];
const SIZES = [543, 543, 1_200, 2_400, 4_800, 9_190];
const HOT_FACTOR = 5;
const BURST_FACTOR = 2;

/** Maximum part of the requests of an account above its limit that are refused although its bucket has room. */
const MAXIMUM_ENTITLED_REFUSALS = 0.01;

const declareAccounts = (limitFactor: number) =>
    SHARES.map((share, index) => ({
        accountId: `account-${index}` as AccountId,
        apiKeys: [],
        priority: undefined,
        unit: "tokens" as const,
        plainTokens: 200,
        ratePerS: share * UNITS_PER_S * limitFactor,
        burst: share * UNITS_PER_S * limitFactor,
    }));
type Account = ReturnType<typeof declareAccounts>[number];

/** Judges one account by a bucket and a window that know all that was served at once. */
const judge = ({ accountId, ratePerS, burst }: Account, requests: readonly ReplayedRequest[]) => {
    const own = requests.filter(request => request.accountId === accountId);
    const served: ReplayedRequest[] = [];
    let available = burst;
    let refilledAtMs = 0;
    let first = 0;
    let window = 0;
    let largest = 0;
    let entitledRefusals = 0;
    own.forEach(request => {
        const { atMs, units, kind } = request;
        available = Math.min(burst, available + (atMs - refilledAtMs) / 1_000 * ratePerS);
        refilledAtMs = atMs;
        if (kind === "over") {
            entitledRefusals += Number(available >= Math.min(units, burst));
            return;
        }
        while ((served[first]?.atMs ?? Infinity) <= atMs - WINDOW_S * 1_000) {
            window -= served[first++]?.units ?? 0;
        }
        served.push(request);
        available -= units;
        window += units;
        largest = Math.max(largest, window);
    });
    return {
        offered: own.length,
        entitledRefusals,
        largestOfPermitted: largest / ((ratePerS * WINDOW_S + burst) * 1.1 + SLACK_UNITS),
    };
};

// Guards against requests that are refused after a burst although the account has room again: usage that is reported late
// left the window late, and what peers might admit was deducted long after they had stopped to admit it. Also guards
// against more than the permitted units at the beginning of the burst.
test(
    "accounts get what they are entitled to at 82 hosts, while one sends five times its rate and all twice theirs",
    () => {
        const limitFactor = 2.5;
        const accounts = declareAccounts(limitFactor);
        const requests = replayAccountLoad({
            hostCount: 82,
            loads: accounts.map((account, index) => ({
                account,
                unitsPerS: atMs =>
                    account.ratePerS / limitFactor
                    * (index === 0 && atMs >= 6_000 && atMs < 14_700 ? HOT_FACTOR : 1)
                    * (atMs >= 9_500 && atMs < 13_500 ? BURST_FACTOR : 1),
            })),
            durationMs: 26_000,
            leadMs: 16_000,
            seed: SEED,
            // Of 82 hosts, 29 cannot reach the store until 11.5 s.
            isRegistered: (host, atMs) => host % 17 < 11 || atMs > 11_500 + host * 6,
            restarts: [],
            summaryDelayMs: [20, 500],
            sizes: SIZES,
        });
        const [hot, ...others] = accounts.map(account => judge(account, requests));
        expect(others.reduce((sum, { entitledRefusals }) => sum + entitledRefusals, 0)).toBe(0);
        expect(hot?.entitledRefusals).toBeLessThan((hot?.offered ?? 0) * MAXIMUM_ENTITLED_REFUSALS);
        expect(hot?.largestOfPermitted).toBeLessThan(1);
    },
    120_000,
);

// Guards against refusals where nothing is wrong: a few large requests of an account that a host sees every few seconds,
// or a wave of demand in one zone, look like a demand above the limit.
test("accounts at three quarters of their limit are not refused at 64 hosts with waves of demand", () => {
    const limitFactor = 1.3;
    const accounts = declareAccounts(limitFactor);
    const requests = replayAccountLoad({
        hostCount: 64,
        loads: accounts.map(account => ({ account, unitsPerS: () => account.ratePerS / limitFactor })),
        durationMs: 40_000,
        leadMs: 16_000,
        seed: SEED,
        isRegistered: () => true,
        restarts: [],
        summaryDelayMs: [100, 900],
        sizes: SIZES,
        zoneFactor: (zone, atMs) => 1.33 + 0.67 * Math.sin(atMs / 8_000 * 2 * Math.PI + zone),
    });
    const refused = requests.filter(({ kind }) => kind === "over").length;
    expect(refused).toBeLessThan(requests.length / 1_000);
}, 120_000);
