import { createTask } from "@ibislanding/core";

describe("createTask", () => {
    it("handles messages one at a time and continues after an error", async () => {
        const seen: number[] = [];
        const errors: unknown[] = [];
        await using task = createTask<number>({
            handle: async message => {
                await Promise.resolve();
                if (message === 2) {
                    throw new Error("two");
                }
                seen.push(message);
            },
            onError: error => errors.push(error),
        });
        [1, 2, 3].forEach(task.post);
        await new Promise(resolve => setImmediate(resolve));
        expect(seen).toEqual([1, 3]);
        expect(errors).toHaveLength(1);
    });

    it("handles a message posted in the event-loop turn in which the queue became empty", async () => {
        const seen: number[] = [];
        const task = createTask<number>({ handle: message => void seen.push(message), onError: () => undefined });
        task.post(1);
        await Promise.resolve();
        task.post(2);
        await new Promise(resolve => setImmediate(resolve));
        task.post(3);
        await new Promise(resolve => setImmediate(resolve));
        expect(seen).toEqual([1, 2, 3]);
    });
});
