// Guards against upstreams that are given up although they or all others are slow, and silent ones that are never tried again.
import { createFakeClock, type UpstreamId } from "@ibislanding/core";
import { createSilentUpstreams } from "../src";

const [SILENT, SOUND] = ["u-0" as UpstreamId, "u-1" as UpstreamId];
const PATIENCE_MS = 300;

const startDecision = () => {
    const clock = createFakeClock();
    const upstreams = createSilentUpstreams(clock.monotonicMs);
    /** Examines a send that began now after each 100 ms of a time; another upstream answers meanwhile if `doOthersAnswer`. */
    const waitFor = async (
        durationMs: number,
        { patienceMs = PATIENCE_MS, doOthersAnswer = true, answersAfterMs = Infinity } = {},
    ): Promise<boolean> => {
        const startedAtMs = clock.monotonicMs();
        while (clock.monotonicMs() - startedAtMs < durationMs) {
            await clock.advance(100);
            if (doOthersAnswer) {
                upstreams.recordAnswer(SOUND);
            }
            if (clock.monotonicMs() - startedAtMs === answersAfterMs) {
                upstreams.recordAnswer(SILENT);
            }
            upstreams.examineSend({ upstreamId: SILENT, startedAtMs, patienceMs });
        }
        return upstreams.isAvoided(SILENT);
    };
    return { clock, upstreams, waitFor };
};

test.each([
    ["a pause of a second", 1_400, {}],
    ["a service that is slow as a whole", 4_000, { doOthersAnswer: false }],
    ["an answer that takes twice its objective", 3_900, { patienceMs: 2_000 }],
    ["an upstream that answers another request", 2_400, { answersAfterMs: 1_000 }],
])("%s does not make an upstream silent", async (_, durationMs, options) => {
    expect(await startDecision().waitFor(durationMs, options)).toBe(false);
});

test("an upstream without a byte while others answer is avoided, tried again, and avoided for longer", async () => {
    const { clock, upstreams, waitFor } = startDecision();
    expect(await waitFor(1_500)).toBe(true);
    await clock.advance(2_000);
    expect(upstreams.isAvoided(SILENT)).toBe(false);
    expect(await waitFor(1_500)).toBe(true);
    await clock.advance(3_900);
    expect(upstreams.isAvoided(SILENT)).toBe(true);
});

test("a send that waits since before does not show that the upstream is still silent", async () => {
    const { upstreams, waitFor } = startDecision();
    await waitFor(6_000);
    expect(upstreams.isAvoided(SILENT)).toBe(false);
});

test("an upstream that answers is used again at once", async () => {
    const { upstreams, waitFor } = startDecision();
    await waitFor(1_500);
    upstreams.recordAnswer(SILENT);
    expect(upstreams.isAvoided(SILENT)).toBe(false);
});
