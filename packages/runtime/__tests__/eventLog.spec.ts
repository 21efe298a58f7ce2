import { createFakeClock } from "@ibislanding/core";
import { PassThrough } from "node:stream";
import { createEventLog } from "../src";

const createLog = (stream: PassThrough) => {
    const clock = createFakeClock();
    return { clock, log: createEventLog({ stream, clock, fields: { host: "h" } }) };
};

test("an event is one JSON line with its fields", () => {
    const stream = new PassThrough();
    createLog(stream).log.write("started", { version: 3 });
    expect(JSON.parse(String(stream.read()))).toMatchObject({ message: "started", host: "h", version: 3 });
});

test("a stalled reader causes bounded memory use and does not block writes", () => {
    const stream = new PassThrough({ highWaterMark: 1 });
    const { log } = createLog(stream);
    Array.from({ length: 20_000 }).forEach((_, index) => log.write("event", { text: "x".repeat(100), index }));
    expect(stream.writableLength).toBeLessThan(1_000_000);
    expect(log.droppedLines()).toBeGreaterThan(19_000);
});

test("lines about failures are kept when lines about successful requests exhaust the rate limit", async () => {
    const stream = new PassThrough();
    stream.resume();
    const { log, clock } = createLog(stream);
    Array.from({ length: 1_000 }).forEach(() => log.write("request_ended", { outcome: "answered" }));
    const dropped = log.droppedLines();
    Array.from({ length: 100 }).forEach(() => log.write("request_ended", { outcome: "failed" }));
    expect(dropped).toBeGreaterThan(0);
    expect(log.droppedLines()).toBe(dropped);
    await clock.advance(10_000);
});
