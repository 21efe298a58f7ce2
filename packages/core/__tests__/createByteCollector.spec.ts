import fc from "fast-check";
import { createByteCollector } from "../src";

test("returns the parts in their order and leaves nothing", () => {
    fc.assert(
        fc.property(fc.array(fc.uint8Array({ maxLength: 50 })), parts => {
            const collector = createByteCollector();
            parts.forEach(part => collector.add(Buffer.from(part)));
            expect(collector.sizeBytes()).toBe(Buffer.concat(parts).length);
            expect(collector.take()).toEqual(Buffer.concat(parts));
            expect([collector.sizeBytes(), collector.heldBytes(), collector.take().length]).toEqual([0, 0, 0]);
        }),
    );
});

test("parts of a byte occupy little more than twice their number", () => {
    const collector = createByteCollector();
    Array.from({ length: 100_000 }, () => collector.add(Buffer.from("a")));
    expect(collector.heldBytes()).toBeLessThan(250_000);
});
