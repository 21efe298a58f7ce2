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
