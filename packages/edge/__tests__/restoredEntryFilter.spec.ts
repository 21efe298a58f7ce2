import { createFakeClock } from "@ibislanding/core";
import { createRestoredEntryFilter } from "../src/createRestoredEntryFilter";

const set = (epoch: number, revision: number, versions: Readonly<Record<string, number>>) => ({
    epoch,
    revision,
    entries: new Map(Object.entries(versions).map(([key, version]) => [key, { key, value: key, version }])),
});

const keysOf = (entries: readonly { readonly key: string; }[]): readonly string[] => entries.map(({ key }) => key);

test("an entry that was removed and is listed again by a restored store is left out until it is written again", async () => {
    const clock = createFakeClock();
    const filter = createRestoredEntryFilter(clock);
    filter(set(1, 10, { a: 4, b: 5 }));
    filter(set(1, 12, { b: 5 }));
    await clock.advance(3_000);
    expect(keysOf(filter(set(2, 8, { a: 4, b: 5 })))).toEqual(["b"]);
    expect(keysOf(filter(set(2, 9, { a: 4, b: 9 })))).toEqual(["b"]);
    expect(keysOf(filter(set(2, 11, { a: 11, b: 9 })))).toEqual(["a", "b"]);
});

test("an entry that returns within an epoch, or that this host never saw, is used at once", () => {
    const filter = createRestoredEntryFilter(createFakeClock());
    filter(set(1, 10, { a: 4 }));
    filter(set(1, 12, {}));
    expect(keysOf(filter(set(1, 14, { a: 14 })))).toEqual(["a"]);
    expect(keysOf(filter(set(2, 9, { a: 4, unknown: 6 })))).toEqual(["a", "unknown"]);
});

test("removed keys are forgotten after a while", async () => {
    const clock = createFakeClock();
    const filter = createRestoredEntryFilter(clock);
    filter(set(1, 10, { a: 4 }));
    filter(set(1, 12, {}));
    await clock.advance(61_000);
    filter(set(1, 13, {}));
    expect(keysOf(filter(set(2, 8, { a: 4 })))).toEqual(["a"]);
});
