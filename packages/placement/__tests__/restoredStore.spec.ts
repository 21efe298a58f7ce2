import { createFailure, createFakeClock, createRandom, ErrorCode } from "@ibislanding/core";
import { createFakeKeyValueStore, createStoreEpoch, type KeyValueStore } from "@ibislanding/platform";
import * as fc from "fast-check";
import { Err } from "ts-results";
import { createLeaseHolder } from "../src";

const DURATION_MS = 3_000;

/** An order that a holder sends. */
interface Order {
    readonly holder: string;
    readonly fencingNumber: number;
    readonly atMs: number;
}

/** Holders that each learn the epoch of the store from its responses. */
const createWorld = (holderCount: number) => {
    const clock = createFakeClock();
    const store = createFakeKeyValueStore(clock);
    const orders: Order[] = [];
    let storeEpoch = 1;

    const createHolder = (name: string) => {
        const state = { isCut: false };
        const epoch = createStoreEpoch();
        const unreachable = async () => Err(createFailure(ErrorCode.KeyValueUnavailable));
        const reachable: KeyValueStore = {
            ...store,
            get: async (key, options) => {
                epoch.observe(storeEpoch);
                return store.get(key, options);
            },
            compareAndSwap: async (request, options) => {
                epoch.observe(storeEpoch);
                return store.compareAndSwap(request, options);
            },
        };
        const holder = createLeaseHolder({
            store: {
                ...reachable,
                get: async (key, options) => state.isCut ? unreachable() : reachable.get(key, options),
                compareAndSwap: async (request, options) =>
                    state.isCut ? unreachable() : reachable.compareAndSwap(request, options),
            },
            storeEpoch: epoch,
            clock,
            random: createRandom(name.length),
            key: "lease",
            holder: name,
            durationMs: DURATION_MS,
            longestPauseMs: 0,
            rank: () => 0,
        });
        const act = (): void => {
            const grant = holder.check({ honoursFencing: true });
            if (grant.ok) {
                orders.push({ holder: name, fencingNumber: grant.val, atMs: clock.monotonicMs() });
            }
        };
        return { name, holder, state, epoch, act };
    };

    const holders = Array.from({ length: holderCount }, (_, index) => createHolder(`host-${"x".repeat(index)}`));
    return {
        clock,
        store,
        orders,
        holders,
        restore: (copy: () => void): void => {
            copy();
            storeEpoch++;
        },
    };
};

const stepAll = async ({ clock, holders }: ReturnType<typeof createWorld>, durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 250) {
        for (const { holder, act } of holders) {
            await holder.step();
            act();
        }
        await clock.advance(250);
    }
};

test("a holder stops as soon as it learns of a restoration, and numbers rise above those that were lost", async () => {
    const world = createWorld(2);
    await stepAll(world, DURATION_MS + 1_000);
    const copy = world.store.takeCopy();
    const [first, second] = world.holders;
    await first?.holder.release();
    await stepAll({ ...world, holders: world.holders.slice(1) }, DURATION_MS);
    const lost = second?.holder.grant()?.fencingNumber ?? Infinity;
    world.restore(copy);
    second?.epoch.observe(2);
    expect(second?.holder.grant()).toBeUndefined();
    await stepAll(world, DURATION_MS * 3);
    const numbers = world.orders.map(({ fencingNumber }) => fencingNumber);
    expect(numbers.at(-1)).toBeGreaterThan(lost);
    expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
});

test("after a restoration nobody takes a lease that the copy shows as released before its duration has passed", async () => {
    const world = createWorld(2);
    const [first, second] = world.holders;
    await stepAll({ ...world, holders: world.holders.slice(0, 1) }, DURATION_MS + 1_000);
    await first?.holder.release();
    const copy = world.store.takeCopy();
    await stepAll({ ...world, holders: world.holders.slice(1) }, DURATION_MS);
    expect(second?.holder.grant()).toBeDefined();
    world.restore(copy);
    await second?.holder.step();
    await world.clock.advance(DURATION_MS - 500);
    await second?.holder.step();
    expect(second?.holder.grant()).toBeUndefined();
    await stepAll(world, DURATION_MS * 2);
    const numbers = world.orders.map(({ fencingNumber }) => fencingNumber);
    expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
    expect(new Set(numbers).size).toBe(3);
});

test("a contender reads cheaply while the lease is held, and the current state once before it takes the lease", async () => {
    const { clock, store, holders, ...world } = createWorld(1);
    await stepAll({ clock, store, holders, ...world }, DURATION_MS + 1_000);
    const staleReads: boolean[] = [];
    const contender = createLeaseHolder({
        store: {
            ...store,
            get: async (key, options) => {
                staleReads.push(options.allowStale === true);
                return store.get(key, options);
            },
        },
        clock,
        random: createRandom(9),
        key: "lease",
        holder: "contender",
        durationMs: DURATION_MS,
        longestPauseMs: 0,
        rank: () => 0,
    });
    for (let elapsedMs = 0; elapsedMs < DURATION_MS * 3; elapsedMs += 250) {
        await contender.step();
        await clock.advance(250);
    }
    expect(contender.grant()).toBeDefined();
    expect(staleReads.filter(isStale => !isStale)).toHaveLength(1);
    expect(staleReads.length).toBeGreaterThan(3);
});

type Event =
    | { readonly kind: "step" | "cut" | "heal"; readonly index: number; }
    | { readonly kind: "advance"; readonly durationMs: number; }
    | { readonly kind: "copy" | "restore" | "lose-response" | "lose-request"; };

const index = fc.nat({ max: 2 });

const events: fc.Arbitrary<readonly Event[]> = fc.array(
    fc.oneof(
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("step" as const), index }) },
        {
            weight: 6,
            arbitrary: fc.record({ kind: fc.constant("advance" as const), durationMs: fc.nat({ max: 1_500 }) }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("cut" as const, "heal" as const), index }) },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constantFrom(
                    "copy" as const,
                    "restore" as const,
                    "lose-response" as const,
                    "lose-request" as const,
                ),
            }),
        },
    ),
    { minLength: 20, maxLength: 120 },
);

test("over restorations, cuts, lost calls and pauses, no number is used twice and none falls", async () => {
    await fc.assert(
        fc.asyncProperty(events, async sequence => {
            const world = createWorld(3);
            let copy = world.store.takeCopy();
            const handlers: {
                readonly [Kind in Event["kind"]]: (event: Extract<Event, { kind: Kind; }>) => Promise<void> | void;
            } = {
                step: async ({ index: chosen }) => {
                    await world.holders[chosen]?.holder.step();
                },
                advance: ({ durationMs }) => world.clock.advance(durationMs),
                cut: ({ index: chosen }) => void Object.assign(world.holders[chosen]?.state ?? {}, { isCut: true }),
                heal: ({ index: chosen }) => void Object.assign(world.holders[chosen]?.state ?? {}, { isCut: false }),
                copy: () => {
                    copy = world.store.takeCopy();
                },
                restore: () => world.restore(copy),
                "lose-response": () => world.store.dropResponses(1),
                "lose-request": () => world.store.dropRequests(1),
            };
            for (const event of sequence) {
                await (handlers[event.kind] as (one: Event) => Promise<void> | void)(event);
                world.holders.forEach(({ act }) => act());
            }
            const holdersByNumber = new Map<number, Set<string>>();
            world.orders.forEach(({ holder, fencingNumber }) =>
                holdersByNumber.set(fencingNumber, (holdersByNumber.get(fencingNumber) ?? new Set()).add(holder))
            );
            expect([...holdersByNumber.values()].every(({ size }) => size === 1)).toBe(true);
            const numbers = world.orders.map(({ fencingNumber }) => fencingNumber);
            expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
        }),
        { seed: 17, numRuns: 300 },
    );
}, 60_000);
