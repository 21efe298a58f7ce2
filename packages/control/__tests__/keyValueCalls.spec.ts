import { createFakeClock, createHasher, createRandom } from "@ibislanding/core";
import { createLeaseHolder, rankCandidates } from "@ibislanding/placement";
import { createFakeKeyValueStore } from "@ibislanding/platform";

const MINUTES = 10;
const CONTENDERS = 2;
const STEP_MS = 900;

/** Key-value calls per minute of control hosts that only hold or contend for leases. */
const leaseCallsPerMinute = async (services: number, hosts: number): Promise<number> => {
    const clock = createFakeClock();
    const store = createFakeKeyValueStore(clock);
    const hasher = await createHasher();
    const hostIds = Array.from({ length: hosts }, (_, index) => `control-${index}`);
    const holders = hostIds.flatMap((holder, index) =>
        Array.from({ length: services }, (_, service) =>
            createLeaseHolder({
                store,
                clock,
                random: createRandom(index * services + service),
                key: `control/leases/service-${service}`,
                holder,
                durationMs: 9_000,
                longestPauseMs: 10_000,
                rank: () => {
                    const rank = rankCandidates(hasher, `service-${service}`, hostIds).indexOf(holder);
                    return rank < CONTENDERS ? rank : undefined;
                },
            }))
    );
    const steps = MINUTES * 60_000 / STEP_MS;
    for (let step = 0; step < steps; step++) {
        await Promise.all(holders.map(holder => holder.step()));
        await clock.advance(STEP_MS);
    }
    return (store.callCounts()["lease"] ?? 0) / MINUTES;
};

describe("lease calls to the key-value service", () => {
    it("grow with the number of services and not with the number of hosts", async () => {
        const perMinute = await Promise.all(
            [[1, 2], [1, 16], [8, 2], [8, 16]].map(async ([services = 0, hosts = 0]) => {
                const calls = await leaseCallsPerMinute(services, hosts);
                process.stdout.write(
                    `lease calls a minute: ${services} services, ${hosts} hosts: ${calls.toFixed(1)}\n`,
                );
                return calls / services;
            }),
        );
        expect(Math.max(...perMinute)).toBeLessThan(Math.min(...perMinute) * 1.1);
    });
});
