// Guards against an account's limit that large requests meet and small ones do not, as these find room for which the large ones
// wait: requests of 700 to 20,000 units, all as frequent, at 16 hosts that hear of each other's usage 0.3 s late.
import { type AccountId, createFakeClock, createRandom, type HostId } from "@ibislanding/core";
import { type ClientAccount, createAccountMeter } from "../src";

const HOSTS = 16;
const REPORT_MS = 300;
const WARM_UP_MS = 12_000;
const RUN_MS = 40_000;
const SIZES = [700, 1_500, 2_500, 5_000, 9_400, 20_000];
const MEAN_UNITS = SIZES.reduce((sum, units) => sum + units, 0) / SIZES.length;

const account: ClientAccount = {
    accountId: "acme" as AccountId,
    apiKeys: [],
    priority: undefined,
    unit: "tokens",
    plainTokens: 200,
    ratePerS: 200_000,
    burst: 200_000,
};

/** Sends requests of all sizes at a multiple of the rate; returns the share of each size that was admitted. */
const measureShares = async (load: number, seed: number): Promise<readonly number[]> => {
    const clock = createFakeClock();
    const random = createRandom(seed);
    const hosts = Array.from({ length: HOSTS }, (_, index) => ({
        hostId: `host-${index}` as HostId,
        meter: createAccountMeter(clock, { windowMs: 8_000, toleratedUnits: 55_000, peerTimeoutMs: () => 1_500 }),
    }));
    const counts = SIZES.map(units => ({ units, sent: 0, admitted: 0 }));
    const report = (): void =>
        hosts.forEach(({ hostId, meter }) => {
            const usages = meter.usages();
            hosts.filter(peer => peer.hostId !== hostId).forEach(peer =>
                peer.meter.observePeer(hostId, hostId, usages)
            );
        });
    let reportAtMs = 0;
    for (let nowMs = 0; nowMs < RUN_MS;) {
        const stepMs = -Math.log(1 - random.nextFloat()) * MEAN_UNITS / (load * account.ratePerS) * 1_000;
        nowMs += stepMs;
        await clock.advance(stepMs);
        if (nowMs >= reportAtMs) {
            reportAtMs += REPORT_MS;
            report();
        }
        const count = counts[random.nextInt(SIZES.length)];
        const host = hosts[random.nextInt(HOSTS)];
        const isAdmitted = count !== undefined && host?.meter.admit(account, count.units).kind !== "over";
        if (count !== undefined && nowMs > WARM_UP_MS) {
            count.sent++;
            count.admitted += isAdmitted ? 1 : 0;
        }
    }
    return counts.map(({ sent, admitted }) => admitted / sent);
};

test.each([1, 1.5, 3])(
    "at %d times its rate, an account has large requests admitted nearly as often as all",
    async load => {
        const shares = await measureShares(load, 1);
        const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
        expect(Math.min(...shares)).toBeGreaterThan(mean / 2);
        // As often as if the rate were divided among all requests in proportion to their units.
        expect(shares.at(-1)).toBeGreaterThan(0.85 * Math.min(1, 1 / load));
    },
    60_000,
);
