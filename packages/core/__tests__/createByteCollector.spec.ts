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

test.each([1_000, 10_000, 65_536])(
    "a body of unknown size in parts of %d bytes occupies little more than its size",
    partBytes => {
        const collector = createByteCollector();
        const parts = Math.ceil(1_000_000 / partBytes);
        Array.from({ length: parts }, () => collector.add(Buffer.alloc(partBytes)));
        expect(collector.heldBytes()).toBeLessThanOrEqual(parts * partBytes + 65_536);
    },
);
