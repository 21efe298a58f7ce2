import { type AccountId, createFakeClock, createRandom, type ServiceName } from "@ibislanding/core";
import { createAdmissionQueue, type WaitingRequest } from "../src";

const requestOf = (urgency: number, accountId: string, dueAtMs: number, units = 100): WaitingRequest => ({
    service: "chat" as ServiceName,
    urgency,
    accountId: accountId as AccountId,
    units,
    dueAtMs,
});

const createQueue = (served: Readonly<Record<string, number>> = {}) =>
    createAdmissionQueue<WaitingRequest>({
        clock: createFakeClock(),
        servedUnitsPerS: accountId => served[accountId] ?? 0,
    });

const releaseAll = (queue: ReturnType<typeof createQueue>): readonly WaitingRequest[] => {
    const request = queue.first();
    if (request === undefined) {
        return [];
    }
    queue.release(request);
    return [request, ...releaseAll(queue)];
};

// Guards against an order of arrival, in which the requests of a large account delay all others.
test("requests leave by urgency, then the account that was served least, then the deadline", () => {
    const queue = createQueue({ large: 500 });
    const requests = [
        requestOf(1, "small", 50),
        requestOf(0, "large", 10),
        requestOf(0, "large", 5),
        requestOf(0, "small", 90),
        requestOf(0, "small", 70),
    ];
    requests.forEach(queue.add);
    expect(releaseAll(queue)).toEqual([4, 3, 2, 1, 0].map(index => requests[index]));
    expect(queue.size()).toBe(0);
});

test("two accounts that both wait are served the same units, whatever the size of their requests", () => {
    const queue = createQueue();
    Array.from({ length: 10 }, (_, index) => queue.add(requestOf(0, "long", index, 900)));
    Array.from({ length: 90 }, (_, index) => queue.add(requestOf(0, "short", index, 100)));
    const half = releaseAll(queue).slice(0, 50);
    const unitsOf = (account: string): number =>
        half.filter(({ accountId }) => accountId === account).reduce((sum, { units }) => sum + units, 0);
    expect(Math.abs(unitsOf("long") - unitsOf("short"))).toBeLessThanOrEqual(900);
});

test("a request that has left is not released, also among others with the same deadline", () => {
    const queue = createQueue();
    const requests = [1, 2, 3].map(() => requestOf(0, "a", 7));
    requests.forEach(queue.add);
    queue.remove(requests[1] as WaitingRequest);
    queue.remove(requests[1] as WaitingRequest);
    expect(queue.size()).toBe(2);
    expect(releaseAll(queue).map(request => requests.indexOf(request))).toEqual([0, 2]);
});

test("the order holds for random requests", () => {
    const random = createRandom(1);
    const queue = createQueue();
    Array.from({ length: 300 }, () => queue.add(requestOf(random.nextInt(3), "a", random.nextInt(1_000))));
    const left = releaseAll(queue);
    const sorted = [...left].sort((one, other) => one.urgency - other.urgency || one.dueAtMs - other.dueAtMs);
    expect(left).toEqual(sorted);
});
