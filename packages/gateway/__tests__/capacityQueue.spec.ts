import type { WaitingRequest } from "@ibislanding/admission";
import { type AccountId, createFakeClock, type ServiceName } from "@ibislanding/core";
import { createCapacityQueue } from "../src/brittle/createCapacityQueue";

const SERVICE = "orders" as ServiceName;

const requestOf = (urgency: number, accountId: string, dueAtMs: number): WaitingRequest => ({
    service: SERVICE,
    urgency,
    accountId: accountId as AccountId,
    units: 1,
    dueAtMs,
});

/** Lets requests wait, gives capacity to all of them after a while, and returns the order in which they got it. */
const orderOf = async (isOrdered: boolean, requests: readonly WaitingRequest[]): Promise<readonly number[]> => {
    const clock = createFakeClock();
    const queue = createCapacityQueue(clock, {
        isOrdered: () => isOrdered,
        servedUnitsPerS: (_, accountId) => accountId === "large" ? 100 : 0,
    });
    const left: number[] = [];
    let isFree = false;
    requests.forEach((request, index) =>
        void queue.wait(SERVICE, {
            maximumWaiting: 10,
            durationMs: 500,
            signal: new AbortController().signal,
            request,
            findCapacity: () => isFree ? index : undefined,
        }).then(found => void (found !== undefined && left.push(found)))
    );
    await clock.advance(100);
    isFree = true;
    await clock.advance(100);
    expect(queue.hasWaiting(SERVICE)).toBe(false);
    return left;
};

const REQUESTS = [
    requestOf(1, "small", 10),
    requestOf(0, "large", 10),
    requestOf(0, "small", 30),
    requestOf(0, "small", 20),
];

// Guards against less urgent requests, and those of a large account, that get the few slots of a host since they came first.
test("in a large group, waiting requests get capacity by urgency, account and deadline", async () => {
    expect(await orderOf(true, REQUESTS)).toEqual([3, 2, 1, 0]);
});

test("in a small group, waiting requests get capacity in the order of their arrival", async () => {
    expect(await orderOf(false, REQUESTS)).toEqual([0, 1, 2, 3]);
});

test("a request that has waited for its time leaves without capacity", async () => {
    const clock = createFakeClock();
    const queue = createCapacityQueue(clock);
    const waited = queue.wait(SERVICE, {
        maximumWaiting: 1,
        durationMs: 100,
        signal: new AbortController().signal,
        findCapacity: () => undefined,
    });
    await clock.advance(110);
    expect(await waited).toBeUndefined();
    expect(queue.hasWaiting(SERVICE)).toBe(false);
});
