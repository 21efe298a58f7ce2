import fc from "fast-check";
import type { Scenario } from "./scenario";

const RUN_MS = 1_500;

/** Generates scenarios with few keys, so that attempts conflict. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
    seed: fc.nat(1_000_000_000),
    hostCount: fc.integer({ min: 2, max: 4 }),
    faultPercent: fc.constantFrom(0, 10, 30),
    attempts: fc.array(
        fc.record({
            atMs: fc.nat(RUN_MS),
            host: fc.nat(3),
            account: fc.nat(1),
            key: fc.nat(3),
            otherBody: fc.constantFrom(false, false, false, false, true),
        }),
        { minLength: 4, maxLength: 24 },
    ),
    events: fc.array(
        fc.record({
            atMs: fc.nat(RUN_MS),
            host: fc.nat(3),
            kind: fc.constantFrom("crash", "pause", "pause", "resume", "outage", "outageEnd", "jumpClock"),
        }),
        { maxLength: 8 },
    ),
});
