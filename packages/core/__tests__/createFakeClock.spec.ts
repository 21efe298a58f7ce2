import { createFakeClock } from "@ibislanding/core";

describe("createFakeClock", () => {
    it("runs due callbacks in order of time", async () => {
        const clock = createFakeClock(1_000);
        const seen: string[] = [];
        clock.setTimer(20, () => seen.push("late"));
        clock.setTimer(10, () => seen.push("early"));
        const cancelled = clock.setTimer(5, () => seen.push("cancelled"));
        cancelled.cancel();
        await clock.advance(15);
        expect(seen).toEqual(["early"]);
        await clock.advance(5);
        expect(seen).toEqual(["early", "late"]);
        expect(clock.wallMs()).toBe(1_020);
    });

    it("does not change monotonic time when the wall clock jumps", async () => {
        const clock = createFakeClock(1_000);
        clock.shiftWallClock(-500);
        await clock.advance(10);
        expect(clock.wallMs()).toBe(510);
        expect(clock.monotonicMs()).toBe(10);
    });
});
