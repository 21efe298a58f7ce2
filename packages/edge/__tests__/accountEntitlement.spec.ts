import type { AccountId } from "@ibislanding/core";
import { replayAccountLoad, type ReplayedRequest, type ReplayOptions } from "./support/replayAccountLoad";

const SEED = Number(process.env["ACCOUNT_SEED"] ?? 1);

const WINDOW_MS = 8_000;
const SLACK_UNITS = 110_000;
/** Period in which the account must get its rate, a quarter of the window. */
const PERIOD_MS = 2_000;
const MINIMUM_OF_RATE = 0.6;
/** The same where summaries take up to a second longer: more is admitted at first, which the window has to make up for. */
const MINIMUM_OF_RATE_LATE = 0.45;

/** Shares of 16 accounts in the load, of which a few are large. */
const SHARES = [0.26, 0.16, 0.12, 0.08, ...Array.from({ length: 12 }, () => 0.38 / 12)];
const UNITS_PER_S = 1_900_000;
const LIMIT_FACTOR = 2.5;
const HOT_FACTOR = 5;
const HOT_FROM_MS = 6_000;
const HOT_UNTIL_MS = 14_700;
/** Time after which reports have reached all hosts. */
const REPORTED_MS = 2_500;

const accounts = SHARES.map((share, index) => ({
    accountId: `account-${index}` as AccountId,
    apiKeys: [],
    priority: undefined,
    unit: "tokens" as const,
    plainTokens: 200,
    ratePerS: share * UNITS_PER_S * LIMIT_FACTOR,
    burst: share * UNITS_PER_S * LIMIT_FACTOR,
}));

const sumUnits = (requests: readonly ReplayedRequest[], fromMs: number, untilMs: number): number =>
    requests.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs).reduce((sum, { units }) => sum + units, 0);

const maximumWindow = (admitted: readonly ReplayedRequest[]): number => {
    let first = 0;
    let sum = 0;
    return admitted.reduce((maximum, { atMs, units }) => {
        sum += units;
        while ((admitted[first]?.atMs ?? Infinity) <= atMs - WINDOW_MS) {
            sum -= admitted[first++]?.units ?? 0;
        }
        return Math.max(maximum, sum);
    }, 0);
};

/** Replays the load while one account sends a multiple of its usual rate and a third of the hosts register late. */
const replay = (hot: number, options: Partial<ReplayOptions>) => {
    const requests = replayAccountLoad({
        hostCount: 82,
        loads: accounts.map((account, index) => ({
            account,
            unitsPerS: atMs =>
                account.ratePerS / LIMIT_FACTOR
                * (index === hot && atMs >= HOT_FROM_MS && atMs < HOT_UNTIL_MS ? HOT_FACTOR : 1),
        })),
        durationMs: 26_000,
        leadMs: 16_000,
        seed: SEED,
        isRegistered: (host, atMs) => host % 17 < 11 || atMs > 11_500 + host * 6,
        restarts: [],
        summaryDelayMs: [20, 500],
        ...options,
    });
    const account = accounts[hot] as (typeof accounts)[number];
    const own = requests.filter(({ accountId }) => accountId === account.accountId);
    const admitted = own.filter(({ kind }) => kind !== "over");
    const refused = own.filter(({ kind }) => kind === "over");
    // Until the load falls to its usual rate.
    const starts = Array.from({ length: 17 }, (_, index) => HOT_FROM_MS + REPORTED_MS + index * 250);
    const leastAdmitted = Math.min(...starts.map(atMs => sumUnits(admitted, atMs, atMs + PERIOD_MS)));
    return {
        othersRefused:
            requests.filter(({ accountId, kind }) => kind === "over" && accountId !== account.accountId).length,
        leastOfRate: leastAdmitted / (account.ratePerS * PERIOD_MS / 1_000),
        refusedAfterwards: refused.filter(({ atMs }) => atMs >= HOT_UNTIL_MS + REPORTED_MS).length,
        mostOfLimit: maximumWindow(admitted)
            / ((account.ratePerS * WINDOW_MS / 1_000 + account.burst) * 1.1 + SLACK_UNITS),
    };
};

// Guards against an account above its limit that is admitted and refused in turns because hosts know of each other late,
// and against accounts that lose a part of their limit when the hosts of a zone change their collector.
test.each<[string, number, Partial<ReplayOptions>, number?]>([
    ["8 hosts", 0, { hostCount: 8 }],
    ["82 hosts", 0, {}],
    ["82 hosts, of a small account", 8, {}],
    ["195 hosts", 0, { hostCount: 195 }],
    ["82 hosts with summaries up to 1.2 s late", 0, { summaryDelayMs: [100, 1_200] }, MINIMUM_OF_RATE_LATE],
    ["82 hosts, of which nine restart", 0, {
        restarts: Array.from({ length: 9 }, (_, index) => [index * 9, 8_000 + index * 300] as const),
    }],
])(
    "an account gets its limit during and after five times its usual load, at %s",
    (_, hot, options, minimumOfRate = MINIMUM_OF_RATE) => {
        const { othersRefused, leastOfRate, refusedAfterwards, mostOfLimit } = replay(hot, options);
        expect(othersRefused).toBe(0);
        expect(refusedAfterwards).toBe(0);
        expect(leastOfRate).toBeGreaterThan(minimumOfRate);
        expect(mostOfLimit).toBeLessThan(1);
    },
    120_000,
);
