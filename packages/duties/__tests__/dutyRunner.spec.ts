import { createFakeClock, createRandom, type FakeClock, type FencingNumber, type HostId } from "@ibislanding/core";
import { createFakeKeyValueStore, createStoreEpoch } from "@ibislanding/platform";
import { createDutyRunner } from "../src";

const leaseMs = 3_000;

const startRunner = (
    clock: FakeClock,
    store: ReturnType<typeof createFakeKeyValueStore>,
    name: string,
    calls: string[],
    otherDuties: readonly (() => Promise<void>)[] = [],
    storeEpoch = createStoreEpoch(),
) => createDutyRunner({
    store,
    storeEpoch,
    clock,
    random: createRandom(name.length),
    key: "duties",
    hostId: name as HostId,
    leaseMs,
    mayContend: () => true,
    duties: [async fencingNumber => void calls.push(`${name}:${fencingNumber()}`), ...otherDuties],
    onChange: () => undefined,
    onError: error => {
        throw error;
    },
});

test("only the lease holder runs the duties, and its successor uses a greater fencing number", async () => {
    const clock = createFakeClock(1_000_000);
    const store = createFakeKeyValueStore(clock);
    const calls: string[] = [];
    const first = startRunner(clock, store, "a", calls);
    await clock.advance(1_000);
    const second = startRunner(clock, store, "bb", calls);
    await clock.advance(3_000);
    expect(calls.every(call => call.startsWith("a:"))).toBe(true);
    const firstFencingNumber = first.fencingNumber();
    const stopped = first[Symbol.asyncDispose]();
    await clock.advance(6_000);
    await stopped;
    expect(second.fencingNumber()).toBeGreaterThan(firstFencingNumber ?? Infinity);
    const ended = second[Symbol.asyncDispose]();
    await clock.advance(1_000);
    await ended;
});

test("fencingNumber returns undefined after a refusal, and between a clock jump and the next renewal", async () => {
    const clock = createFakeClock(1_000_000);
    const runner = startRunner(clock, createFakeKeyValueStore(clock), "a", []);
    await clock.advance(1_000);
    expect(runner.fencingNumber()).toBeDefined();
    clock.shiftWallClock(2_000);
    expect(runner.fencingNumber()).toBeUndefined();
    await clock.advance(2_000);
    expect(runner.fencingNumber()).toBeDefined();
    runner.recordRefusal(runner.fencingNumber() as FencingNumber);
    expect(runner.fencingNumber()).toBeUndefined();
    const ended = runner[Symbol.asyncDispose]();
    await clock.advance(1_000);
    await ended;
});

test("a duty that hangs delays neither another duty nor lease renewal", async () => {
    const clock = createFakeClock(1_000_000);
    const calls: string[] = [];
    let hanging = 0;
    const hang = async (): Promise<void> => {
        hanging++;
        await clock.sleep(10_000);
    };
    const runner = startRunner(clock, createFakeKeyValueStore(clock), "a", calls, [hang]);
    await clock.advance(8_000);
    expect(hanging).toBe(1);
    expect(calls.length).toBeGreaterThan(15);
    expect(runner.fencingNumber()).toBeDefined();
    const ended = runner[Symbol.asyncDispose]();
    await clock.advance(10_000);
    await ended;
});
