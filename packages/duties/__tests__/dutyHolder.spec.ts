import { createFakeClock, createRandom, type FakeClock, type FencingNumber, type HostId } from "@ibislanding/core";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import { createDutyHolder } from "../src";

const leaseMs = 3_000;

const contend = (
    clock: FakeClock,
    store: ReturnType<typeof createFakeKeyValueStore>,
    name: string,
    acts: string[],
    others: readonly (() => Promise<void>)[] = [],
) => createDutyHolder({
    store,
    clock,
    random: createRandom(name.length),
    key: "duties",
    hostId: name as HostId,
    leaseMs,
    mayContend: () => true,
    duties: [async fencingNumber => void acts.push(`${name}:${fencingNumber()}`), ...others],
    onChange: () => undefined,
    onError: error => {
        throw error;
    },
});

test("one of two hosts acts, and its successor acts with a greater number", async () => {
    const clock = createFakeClock(1_000_000);
    const store = createFakeKeyValueStore(clock);
    const acts: string[] = [];
    const first = contend(clock, store, "a", acts);
    await clock.advance(1_000);
    const second = contend(clock, store, "bb", acts);
    await clock.advance(3_000);
    expect(acts.every(act => act.startsWith("a:"))).toBe(true);
    const firstFence = first.fencingNumber();
    const stopped = first[Symbol.asyncDispose]();
    await clock.advance(6_000);
    await stopped;
    expect(second.fencingNumber()).toBeGreaterThan(firstFence ?? Infinity);
    const ended = second[Symbol.asyncDispose]();
    await clock.advance(1_000);
    await ended;
});

test("a holder does not act after a refused number or across a jump of its clocks", async () => {
    const clock = createFakeClock(1_000_000);
    const holder = contend(clock, createFakeKeyValueStore(clock), "a", []);
    await clock.advance(1_000);
    expect(holder.fencingNumber()).toBeDefined();
    clock.shiftWallClock(2_000);
    expect(holder.fencingNumber()).toBeUndefined();
    await clock.advance(2_000);
    expect(holder.fencingNumber()).toBeDefined();
    holder.noteRefused(holder.fencingNumber() as FencingNumber);
    expect(holder.fencingNumber()).toBeUndefined();
    const ended = holder[Symbol.asyncDispose]();
    await clock.advance(1_000);
    await ended;
});

test("a duty whose calls hang holds back neither another duty nor the lease", async () => {
    const clock = createFakeClock(1_000_000);
    const acts: string[] = [];
    let hanging = 0;
    const hang = async (): Promise<void> => {
        hanging++;
        await clock.sleep(10_000);
    };
    const holder = contend(clock, createFakeKeyValueStore(clock), "a", acts, [hang]);
    await clock.advance(8_000);
    expect(hanging).toBe(1);
    expect(acts.length).toBeGreaterThan(15);
    expect(holder.fencingNumber()).toBeDefined();
    const ended = holder[Symbol.asyncDispose]();
    await clock.advance(10_000);
    await ended;
});
