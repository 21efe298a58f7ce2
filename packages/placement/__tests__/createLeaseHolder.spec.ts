import { createFakeClock, createRandom } from "@ibislanding/core";
import { createLeaseHolder, type LeaseHolder } from "@ibislanding/placement";
import { createFakeKeyValueStore } from "@ibislanding/platform";

const DURATION_MS = 9_000;
const LONGEST_PAUSE_MS = 5_000;

const createHolders = () => {
    const clock = createFakeClock();
    const store = createFakeKeyValueStore(clock);
    const createHolder = (rank: number): LeaseHolder =>
        createLeaseHolder({
            store,
            clock,
            random: createRandom(rank + 1),
            key: "control/leases/letters",
            holder: `control-${rank}`,
            durationMs: DURATION_MS,
            longestPauseMs: LONGEST_PAUSE_MS,
            rank: () => rank,
        });
    const [first, second] = [createHolder(0), createHolder(1)];
    /** Steps the given holders every second. */
    const run = async (durationMs: number, ...active: readonly LeaseHolder[]): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1_000) {
            for (const holder of active) {
                await holder.step();
            }
            await clock.advance(1_000);
        }
    };
    return { createHolder, store, first, second, run };
};

const mayOrder = (holder: LeaseHolder, honoursFencing: boolean): boolean => holder.check({ honoursFencing }).ok;

describe("createLeaseHolder", () => {
    it("acquires a free lease immediately, and an expired one with a higher number and a settling time", async () => {
        const { first, second, run } = createHolders();
        await run(30_000, first, second);
        expect(first.check({ honoursFencing: false }).unwrap()).toBe(1);
        expect(mayOrder(second, true)).toBe(false);
        await run(DURATION_MS + 1_000, second);
        expect(mayOrder(first, true)).toBe(false);
        expect(second.check({ honoursFencing: true }).unwrap()).toBe(2);
        expect(mayOrder(second, false)).toBe(false);
        await run(LONGEST_PAUSE_MS, second);
        expect(mayOrder(second, false)).toBe(true);
    });

    it("keeps its fencing number when responses or requests of its writes are lost", async () => {
        const { store, first, second, run } = createHolders();
        store.dropResponses(1);
        await run(1_000, first, second);
        expect(first.check({ honoursFencing: false }).unwrap()).toBe(1);
        store.dropResponses(1);
        await run(20_000, first, second);
        expect(first.check({ honoursFencing: false }).unwrap()).toBe(1);
        store.dropRequests(1);
        await run(20_000, first, second);
        expect(first.check({ honoursFencing: false }).unwrap()).toBe(1);
    });

    it("lets a successor acquire a released lease without waiting", async () => {
        const { first, second, run } = createHolders();
        await run(1_000, first);
        await run(3_000, second);
        await first.release();
        await run(4_000, second);
        expect(second.check({ honoursFencing: false }).unwrap()).toBe(2);
    });

    it("passes the remaining settling time on to the successor of a released lease", async () => {
        const { createHolder, first, second, run } = createHolders();
        await run(1_000, first);
        await run(DURATION_MS + 1_000, second);
        await second.release();
        const third = createHolder(1);
        await run(1_000, third);
        expect(third.check({ honoursFencing: true }).unwrap()).toBe(3);
        expect(mayOrder(third, false)).toBe(false);
        await run(LONGEST_PAUSE_MS, third);
        expect(mayOrder(third, false)).toBe(true);
    });

    it("stops sending when a store outage outlasts the lease, and acquires it again afterwards", async () => {
        const { store, first, run } = createHolders();
        await run(2_000, first);
        store.setUnavailable(true);
        await run(DURATION_MS, first);
        expect(mayOrder(first, true)).toBe(false);
        store.setUnavailable(false);
        await run(2_000, first);
        expect(first.check({ honoursFencing: true }).unwrap()).toBe(2);
    });
});
