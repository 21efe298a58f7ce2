import { createMemoryBudget } from "../src/memory/createMemoryBudget";

test("all requests together hold no more than the budget, and what one gives up is free for others", () => {
    const budget = createMemoryBudget(() => 100);
    const one = budget.open();
    {
        using other = budget.open();
        expect([one.tryHold(60), other.tryHold(50), other.tryHold(40), one.tryHold(1)]).toEqual([
            true,
            false,
            true,
            false,
        ]);
        one.release(20);
        expect(other.tryHold(20)).toBe(true);
    }
    expect(budget.heldBytes()).toBe(40);
    one.release(1_000);
    expect(budget.heldBytes()).toBe(0);
});

// Guards against bodies that stop short of their end and keep out the requests of other callers.
test("what is offered and makes no progress is given up for others, the longest without progress first", () => {
    let atMs = 0;
    const budget = createMemoryBudget(() => 100, () => atMs);
    const givenUp: string[] = [];
    const hold = (name: string, bytes: number) => {
        const memory = budget.open();
        const isHeld = memory.tryHold(bytes);
        const offer = memory.offer(() => {
            givenUp.push(name);
            memory[Symbol.dispose]();
        });
        return { isHeld, offer, memory };
    };
    const first = hold("first", 30);
    hold("second", 30);
    const third = hold("third", 30);
    atMs = 900;
    first.offer.recordProgress();
    expect(hold("early", 20).isHeld).toBe(false);
    atMs = 1_100;
    third.offer.withdraw();
    expect(budget.open().tryHold(20)).toBe(true);
    expect(budget.open().tryHold(80)).toBe(false);
    expect(givenUp).toEqual(["second"]);
});
