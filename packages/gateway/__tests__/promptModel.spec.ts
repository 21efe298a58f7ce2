import { createRandom } from "@ibislanding/core";
import { createPromptModel } from "../src/placement/createPromptModel";

test.each([[10, 80], [40, 20], [120, 5]])(
    "estimates %i tokens per ms and %i ms of overhead from noisy samples",
    (rate, overheadMs) => {
        const model = createPromptModel();
        const random = createRandom(7);
        Array.from({ length: 400 }).forEach(() => {
            const tokens = 200 + random.nextInt(9_000);
            model.observe(tokens, overheadMs + tokens / rate * (0.95 + random.nextFloat() * 0.1));
        });
        expect(model.tokensPerMs() / rate).toBeGreaterThan(0.85);
        expect(model.tokensPerMs() / rate).toBeLessThan(1.15);
        expect(Math.abs(model.overheadMs() - overheadMs)).toBeLessThan(15);
    },
);

test("a few samples with queueing delay do not distort the rate", () => {
    const model = createPromptModel();
    const random = createRandom(9);
    Array.from({ length: 400 }).forEach((_, index) => {
        const tokens = 200 + random.nextInt(9_000);
        model.observe(tokens, 20 + tokens / 40 + (index % 20 === 0 ? 5_000 : 0));
    });
    expect(model.tokensPerMs()).toBeGreaterThan(20);
});

test("samples of a single prompt length keep the model within its bounds", () => {
    const model = createPromptModel();
    Array.from({ length: 1_000 }).forEach(() => model.observe(1_000, 0));
    expect(model.tokensPerMs()).toBeGreaterThan(0);
    expect(Number.isFinite(model.overheadMs())).toBe(true);
});

test("queueing behind prompts of other hosts in half of the samples is not mistaken for a slow engine", () => {
    const model = createPromptModel();
    const random = createRandom(11);
    Array.from({ length: 400 }).forEach(() => {
        const tokens = 200 + random.nextInt(9_000);
        const waitMs = random.nextFloat() < 0.5 ? random.nextInt(240) : 0;
        model.observe(tokens, 20 + tokens / 40 + waitMs);
    });
    expect(model.overheadMs() + 9_000 / model.tokensPerMs()).toBeLessThan((20 + 9_000 / 40) * 1.1);
});
